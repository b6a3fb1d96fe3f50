#pragma once

// Requests of callers as decisions see them.

#include "model/ids.h"
#include "model/priority.h"
#include <memory>
#include <string>

namespace dragonflytray {

// Idempotency says whether a request may be run more than once.
enum class Idempotency {
    Idempotent,
    NonIdempotent,
};

inline constexpr NameTable idempotencyNames { std::to_array<NameEntry<Idempotency>>({
    { Idempotency::Idempotent, "idempotent" },
    { Idempotency::NonIdempotent, "non-idempotent" },
}) };
static_assert(idempotencyNames.isWhole(Idempotency::NonIdempotent));

// RequestSource says who waits for the outcome.
enum class RequestSource {
    Caller, // an open HTTP reply of this entry host
    Peer, // another entry host that forwarded the request; it is not forwarded again
};

inline constexpr NameTable requestSourceNames { std::to_array<NameEntry<RequestSource>>({
    { RequestSource::Caller, "caller" },
    { RequestSource::Peer, "peer" },
}) };
static_assert(requestSourceNames.isWhole(RequestSource::Peer));

// Request is one call for one answer. The body is shared, never copied between duties.
struct Request {
    RequestId id;
    TeamName team;
    ServiceName service;
    Priority priority { Priority::Normal };
    Idempotency idempotency { Idempotency::NonIdempotent };
    RequestSource source { RequestSource::Caller };
    Instant deadline; // on this host's clock
    std::shared_ptr<const std::string> body;
};

} // namespace dragonflytray
