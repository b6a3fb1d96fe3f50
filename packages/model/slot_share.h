#pragma once

// Shares of runners' slots among the entry hosts of a data centre. `shares` decides them, `routing`
// keeps to them; these are the words between the two.

#include "model/ids.h"
#include <vector>

namespace dragonflytray {

// SlotShare is a number of slots of one runner.
struct SlotShare {
    HostName runner;
    int slots { 0 };

    bool operator==(const SlotShare&) const = default;
};

// ChangeShares is a command to `routing`: from now on this entry host starts no attempt on a runner
// beyond these slots, and none at all from `validUntil` on. A runner that is not listed has none. Attempts
// in flight go on.
struct ChangeShares {
    std::vector<SlotShare> shares;
    std::uint64_t revision { 0 }; // higher whenever the shares changed
    Instant validUntil { Instant::max() };
};

// SharesHeld is an effect of `routing`: what this entry host may still use or is using on each runner,
// the larger of its share and its attempts in flight. What falls below an earlier report is free for others,
// so `revision` must be that of the ChangeShares that these figures obey.
struct SharesHeld {
    std::uint64_t revision { 0 };
    std::vector<SlotShare> held;
    std::vector<SlotShare> wanted; // attempts in flight plus requests that wait for the runner's service
};

} // namespace dragonflytray
