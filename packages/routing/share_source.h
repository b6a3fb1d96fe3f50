#pragma once

// Where the shares of runners' slots come from.

#include "base/base.h"

namespace dragonflytray {

// ShareSource names the ways to know how many slots of a runner this entry host may use.
enum class ShareSource {
    EvenSplit, // each listed entry host of the data centre takes an equal part; a baseline without agreement
    Assigned, // only what ChangeShares assigns
};

inline constexpr NameTable shareSourceNames { std::to_array<NameEntry<ShareSource>>({
    { ShareSource::EvenSplit, "even-split" },
    { ShareSource::Assigned, "assigned" },
}) };
static_assert(shareSourceNames.isWhole(ShareSource::Assigned));

} // namespace dragonflytray
