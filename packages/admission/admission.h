#pragma once

// What is decided while capacity is short: the order in which queues of one priority get it, and which jobs are refused because they
// can't succeed.
//
// Example:
//
//     QueueShares shares({});
//     shares.follow({ { .queue = bulk, .cores = 60, .expectedWork = 60, .isWaiting = true }, { .queue = desk, .isWaiting = true } }, now);
//     for (const std::size_t claim : shares.order(claims))
//         place(jobs[claim]);
//
//     AdmissionControl control({});
//     const AdmissionDecision decision = control.decide(demand, { &forecast, epoch, receivedAt }, wallTime, now);
//     if (decision.outcome == AdmissionOutcome::Hopeless)
//         refuse(decision.retryAfter);

#include "admission/admission_control.h"
#include "admission/forecast.h"
#include "admission/queue_shares.h"
