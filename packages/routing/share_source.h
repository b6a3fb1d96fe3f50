#pragma once

// How an entry host gets its share of each runner's slots.
//
// Example:
//
//     Routing routing({ .self = HostName("entry-1"), .dataCentre = DataCentreName("rs-poa"), .shareSource = ShareSource::Assigned });

#include "base/base.h"

namespace dragonflytray {

// ShareSource selects how the number of slots of a runner that this entry host may use is determined.
enum class ShareSource {
    EvenSplit, // an equal part for each listed entry host of the data centre, without coordination; a baseline
    Assigned, // only the slots that ChangeShares assigns
};

inline constexpr NameTable shareSourceNames { std::to_array<NameEntry<ShareSource>>({
    { ShareSource::EvenSplit, "even-split" },
    { ShareSource::Assigned, "assigned" },
}) };
static_assert(shareSourceNames.isWhole(ShareSource::Assigned));

} // namespace dragonflytray
