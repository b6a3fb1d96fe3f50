#include "transport/internal/http_connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http.hpp>

namespace dragonflytray::internal {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

    constexpr std::size_t discardLimit = 1 << 20; // bytes after a refusal
    constexpr Duration discardTimeout = std::chrono::seconds(2);

    // RefusalResponse is the response to a refused request. The causes without one end the connection only.
    struct RefusalResponse {
        unsigned status { 0 };
        std::string_view reason;
        std::string_view detail;
    };

    constexpr std::array<RefusalResponse, clientRefusalNames.size()> refusalResponses { {
        { 413, "too-large", "the body is over the limit" },
        { 431, "too-large", "the header is over the limit" },
        { 431, "too-large", "the number of header fields is over the limit" },
        { 431, "too-large", "a chunk header or the trailers are over the limit" },
        { 413, "too-large", "the request with its framing is over the limit" },
        { 400, "malformed", "the request is not well-formed HTTP" },
        { 405, "malformed", "the method is not supported" },
        { 503, "overloaded", "too many incomplete requests" },
        {},
        {},
        {},
        {},
        {},
        { 503, "shutting-down", "the host shuts down" },
    } };

    HttpResponse responseTo(ClientRefusal cause)
    {
        const RefusalResponse& refusal = refusalResponses[indexOf(cause)];
        HttpResponse response { .status = refusal.status };
        response.body = R"({"outcome":"not-run","reason":")";
        response.body.append(refusal.reason).append(R"(","detail":")").append(refusal.detail).append("\"}");
        if (cause == ClientRefusal::ReceiveBudget || cause == ClientRefusal::ShuttingDown)
            response.headers["retry-after"] = "1";
        return response;
    }

    template <typename Message>
    void fillHead(Message& message, const HttpResponse& response)
    {
        message.set(http::field::content_type, response.contentType);
        for (const auto& [name, value] : response.headers)
            message.set(name, value);
    }

    // memoryOfRequest() is what one request takes at most: its body doubles its memory as it grows.
    std::size_t memoryOfRequest(const HttpServer::Options& options)
    {
        return 2 * options.bodyLimit + options.headerLimit + options.bufferLimit;
    }

    RequestLimits limitsOf(const HttpServer::Options& options)
    {
        const std::size_t wire = options.wireLimit > 0 ? options.wireLimit : memoryOfRequest(options);
        return { .body = options.bodyLimit, .header = options.headerLimit, .fields = options.fieldLimit, .buffer = options.bufferLimit, .wire = wire };
    }

} // namespace

HttpServerState::HttpServerState(boost::asio::io_context& context, HttpServer::Options options, HttpServer::Handler handler)
    : options(std::move(options))
    , limits(limitsOf(this->options))
    , handler(std::move(handler))
    , acceptor(context)
    , acceptPause(context)
    , closeTimer(context)
    , table({ .connectionLimit = this->options.connectionLimit, .receiveBudget = std::max(this->options.receiveBudget, memoryOfRequest(this->options)) }) // a single request is served
{
}

void HttpServerState::refuse(ClientRefusal cause)
{
    const auto sentence = this->refusals.add(cause, BootClock::now());
    if (sentence && this->options.log)
        this->options.log(*sentence);
}

bool HttpServerState::replaceOne()
{
    const auto victim = this->table.replaceable(BootClock::now());
    if (!victim)
        return false;
    this->refuse(ClientRefusal::Replaced);
    this->connections.at(*victim)->terminate();
    return true;
}

void HttpServerState::enforceBudget()
{
    while (const auto victim = this->table.overBudget())
        this->connections.at(*victim)->refuseIncomplete(ClientRefusal::ReceiveBudget);
}

void HttpServerState::beginClose()
{
    this->closeConnections(ClosePass::LongIdle);
    this->connectionEnded();
}

void HttpServerState::closeConnections(ClosePass pass)
{
    const Instant now = BootClock::now();
    this->closePass = pass;
    const bool isLast = pass == ClosePass::Last;
    for (const ConnectionId id : this->table.inPhaseSince(ConnectionPhase::Idle, isLast ? now : now - this->options.closeLinger))
        this->connections.at(id)->closeIdle();
    if (isLast) {
        for (const ConnectionId id : this->table.inPhaseSince(ConnectionPhase::Receiving, now))
            this->connections.at(id)->refuseIncomplete(ClientRefusal::ShuttingDown);
        return;
    }
    this->closeTimer.expires_after(this->options.closeLinger);
    this->closeTimer.async_wait([self = this->shared_from_this(), pass](boost::system::error_code error) {
        if (!error)
            self->closeConnections(pass == ClosePass::LongIdle ? ClosePass::NewlyIdle : ClosePass::Last);
    });
}

Duration HttpServerState::requestTimeout() const
{
    return this->closePass == ClosePass::Last ? this->options.closeLinger : this->options.requestTimeout;
}

void HttpServerState::connectionEnded()
{
    if (this->closePass == ClosePass::None || this->table.size() > 0)
        return;
    this->closeTimer.cancel();
    if (const auto callback = std::exchange(this->ended, {}))
        callback();
}

// Reply is the handler's side of one request.
class HttpConnection::Reply : public HttpReply {
public:
    explicit Reply(std::shared_ptr<HttpConnection> connection)
        : connection(std::move(connection))
    {
    }

    ~Reply() override
    {
        if (!this->isAnswered)
            this->connection->closeUnanswered();
    }

    void send(HttpResponse response) override
    {
        this->isAnswered = true;
        this->connection->send(std::move(response));
    }

    void beginStream(HttpResponse head) override
    {
        this->isAnswered = true;
        this->connection->beginStream(std::move(head));
    }

    bool sendPart(std::string part) override { return this->connection->sendPart(std::move(part)); }
    void endStream() override { this->connection->endStream(); }

private:
    std::shared_ptr<HttpConnection> connection;
    bool isAnswered { false };
};

HttpConnection::HttpConnection(std::shared_ptr<HttpServerState> state, tcp::socket socket)
    : state(std::move(state))
    , stream(std::move(socket))
    , id(this->state->table.open(BootClock::now()))
    , generation(this->state->generation)
{
    this->state->connections.emplace(this->id, this);
}

HttpConnection::~HttpConnection()
{
    this->endRequest();
    this->state->table.close(this->id);
    this->state->connections.erase(this->id);
    this->state->connectionEnded();
}

void HttpConnection::awaitRequest()
{
    if (this->reader && this->reader->hasBytes()) {
        this->enter(ConnectionPhase::Receiving);
        this->stream.expires_after(this->state->requestTimeout());
        return this->advance(this->reader->begin());
    }
    this->reader.reset();
    this->enter(ConnectionPhase::Idle);
    this->stream.expires_after(this->state->options.idleTimeout);
    this->stream.async_read_some(boost::asio::buffer(this->firstBytes), [self = this->shared_from_this()](Error error, std::size_t count) { self->firstBytesRead(error, count); });
    if (this->state->closePass == ClosePass::Last)
        this->closeIdle();
}

bool HttpConnection::hasUnreadBytes() const
{
    Error error;
    return this->stream.socket().available(error) > 0 && !error;
}

void HttpConnection::terminate()
{
    this->isTerminated = true;
    this->state->table.close(this->id);
    this->state->connections.erase(this->id);
    this->stream.close();
    this->state->connectionEnded();
}

void HttpConnection::closeIdle()
{
    // A read that has ended keeps its result, so that the handler of the read knows whether a request has begun.
    this->stream.cancel();
}

void HttpConnection::refuseIncomplete(ClientRefusal cause)
{
    // The read in progress writes to the reader's buffer until its handler has run.
    this->pendingRefusal = cause;
    this->enter(ConnectionPhase::Closing);
    this->stream.cancel();
}

void HttpConnection::firstBytesRead(Error error, std::size_t count)
{
    if (this->isTerminated)
        return;
    if (error == boost::asio::error::operation_aborted && this->hasUnreadBytes())
        return this->awaitRequest();
    if (error)
        return;
    this->enter(ConnectionPhase::Receiving);
    this->stream.expires_after(this->state->requestTimeout());
    this->reader = std::make_unique<RequestReader>(this->state->limits);
    this->advance(this->reader->append({ this->firstBytes.data(), count }));
}

void HttpConnection::readMore()
{
    this->stream.async_read_some(this->reader->prepare(), [self = this->shared_from_this()](Error error, std::size_t count) { self->bytesRead(error, count); });
}

void HttpConnection::bytesRead(Error error, std::size_t count)
{
    if (this->isTerminated)
        return;
    if (this->pendingRefusal)
        return this->refuseAndClose(*this->pendingRefusal);
    if (error == beast::error::timeout)
        this->state->refuse(ClientRefusal::RequestTimeout);
    if (error)
        return;
    this->advance(this->reader->commit(count));
}

void HttpConnection::advance(ReadProgress progress)
{
    if (progress == ReadProgress::Refused)
        return this->refuseAndClose(this->reader->refusal());
    if (progress == ReadProgress::Complete)
        return this->handleRequest();
    this->readMore();
    this->state->table.setReceived(this->id, this->reader->heldBytes());
    this->state->enforceBudget();
}

void HttpConnection::handleRequest()
{
    this->beginRequest();
    this->enter(ConnectionPhase::Handling);
    ReceivedRequest received = this->reader->take();
    if (!this->reader->hasBytes())
        this->reader.reset();
    this->isKeptAlive = received.isKeptAlive;
    if (!received.method)
        return this->refuseAndClose(ClientRefusal::UnsupportedMethod);
    this->stream.expires_never();
    if (this->generation < this->state->generation)
        return this->swallowRequest();
    this->state->handler(std::move(received.request), std::make_shared<Reply>(this->shared_from_this()));
}

void HttpConnection::swallowRequest()
{
    this->stream.async_read_some(boost::asio::buffer(this->state->discarded), [self = this->shared_from_this()](Error error, std::size_t) {
        if (!error)
            self->swallowRequest();
    });
}

void HttpConnection::send(HttpResponse response)
{
    this->enter(ConnectionPhase::Responding);
    this->write(std::move(response));
}

void HttpConnection::write(HttpResponse response)
{
    auto message = std::make_shared<http::response<http::string_body>>(http::int_to_status(response.status), 11);
    fillHead(*message, response);
    // Requests that have arrived behind this one are answered too: a close with unread bytes resets the connection.
    const bool isLast = this->state->isStopping && !this->reader && !this->hasUnreadBytes();
    message->keep_alive(this->isKeptAlive && !isLast);
    message->body() = std::move(response.body);
    message->prepare_payload();
    this->stream.expires_after(this->state->options.idleTimeout);
    http::async_write(this->stream, *message, [self = this->shared_from_this(), message](Error error, std::size_t) {
        self->responseWritten(error, message->keep_alive());
    });
}

void HttpConnection::responseWritten(Error error, bool isKeptOpen)
{
    this->endRequest();
    if (this->isTerminated)
        return;
    if (error == beast::error::timeout)
        this->state->refuse(ClientRefusal::ResponseNotRead);
    if (error)
        return;
    if (isKeptOpen)
        return this->awaitRequest();
    this->stream.socket().shutdown(tcp::socket::shutdown_send, error);
    if (this->phase != ConnectionPhase::Closing)
        return;
    this->stream.expires_after(discardTimeout);
    this->discardRest();
}

void HttpConnection::refuseAndClose(ClientRefusal cause)
{
    this->state->refuse(cause);
    this->reader.reset();
    this->beginRequest();
    this->enter(ConnectionPhase::Closing);
    this->isKeptAlive = false;
    this->write(responseTo(cause));
}

void HttpConnection::discardRest()
{
    this->stream.async_read_some(boost::asio::buffer(this->state->discarded), [self = this->shared_from_this()](Error error, std::size_t count) {
        self->discardedBytes += count;
        if (!error && !self->isTerminated && self->discardedBytes < discardLimit)
            self->discardRest();
    });
}

void HttpConnection::beginStream(HttpResponse head)
{
    auto message = std::make_shared<http::response<http::empty_body>>(http::int_to_status(head.status), 11);
    fillHead(*message, head);
    message->chunked(true);
    this->stream.expires_after(this->state->options.idleTimeout);
    this->isWriting = true;
    auto serializer = std::make_shared<http::response_serializer<http::empty_body>>(*message);
    http::async_write_header(this->stream, *serializer, [self = this->shared_from_this(), message, serializer](Error error, std::size_t) {
        self->partWritten(error);
    });
}

bool HttpConnection::sendPart(std::string part)
{
    const HttpServer::Options& options = this->state->options;
    const bool isOverBytes = !this->parts.empty() && this->partBytes + part.size() > options.streamBytes;
    if (this->isBroken || this->parts.size() >= options.streamBacklog || isOverBytes)
        return false;
    this->partBytes += part.size();
    this->parts.push_back(std::move(part));
    this->writePart();
    return true;
}

void HttpConnection::endStream()
{
    this->isStreamEnding = true;
    this->writePart();
}

void HttpConnection::writePart()
{
    if (this->isWriting || this->isBroken)
        return;
    if (this->parts.empty() && !this->isStreamEnding)
        return;
    this->isWriting = true;
    this->stream.expires_after(this->state->options.idleTimeout);
    if (this->parts.empty())
        return this->writeLastChunk();
    auto part = std::make_shared<std::string>(std::move(this->parts.front()));
    this->parts.pop_front();
    this->partBytes -= part->size();
    boost::asio::async_write(this->stream, http::make_chunk(boost::asio::buffer(*part)), [self = this->shared_from_this(), part](Error error, std::size_t) {
        self->partWritten(error);
    });
}

void HttpConnection::writeLastChunk()
{
    boost::asio::async_write(this->stream, http::make_chunk_last(), [self = this->shared_from_this()](Error error, std::size_t) {
        self->responseWritten(error, false);
    });
}

void HttpConnection::partWritten(Error error)
{
    this->isWriting = false;
    if (error == beast::error::timeout)
        this->state->refuse(ClientRefusal::ResponseNotRead);
    this->isBroken = this->isBroken || error;
    this->writePart();
}

void HttpConnection::closeUnanswered()
{
    Error ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

void HttpConnection::enter(ConnectionPhase phase)
{
    this->phase = phase;
    this->state->table.enter(this->id, phase, BootClock::now());
}

void HttpConnection::beginRequest()
{
    if (!this->isInRequest)
        ++this->state->openRequests;
    this->isInRequest = true;
}

void HttpConnection::endRequest()
{
    if (this->isInRequest)
        --this->state->openRequests;
    this->isInRequest = false;
}

} // namespace dragonflytray::internal
