#pragma once

// Priorities shared by requests and jobs.

#include "base/base.h"

namespace dragonflytray {

// Priority orders work from the most to the least urgent.
enum class Priority {
    Urgent,
    Normal,
    Low,
};

inline constexpr NameTable priorityNames { std::to_array<NameEntry<Priority>>({
    { Priority::Urgent, "urgent" },
    { Priority::Normal, "normal" },
    { Priority::Low, "low" },
}) };
static_assert(priorityNames.isWhole(Priority::Low));

} // namespace dragonflytray
