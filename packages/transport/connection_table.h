#pragma once

// Which connections a server has, what each of them does, and which one it ends when connections or memory run short. It knows no
// sockets: the server reports each change and carries out the decisions.
//
// Example:
//
//     ConnectionTable table({ .connectionLimit = 100, .receiveBudget = 32 << 20 });
//     const ConnectionId id = table.open(now);
//     table.enter(id, ConnectionPhase::Receiving, now);
//     table.setReceived(id, 1400);
//     if (auto victim = table.overBudget())
//         refuse(*victim);

#include "base/base.h"
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflytray {

// ConnectionPhase is what a connection does.
enum class ConnectionPhase {
    Idle, // between two requests
    Receiving, // a request has begun to arrive
    Handling, // the request is with the handler, or its response is a stream
    Responding, // a whole response is being written
    Closing, // a refusal has been sent; what still arrives is discarded
};

inline constexpr NameTable connectionPhaseNames { std::to_array<NameEntry<ConnectionPhase>>({
    { ConnectionPhase::Idle, "idle" },
    { ConnectionPhase::Receiving, "receiving" },
    { ConnectionPhase::Handling, "handling" },
    { ConnectionPhase::Responding, "responding" },
    { ConnectionPhase::Closing, "closing" },
}) };
static_assert(connectionPhaseNames.isWhole(ConnectionPhase::Closing));

// ConnectionCounts counts connections by phase.
using ConnectionCounts = EnumArray<ConnectionPhase, std::size_t, connectionPhaseNames.size()>;

enum class ConnectionId : std::uint64_t {};

// ConnectionTable decides; every operation takes constant time. Times do not decrease from call to call. Not thread-safe.
class ConnectionTable {
public:
    struct Options {
        std::size_t connectionLimit { 4096 };
        std::size_t receiveBudget { 32 << 20 }; // bytes of all incomplete requests
    };

    explicit ConnectionTable(Options options);

    // open() adds an idle connection.
    ConnectionId open(Instant now);

    // enter() changes the phase. A connection that is not in the table is ignored here and below.
    void enter(ConnectionId id, ConnectionPhase phase, Instant now);

    // setReceived() sets how many bytes the incomplete request of a receiving connection takes.
    void setReceived(ConnectionId id, std::size_t bytes);

    // close() removes a connection.
    void close(ConnectionId id);

    // noteShortage() lowers the limit for a minute, below the present number of connections, so that other users of descriptors
    // get some.
    void noteShortage(Instant now);

    std::size_t size() const { return this->places.size(); }

    // counts() is the number of connections in each phase.
    ConnectionCounts counts() const;

    // inPhaseSince() lists the connections that have been in the phase since `limit` or longer, the longest first.
    std::vector<ConnectionId> inPhaseSince(ConnectionPhase phase, Instant limit) const;

    // receivedBytes() is the bytes of all incomplete requests.
    std::size_t receivedBytes() const { return this->received; }

    // isFull() says whether a new connection needs the place of another one.
    bool isFull(Instant now) const;

    // replaceable() is the connection that makes space: one that is closing, else the one that has been idle or receiving for
    // longest, else one whose response has not been read for a while. Never one that is being handled.
    std::optional<ConnectionId> replaceable(Instant now) const;

    // overBudget() is the connection whose request has been arriving for longest, if the incomplete requests exceed the budget.
    std::optional<ConnectionId> overBudget() const;

private:
    struct Entry {
        ConnectionId id {};
        ConnectionPhase phase { ConnectionPhase::Idle };
        Instant since; // beginning of the phase
        std::size_t received { 0 };
    };
    using Entries = std::list<Entry>;

    // oldestIn() is the connection that has been in the phase for longest, or nullptr.
    const Entry* oldestIn(ConnectionPhase phase) const;

    const Options options;
    EnumArray<ConnectionPhase, Entries, connectionPhaseNames.size()> phases; // each in order of `since`
    std::unordered_map<ConnectionId, Entries::iterator> places;
    std::size_t received { 0 };
    std::uint64_t lastId { 0 };
    std::size_t shortageLimit { 0 };
    std::optional<Instant> shortageEnd;
};

} // namespace dragonflytray
