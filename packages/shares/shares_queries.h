#pragma once

// The queries of `Shares`. Each reads its state and returns a value; one file under `queries/` each.

#include "model/model.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// SharesSummaryQuery asks what this host may use and how it stands to the leader.
struct SharesSummaryQuery {
};

// SharesSummary is the answer to SharesSummaryQuery.
struct SharesSummary {
    HostName leader;
    Epoch epoch { 0 };
    bool isLeading { false };
    bool isRecovered { false }; // leading, and nothing is withheld for hosts not heard
    bool hasGuards { false };
    bool isUsable { false }; // attempts may be started now
    std::uint64_t expirations { 0 }; // times that this host gave up all shares because it was isolated
    std::uint64_t pauses { 0 };
    std::vector<SlotShare> shares;
};

using SharesQuery = std::variant<SharesSummaryQuery>;
using SharesView = std::variant<SharesSummary>;

} // namespace dragonflytray
