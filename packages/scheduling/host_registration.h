#pragma once

// The row in which this host says where it takes orders to workers, so that leaders that are too small for their fleet find it.
//
// The row is written once and stays. It is written again when another content, or none, is read, since a leader removes the rows of
// hosts that it could not reach for long.
//
// Example:
//
//     HostRegistration registration({ .self = HostName("entry-1"), .entry = entry });
//     registration.observe(row);
//     registration.maintain(context);

#include "scheduling/command_context.h"
#include "scheduling/scheduling_commands.h"

namespace dragonflytray {

// HostRegistration keeps the row of this host in the store. Not thread-safe.
class HostRegistration {
public:
    struct Options {
        HostName self;
        EntryHost entry {}; // port 0 of the agent: no row
        Duration writeInterval { std::chrono::seconds(2) }; // between two attempts
        Duration maxFirstDelay { std::chrono::seconds(2) }; // spreads the first writes of hosts that start together
    };

    explicit HostRegistration(Options options);

    // observe() applies the own row as read from the store; null: it is absent.
    void observe(const EntryHost* row);

    // withdraw() removes the row with the next write, and keeps it away.
    void withdraw() { this->isWithdrawn = true; }

    // maintain() adds the write that is due, if any. The store's rows have to be read first.
    void maintain(CommandContext& context);

    // owns() says whether `write` is a write in flight. writeEnded() handles its result.
    bool owns(std::uint64_t write) const { return this->writeInFlight == write; }
    void writeEnded(const RowsWriteEnded& end, Instant now);

private:
    bool isCurrent() const;

    Options options;
    std::optional<EntryHost> stored; // as read or written
    std::uint64_t writeInFlight { 0 }; // 0: none
    Instant nextWriteAt; // zero: not set yet
    bool isWithdrawn { false };
};

} // namespace dragonflytray
