#include "batch/transitions.h"

#include <array>

namespace dragonflytray {

namespace {

    using Row = std::array<bool, jobStateNames.size()>;

    // Rows are `from`, columns are `to`, both in the order of JobState:
    // queued, starting, running, evicting, finished, failed, cancelled, parked.
    constexpr std::array<Row, jobStateNames.size()> allowed { {
        { false, true, false, false, false, true, true, true }, // queued
        { true, false, true, true, true, true, true, true }, // starting
        { true, false, false, true, true, true, true, true }, // running
        { true, false, false, false, true, true, true, true }, // evicting
        { false, false, false, false, false, false, false, false }, // finished
        { false, false, false, false, false, false, false, false }, // failed
        { false, false, false, false, false, false, false, false }, // cancelled
        { true, false, false, false, false, false, true, false }, // parked
    } };

} // namespace

bool isAllowed(JobState from, JobState to)
{
    return allowed[indexOf(from)][indexOf(to)];
}

} // namespace dragonflytray
