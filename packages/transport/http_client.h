#pragma once

// An HTTP/1.1 client that says exactly what is known about a failed send, and never uses again a
// connection on which an answer was abandoned.
//
// A connection can go silent for good while new ones work. Two rules bound the harm: a connection that was
// idle for longer than `idleLimit` is not used again, and an answer that does not come in time condemns
// every idle connection to the same endpoint, so that the next send opens a fresh one.

#include "transport/http_message.h"
#include "transport/io_loop.h"
#include <functional>
#include <limits>
#include <memory>
#include <tl/expected.hpp>

namespace dragonflytray {

// SendFailureKind says what went wrong with a send.
enum class SendFailureKind {
    ConnectFailed,
    ConnectTimeout,
    TooManyConnections,
    ConnectionLost,
    AnswerTimeout,
    MalformedAnswer,
};

inline constexpr NameTable sendFailureKindNames { std::to_array<NameEntry<SendFailureKind>>({
    { SendFailureKind::ConnectFailed, "connect-failed" },
    { SendFailureKind::ConnectTimeout, "connect-timeout" },
    { SendFailureKind::TooManyConnections, "too-many-connections" },
    { SendFailureKind::ConnectionLost, "connection-lost" },
    { SendFailureKind::AnswerTimeout, "answer-timeout" },
    { SendFailureKind::MalformedAnswer, "malformed-answer" },
}) };
static_assert(sendFailureKindNames.isWhole(SendFailureKind::MalformedAnswer));

// SendFailure is a failed send. `isSurelyNotSent` holds when no byte can have reached the peer.
struct SendFailure {
    SendFailureKind kind { SendFailureKind::ConnectFailed };
    bool isSurelyNotSent { false };
    std::string detail;
};

// HttpClient sends requests over pooled connections on one loop. Not thread-safe.
class HttpClient {
public:
    struct Options {
        Duration connectTimeout { std::chrono::seconds(1) };
        Duration idleLimit { std::chrono::seconds(20) }; // an idle connection older than this is not used
        std::size_t connectionLimit { 64 }; // for each endpoint
        std::size_t totalConnections { std::numeric_limits<std::size_t>::max() }; // to all endpoints; idle ones are closed for a new one
        std::size_t bodyLimit { 8 << 20 }; // bytes of an answer
        Duration progressTimeout { 0 }; // an answer that goes on arriving may take longer than its send allows, while no part of it takes this long; 0: it may not
    };
    using Completion = std::function<void(tl::expected<HttpResponse, SendFailure>)>;

    // StreamHandlers receive the parts of a streamed answer. onPart returns false to end the stream.
    struct StreamHandlers {
        std::function<bool(std::string)> onPart;
        Completion onEnd;
    };

    HttpClient(IoLoop& loop, Options options);
    ~HttpClient();

    // send() sends `request` to `endpoint` and completes on the loop's thread after it has returned, within `timeout`, or later only
    // as Options::progressTimeout says.
    void send(const Endpoint& endpoint, HttpRequest request, Duration timeout, Completion completion);

    // stream() sends `request` on a connection of its own and hands over each part of the answer as it
    // comes. `silenceLimit` bounds the time between two parts.
    void stream(const Endpoint& endpoint, HttpRequest request, Duration silenceLimit, StreamHandlers handlers);

    // closeIdle() drops the idle connections to `endpoint`.
    void closeIdle(const Endpoint& endpoint);

private:
    struct State;
    std::shared_ptr<State> state;
};

// sendAndWait() sends one request on a loop of its own and waits for the answer; for command lines and tests.
tl::expected<HttpResponse, SendFailure> sendAndWait(const Endpoint& endpoint, HttpRequest request, Duration timeout);

} // namespace dragonflytray
