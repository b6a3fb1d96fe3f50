#pragma once

// What is decided while capacity is short: the order in which queues of one priority get it.
//
// Example:
//
//     QueueShares shares({});
//     shares.follow({ { .queue = bulk, .cores = 60, .expectedWork = 60, .isWaiting = true }, { .queue = desk, .isWaiting = true } }, now);
//     for (const std::size_t claim : shares.order(claims))
//         place(jobs[claim]);

#include "admission/queue_shares.h"
