#pragma once

// How long one attempt may take. A request that may be run again leaves a silent runner or connection
// early enough to be answered by another; any other request waits until its deadline.
//
// Example:
//
//     AttemptTimeoutEstimator timeouts;
//     timeouts.observe(service, answerTime);
//     Duration timeout = timeouts.timeoutFor(request, remaining);

#include "model/model.h"
#include <unordered_map>

namespace dragonflytray {

// AttemptTimeoutEstimator learns how long the answers of each service take. Not thread-safe; constant time.
class AttemptTimeoutEstimator {
public:
    // observe() takes in the time of one whole answer.
    void observe(const ServiceName& service, Duration answerTime);

    // timeoutFor() is the timeout of an attempt with `remaining` left until the deadline. It is `remaining` for
    // a request that must not be run twice, and where answers take so long that a second attempt would not fit.
    Duration timeoutFor(const Request& request, Duration remaining) const;

private:
    struct Estimate {
        Duration mean { 0 };
        Duration deviation { 0 };
    };

    std::unordered_map<ServiceName, Estimate> estimates;
};

} // namespace dragonflytray
