#pragma once

// An HTTP/1.1 server with limits on everything that comes from outside.

#include "transport/client_refusal.h"
#include "transport/connection_table.h"
#include "transport/http_message.h"
#include "transport/io_loop.h"
#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace dragonflytray {

namespace internal {
    struct HttpServerState;
} // namespace internal

// HttpReply answers one request. All calls belong to the loop's thread. A reply that is dropped
// without an answer closes the connection.
class HttpReply {
public:
    virtual ~HttpReply() = default;

    // send() writes the whole response. Call it once.
    virtual void send(HttpResponse response) = 0;

    // beginStream() writes the head of a chunked response; sendPart() and endStream() follow.
    virtual void beginStream(HttpResponse head) = 0;

    // sendPart() queues one chunk; false once the peer is gone or too far behind.
    virtual bool sendPart(std::string part) = 0;

    // endStream() writes the last chunk after those that are queued.
    virtual void endStream() = 0;
};

// HttpServer accepts connections on a loop and hands whole requests to one handler. Clients are not trusted: at the connection limit
// a new connection replaces the one that has been idle or incomplete for longest, and a request over a limit is refused. A refused
// or incomplete request has not been run. A connection whose request is with the handler is never ended to make space.
class HttpServer {
public:
    struct Options {
        Endpoint endpoint; // port 0: any free port
        std::size_t bodyLimit { 1 << 20 }; // bytes
        std::size_t headerLimit { 16 << 10 }; // bytes
        std::size_t connectionLimit { 4096 };
        std::size_t streamBacklog { 256 }; // chunks queued for a slow reader
        Duration idleTimeout { std::chrono::seconds(60) }; // between requests, and of a response that the client does not read
        Duration requestTimeout { std::chrono::seconds(60) }; // from the first byte of a request until it is whole
        Duration closeLinger { std::chrono::milliseconds(500) }; // for the first request of a new connection after stopAccepting()
        std::size_t bufferLimit { 64 << 10 }; // bytes of a connection that are not parsed yet: a chunk header or the trailers
        std::size_t fieldLimit { 128 }; // header fields and trailers of a request
        std::size_t wireLimit { 0 }; // bytes of a request with its framing; 0: twice `bodyLimit`, and the header and buffer limits
        std::size_t receiveBudget { 32 << 20 }; // bytes of all incomplete requests; at least one whole request fits
        std::size_t streamBytes { 1 << 20 }; // queued for a slow reader
        std::function<void(const std::string& sentence)> log {}; // about refusals, at most once in ten seconds
    };
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

    HttpServer(IoLoop& loop, Options options, Handler handler);
    ~HttpServer();

    // start() binds and listens; the bound endpoint, or a sentence that says why not.
    tl::expected<Endpoint, std::string> start();

    // announceClose() makes every response from now on the last one of its connection, unless another request has arrived behind it.
    // New connections are still accepted, so that callers move away without a request being cut off.
    void announceClose();

    // stopAccepting() accepts the connections that wait, closes the listening socket, announces the close and ends the connections
    // without cutting off a request that has been read: an idle connection is closed once it has been idle for `closeLinger` and
    // nothing has arrived on it, any other one after its last response. A request that is not whole after twice `closeLinger` is
    // refused. `ended` is called once, on the loop's thread, when no connection is left; a client that does not read its response
    // delays it. Call it once.
    void stopAccepting(std::function<void()> ended = {});

    // silenceConnections() makes every connection that is open now swallow its requests for good, while
    // new connections work; for stand-ins that play a network which has lost track of connections.
    void silenceConnections();

    // openRequests() is the number of requests that have no whole response yet.
    std::size_t openRequests() const;

    // openConnections() is the number of connections, idle ones included.
    std::size_t openConnections() const;

    // connectionCounts() is the number of connections in each phase.
    ConnectionCounts connectionCounts() const;

    // unreadConnections() is the number of connections with bytes that have arrived and have not been read. One call of the kernel
    // for each connection.
    std::size_t unreadConnections() const;

    // refusals() counts refused requests and ended connections by cause.
    const ClientRefusalCounts& refusals() const;

private:
    std::shared_ptr<internal::HttpServerState> state;
};

} // namespace dragonflytray
