#include "transport/http_server.h"

#include "transport/internal/http_connection.h"
#include "transport/internal/io_loop_internals.h"
#include <algorithm>

#include <boost/asio/post.hpp>

namespace dragonflytray {

using boost::asio::ip::tcp;
using internal::HttpConnection;
using internal::HttpServerState;
using SystemError = boost::system::error_code;

namespace {

    constexpr Duration acceptPause = std::chrono::milliseconds(50); // while the process has no descriptor left

    void acceptNext(const std::shared_ptr<HttpServerState>& state);

    // admit() serves a new connection, in the place of another one if necessary.
    void admit(const std::shared_ptr<HttpServerState>& state, tcp::socket socket)
    {
        while (state->table.isFull(BootClock::now())) {
            if (!state->replaceOne())
                return state->refuse(ClientRefusal::ConnectionsFull);
        }
        SystemError ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<HttpConnection>(state, std::move(socket))->awaitRequest();
    }

    // pauseAccepting() frees descriptors and accepts again after a pause: the failure would repeat at once.
    void pauseAccepting(const std::shared_ptr<HttpServerState>& state)
    {
        state->refuse(ClientRefusal::NoDescriptor);
        state->table.noteShortage(BootClock::now());
        while (state->table.isFull(BootClock::now()) && state->replaceOne())
            continue;
        state->acceptPause.expires_after(acceptPause);
        state->acceptPause.async_wait([state](SystemError error) {
            if (!error && state->acceptor.is_open())
                acceptNext(state);
        });
    }

    void acceptNext(const std::shared_ptr<HttpServerState>& state)
    {
        state->acceptor.async_accept([state](SystemError error, tcp::socket socket) {
            if (!error)
                admit(state, std::move(socket));
            if (!state->acceptor.is_open())
                return;
            if (error && error != boost::asio::error::connection_aborted)
                return pauseAccepting(state);
            acceptNext(state);
        });
    }

    // admitPending() serves the connections that wait in the kernel; the close of the listening socket would reset them.
    void admitPending(const std::shared_ptr<HttpServerState>& state)
    {
        SystemError error;
        state->acceptor.non_blocking(true, error);
        for (int count = 0; count < boost::asio::socket_base::max_listen_connections && !error; ++count) {
            tcp::socket socket = state->acceptor.accept(error);
            if (!error)
                admit(state, std::move(socket));
        }
    }

} // namespace

HttpServer::HttpServer(IoLoop& loop, Options options, Handler handler)
    : state(std::make_shared<HttpServerState>(loop.internals().context, std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    this->state->ended = {}; // connections may outlive the server
}

tl::expected<Endpoint, std::string> HttpServer::start()
{
    SystemError error;
    const auto address = boost::asio::ip::make_address(this->state->options.endpoint.address, error);
    if (error)
        return tl::unexpected("not an IP address: " + this->state->options.endpoint.address);
    const tcp::endpoint endpoint(address, this->state->options.endpoint.port);
    this->state->acceptor.open(endpoint.protocol(), error);
    if (!error)
        this->state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        this->state->acceptor.bind(endpoint, error);
    if (!error)
        this->state->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return tl::unexpected("cannot listen on " + formatEndpoint(this->state->options.endpoint) + ": " + error.message());
    acceptNext(this->state);
    return Endpoint { this->state->options.endpoint.address, this->state->acceptor.local_endpoint().port() };
}

void HttpServer::announceClose()
{
    this->state->isStopping = true;
}

void HttpServer::stopAccepting(std::function<void()> ended)
{
    SystemError ignored;
    this->announceClose();
    this->state->ended = std::move(ended);
    admitPending(this->state);
    this->state->acceptor.close(ignored);
    // A connection that has been accepted already is admitted by its handler, which runs before what is posted now.
    boost::asio::post(this->state->acceptor.get_executor(), [state = this->state] { state->beginClose(); });
}

void HttpServer::silenceConnections()
{
    ++this->state->generation;
}

std::size_t HttpServer::openRequests() const
{
    return this->state->openRequests;
}

std::size_t HttpServer::openConnections() const
{
    return this->state->table.size();
}

ConnectionCounts HttpServer::connectionCounts() const
{
    return this->state->table.counts();
}

std::size_t HttpServer::unreadConnections() const
{
    const auto hasUnread = [](const auto& entry) { return entry.second->hasUnreadBytes(); };
    return static_cast<std::size_t>(std::count_if(this->state->connections.begin(), this->state->connections.end(), hasUnread));
}

const ClientRefusalCounts& HttpServer::refusals() const
{
    return this->state->refusals.counts();
}

} // namespace dragonflytray
