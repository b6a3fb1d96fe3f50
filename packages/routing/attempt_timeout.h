#pragma once

// Timeouts of single attempts. An attempt of an idempotent request is cut off early enough that another runner can
// still answer if the first one or its connection hangs. Any other request waits until its deadline.
//
// Example:
//
//     AttemptTimeoutEstimator timeouts; // one for all services
//     timeouts.observe(service, answerTime);
//     Duration timeout = timeouts.timeoutFor(request, remaining);

#include "model/model.h"
#include <unordered_map>

namespace dragonflytray {

// AttemptTimeoutEstimator estimates the mean and the deviation of each service's latency. Constant time. Not
// thread-safe.
class AttemptTimeoutEstimator {
public:
    // observe() records the latency of one complete answer.
    void observe(const ServiceName& service, Duration answerTime);

    // timeoutFor() returns the timeout of an attempt with the time `remaining` until its request's deadline. It is
    // `remaining` if the request is not idempotent, if the service has no measurements yet, and if its answers take
    // so long that a second attempt would not fit.
    Duration timeoutFor(const Request& request, Duration remaining) const;

private:
    struct Estimate {
        Duration mean { 0 };
        Duration deviation { 0 };
    };

    std::unordered_map<ServiceName, Estimate> estimates;
};

} // namespace dragonflytray
