#pragma once

// How long one attempt may take. A request that may be run again leaves a silent runner or connection
// early enough to be answered by another; any other request waits until its deadline.
//
// Example:
//
//     AttemptTimeouts timeouts;
//     timeouts.observe(service, answerTime);
//     Duration limit = timeouts.limit(request, remaining);

#include "model/model.h"
#include <unordered_map>

namespace dragonflytray {

// AttemptTimeouts learns how long the answers of each service take. Not thread-safe; constant time.
class AttemptTimeouts {
public:
    // observe() takes in the time of one whole answer.
    void observe(const ServiceName& service, Duration answerTime);

    // limit() is the timeout of an attempt with `remaining` left until the deadline. It is `remaining` for
    // a request that must not be run twice, and where answers take so long that a second attempt would not fit.
    Duration limit(const Request& request, Duration remaining) const;

private:
    struct Estimate {
        Duration mean { 0 };
        Duration deviation { 0 };
    };

    std::unordered_map<ServiceName, Estimate> estimates;
};

} // namespace dragonflytray
