#pragma once

// The duty that writes the decision log and keeps the metrics. The volume of lines is bounded: over a rate,
// lines about one kind of event are summed into one.

#include "entry/entry_messages.h"

namespace dragonflytray {

// JournalDuty runs on a thread of its own until its ring is closed and empty.
class JournalDuty {
public:
    explicit JournalDuty(EntryRings& rings);

    void run();

private:
    // Allowance is what one kind of event may still write in the present second.
    struct Allowance {
        std::uint32_t written { 0 };
        std::uint64_t left { 0 }; // lines left out
        std::uint64_t total { 0 };
    };

    void on(const LogDecision& message);
    void on(MetricsSnapshot message);
    void on(const MetricsWanted& message);
    void writeSums();
    std::string render();

    EntryRings& rings;
    MetricsBoard board;
    EnumArray<DecisionEvent, Allowance, decisionEventNames.size()> allowances;
    Instant windowEnd;
};

} // namespace dragonflytray
