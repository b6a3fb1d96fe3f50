#pragma once

// Strong identifiers. Machines, zones, customers and back ends carry the brief's words.

#include "base/base.h"

namespace dragonflytray {

using DataCentreName = StrongId<struct DataCentreNameTag>;
using RegionName = StrongId<struct RegionNameTag>;
using RackName = StrongId<struct RackNameTag>;
using HostName = StrongId<struct HostNameTag>; // entry host, worker or runner
using TeamName = StrongId<struct TeamNameTag>;
using CallerName = StrongId<struct CallerNameTag>;
using ServiceName = StrongId<struct ServiceNameTag>;
using QueueName = StrongId<struct QueueNameTag>;
using BatchClassName = StrongId<struct BatchClassNameTag>;
using RequestId = StrongId<struct RequestIdTag>; // chosen by the caller; the idempotency key
using JobId = StrongId<struct JobIdTag>; // chosen by the submitter; the idempotency key
using TransactionId = StrongId<struct TransactionIdTag>;

// AttemptId numbers the sends of requests by one entry host; never reused by that process.
enum class AttemptId : std::uint64_t {
};

// ReplyToken names the open connection of a caller inside one entry host.
enum class ReplyToken : std::uint64_t {
};

// Epoch counts the holders of one leader lease; a higher epoch fences off a lower one.
using Epoch = std::uint64_t;

// ConfigurationVersion counts applied declarations; 0 is "none yet".
using ConfigurationVersion = std::uint64_t;

} // namespace dragonflytray
