#pragma once

// Decisions about callers that the store keeps waiting: when a refused caller should come back, and which submission with an unclear
// write is tried again first.
//
// Example:
//
//     RetryAdvisor advisor({ .longestRetryAfter = std::chrono::seconds(8) });
//     advisor.storeLost(now);
//     reply.retryAfter = advisor.advise(AdviceReason::StoreUnavailable, queue.priority, now);
//
//     HeldSubmissions held({});
//     held.hold({ .job = job, .urgency = queue.priority, .answerBy = answerBy, .notBefore = now + pause });
//     for (const JobId& hopeless : held.takeHopeless(advisor.expectedEnd(now)))
//         answerUnclear(hopeless);
//     for (const JobId& due : held.takeDue(now, limit))
//         writeAgain(due);

#include "retry_advice/held_submissions.h"
#include "retry_advice/retry_advisor.h"
