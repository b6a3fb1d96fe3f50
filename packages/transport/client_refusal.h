#pragma once

// Why a server refuses a request or ends a connection, how often it has done so, and the log line about it.

#include "base/base.h"
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflytray {

// ClientRefusal lists the causes for which a request is refused or a connection is ended by the server.
enum class ClientRefusal {
    BodyTooLarge,
    HeaderTooLarge,
    TooManyFields,
    FramingTooLarge,
    RequestTooLarge,
    Malformed,
    UnsupportedMethod,
    ReceiveBudget,
    RequestTimeout,
    ResponseNotRead,
    Replaced,
    ConnectionsFull,
    NoDescriptor,
    ShuttingDown,
};

inline constexpr NameTable clientRefusalNames { std::to_array<NameEntry<ClientRefusal>>({
    { ClientRefusal::BodyTooLarge, "body-too-large" },
    { ClientRefusal::HeaderTooLarge, "header-too-large" },
    { ClientRefusal::TooManyFields, "too-many-fields" },
    { ClientRefusal::FramingTooLarge, "framing-too-large" },
    { ClientRefusal::RequestTooLarge, "request-too-large" },
    { ClientRefusal::Malformed, "malformed" },
    { ClientRefusal::UnsupportedMethod, "unsupported-method" },
    { ClientRefusal::ReceiveBudget, "receive-budget" },
    { ClientRefusal::RequestTimeout, "request-timeout" },
    { ClientRefusal::ResponseNotRead, "response-not-read" },
    { ClientRefusal::Replaced, "replaced" },
    { ClientRefusal::ConnectionsFull, "connections-full" },
    { ClientRefusal::NoDescriptor, "no-descriptor" },
    { ClientRefusal::ShuttingDown, "shutting-down" },
}) };
static_assert(clientRefusalNames.isWhole(ClientRefusal::ShuttingDown));

// ClientRefusalCounts counts by cause since the start of the server.
using ClientRefusalCounts = EnumArray<ClientRefusal, std::uint64_t, clientRefusalNames.size()>;

// RefusalSummary counts refusals and says what to log: one sentence in each interval at most. Not thread-safe.
class RefusalSummary {
public:
    // add() counts one refusal. It returns the sentence to log now, which covers all refusals since the last sentence.
    std::optional<std::string> add(ClientRefusal cause, Instant now);

    const ClientRefusalCounts& counts() const { return this->total; }

private:
    ClientRefusalCounts total {};
    ClientRefusalCounts logged {};
    std::optional<Instant> lastLine;
};

} // namespace dragonflytray
