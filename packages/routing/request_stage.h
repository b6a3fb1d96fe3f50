#pragma once

// The stages of a request whose latency is recorded in a histogram of its own.
//
// Example:
//
//     summary.classes[Priority::Urgent].stages[RequestStage::Queue].record(queueDelay);

#include "base/base.h"

namespace dragonflytray {

// RequestStage is an interval in the processing of a request.
enum class RequestStage {
    Queue, // from entering the queue to the send
    Runner, // from the send to the answer of an attempt
    Total, // from submission to the answer
};

inline constexpr NameTable requestStageNames { std::to_array<NameEntry<RequestStage>>({
    { RequestStage::Queue, "queue" },
    { RequestStage::Runner, "runner" },
    { RequestStage::Total, "total" },
}) };
static_assert(requestStageNames.isWhole(RequestStage::Total));

} // namespace dragonflytray
