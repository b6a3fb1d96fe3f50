#pragma once

// The parts of a request's time that have histograms of their own.

#include "base/base.h"

namespace dragonflytray {

// RequestStage names the parts of a request's time.
enum class RequestStage {
    Queue, // from the queue's entry to the send
    Runner, // from the send to the answer
    Total, // from admission to the answer
};

inline constexpr NameTable requestStageNames { std::to_array<NameEntry<RequestStage>>({
    { RequestStage::Queue, "queue" },
    { RequestStage::Runner, "runner" },
    { RequestStage::Total, "total" },
}) };
static_assert(requestStageNames.isWhole(RequestStage::Total));

} // namespace dragonflytray
