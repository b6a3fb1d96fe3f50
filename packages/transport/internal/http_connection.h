#pragma once

// The connections of an HttpServer and what they share; for this library's own sources.

#include "transport/connection_table.h"
#include "transport/http_server.h"
#include "transport/internal/request_reader.h"
#include <array>
#include <deque>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace dragonflytray::internal {

class HttpConnection;

// ClosePass is how far the end of a server's connections has come. Passes are `closeLinger` apart.
enum class ClosePass {
    None,
    LongIdle, // connections that have been idle for `closeLinger` are closed
    NewlyIdle, // so are those that were opened or answered just before the first pass
    Last, // no connection is kept idle, and incomplete requests are refused
};

// HttpServerState is what a server and its connections share.
struct HttpServerState : std::enable_shared_from_this<HttpServerState> {
    HttpServerState(boost::asio::io_context& context, HttpServer::Options options, HttpServer::Handler handler);

    // refuse() counts a refusal and logs it, if a line is due.
    void refuse(ClientRefusal cause);

    // replaceOne() ends the connection that makes space; false if there is none.
    bool replaceOne();

    // enforceBudget() refuses incomplete requests until the rest is within the budget.
    void enforceBudget();

    // beginClose() ends the connections in passes, and calls `ended` once none is left.
    void beginClose();
    void closeConnections(ClosePass pass);

    // requestTimeout() is the time for a request that begins to arrive now.
    Duration requestTimeout() const;

    // connectionEnded() is called after each removal of a connection from the table.
    void connectionEnded();

    const HttpServer::Options options;
    const RequestLimits limits;
    HttpServer::Handler handler;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer acceptPause;
    boost::asio::steady_timer closeTimer;
    ClosePass closePass { ClosePass::None };
    std::function<void()> ended; // called once, when no connection is left after beginClose()
    ConnectionTable table;
    std::unordered_map<ConnectionId, HttpConnection*> connections; // those in the table
    RefusalSummary refusals;
    std::size_t openRequests { 0 };
    std::uint64_t generation { 0 }; // connections of an earlier generation are silent
    bool isStopping { false };
    std::array<char, 16 << 10> discarded {}; // receives bytes that nobody reads
};

// HttpConnection serves the requests of one socket, one at a time. It lives as long as an operation on its socket or a reply does.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(std::shared_ptr<HttpServerState> state, boost::asio::ip::tcp::socket socket);
    ~HttpConnection();

    // awaitRequest() waits for the next request, without a buffer if none of it has arrived.
    void awaitRequest();

    // hasUnreadBytes() says whether bytes are in the socket.
    bool hasUnreadBytes() const;

    // terminate() closes the socket at once.
    void terminate();

    // closeIdle() closes a connection between two requests, unless bytes of the next one have arrived.
    void closeIdle();

    // refuseIncomplete() refuses the request that is arriving.
    void refuseIncomplete(ClientRefusal cause);

private:
    class Reply;
    using Error = boost::beast::error_code;

    void firstBytesRead(Error error, std::size_t count);
    void readMore();
    void bytesRead(Error error, std::size_t count);
    void advance(ReadProgress progress);
    void handleRequest();
    // swallowRequest() keeps the connection open without a response until the peer gives up.
    void swallowRequest();

    void send(HttpResponse response);
    void write(HttpResponse response);
    void responseWritten(Error error, bool isKeptOpen);
    void refuseAndClose(ClientRefusal cause);
    // discardRest() reads what the peer still sends, within bounds: a close with unread bytes resets the connection, and the peer
    // would lose the refusal.
    void discardRest();

    void beginStream(HttpResponse head);
    bool sendPart(std::string part);
    void endStream();
    void writePart();
    void writeLastChunk();
    void partWritten(Error error);

    void closeUnanswered();
    void enter(ConnectionPhase phase);
    void beginRequest();
    void endRequest();

    std::shared_ptr<HttpServerState> state;
    boost::beast::tcp_stream stream;
    ConnectionId id {};
    std::unique_ptr<RequestReader> reader; // while a request arrives, and while bytes of the next one are there
    std::array<char, 256> firstBytes {}; // of a request
    std::deque<std::string> parts;
    std::size_t partBytes { 0 }; // of `parts`
    std::size_t discardedBytes { 0 };
    std::uint64_t generation { 0 };
    std::optional<ClientRefusal> pendingRefusal; // until the read in progress has ended
    ConnectionPhase phase { ConnectionPhase::Idle };
    bool isTerminated { false };
    bool isKeptAlive { false };
    bool isInRequest { false };
    bool isWriting { false };
    bool isStreamEnding { false };
    bool isBroken { false };
};

} // namespace dragonflytray::internal
