#pragma once

// The queries of `Shares`. Each reads its state and returns a value. The handlers are under `queries/`, one file each.

#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// SharesSummaryQuery asks which shares this host has and which host it takes for the leader.
struct SharesSummaryQuery {
};

// SharesSummary is the answer to SharesSummaryQuery.
struct SharesSummary {
    HostName leader;
    Epoch epoch { 0 };
    bool isLeading { false };
    bool isRecovered { false }; // this host leads and reserves no slots for hosts that have not reported
    bool hasGuards { false }; // runners refuse requests above their slots
    bool isUsable { false }; // the shares are valid, so that attempts may be started
    std::uint64_t expirations { 0 }; // how often this host dropped all shares because it was isolated or replaced
    std::uint64_t pauses { 0 }; // how often this process was paused for longer than `Timing::pauseMargin`
    std::vector<SlotShare> shares;
};

using SharesQuery = std::variant<SharesSummaryQuery>;
using SharesView = std::variant<SharesSummary>;

} // namespace dragonflytray
