#include "transport/http_client.h"

#include "transport/internal/io_loop_internals.h"
#include <cerrno>
#include <optional>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace dragonflytray {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

    // Maximum size of one read. Each read takes a turn of the event loop, and Beast reads only 512 bytes at a time into
    // a buffer without reserved capacity.
    constexpr std::size_t readSize = 64 << 10;

    struct Connection {
        explicit Connection(boost::asio::io_context& context)
            : stream(context)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        Instant idleSince;
    };

    // isQuiet() says whether an idle connection is open and has nothing to read. What comes unasked is a
    // close, or an answer that crossed: in both cases the connection must not be used again.
    bool isQuiet(Connection& connection)
    {
        char byte = 0;
        const auto received = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    struct Pool {
        std::vector<std::unique_ptr<Connection>> idle;
        std::size_t open { 0 };
    };

} // namespace

struct HttpClient::State {
    boost::asio::io_context& context;
    Options options;
    std::map<Endpoint, Pool> pools;
    std::size_t open { 0 }; // connections to all endpoints

    // takeIdle() is a connection that was idle for less than the limit, newest first, or nothing.
    std::unique_ptr<Connection> takeIdle(Pool& pool)
    {
        const Instant oldest = BootClock::now() - this->options.idleLimit;
        std::unique_ptr<Connection> taken;
        while (!taken && !pool.idle.empty() && pool.idle.back()->idleSince >= oldest) {
            taken = std::move(pool.idle.back());
            pool.idle.pop_back();
            if (isQuiet(*taken))
                break;
            taken.reset();
            this->noteClosed(pool, 1);
        }
        while (!pool.idle.empty() && pool.idle.front()->idleSince < oldest) {
            pool.idle.erase(pool.idle.begin());
            this->noteClosed(pool, 1);
        }
        return taken;
    }

    // closeIdle() drops every idle connection of one endpoint.
    void closeIdle(const Endpoint& endpoint)
    {
        const auto found = this->pools.find(endpoint);
        if (found == this->pools.end())
            return;
        this->noteClosed(found->second, found->second.idle.size());
        found->second.idle.clear();
        this->forgetUnused(endpoint);
    }

    // makeRoom() closes idle connections if no further one may be opened, and says whether one may be opened to `wanted` then. The
    // pool of `wanted` stays. Linear in the endpoints if there is no room.
    bool makeRoom(const Endpoint& wanted)
    {
        if (this->open < this->options.totalConnections)
            return true;
        for (auto& [endpoint, pool] : this->pools) {
            this->noteClosed(pool, pool.idle.size());
            pool.idle.clear();
        }
        std::erase_if(this->pools, [&wanted](const auto& entry) { return entry.second.open == 0 && entry.first != wanted; });
        return this->open < this->options.totalConnections;
    }

    // noteClosed() counts connections of a pool that are closed.
    void noteClosed(Pool& pool, std::size_t count)
    {
        pool.open -= count;
        this->open -= count;
    }

    // forgetUnused() removes the pool of an endpoint without connections.
    void forgetUnused(const Endpoint& endpoint)
    {
        const auto found = this->pools.find(endpoint);
        if (found != this->pools.end() && found->second.open == 0)
            this->pools.erase(found);
    }
};

namespace internal {

    // Exchange is one request and its answer. It owns its connection until it ends.
    template <typename State>
    class Exchange : public std::enable_shared_from_this<Exchange<State>> {
    public:
        struct Plan {
            Endpoint endpoint;
            HttpRequest request;
            Instant deadline;
            Duration silenceLimit;
            HttpClient::Completion completion;
            std::function<bool(std::string)> onPart; // set for streams
        };

        Exchange(std::shared_ptr<State> state, Plan plan)
            : state(std::move(state))
            , plan(std::move(plan))
        {
        }

        void start()
        {
            Pool& pool = this->state->pools[this->plan.endpoint];
            this->connection = this->state->takeIdle(pool);
            if (this->connection)
                return this->write();
            if (pool.open >= this->state->options.connectionLimit || !this->state->makeRoom(this->plan.endpoint)) {
                this->state->forgetUnused(this->plan.endpoint);
                return this->finishLater({ SendFailureKind::TooManyConnections, true, "every connection is in use" });
            }
            this->connect(pool);
        }

    private:
        void connect(Pool& pool)
        {
            beast::error_code error;
            const auto address = boost::asio::ip::make_address(this->plan.endpoint.address, error);
            if (error) {
                this->state->forgetUnused(this->plan.endpoint);
                return this->finishLater({ SendFailureKind::ConnectFailed, true, "not an IP address" });
            }
            ++pool.open;
            ++this->state->open;
            this->connection = std::make_unique<Connection>(this->state->context);
            this->connection->stream.expires_after(std::min(this->state->options.connectTimeout, this->remaining()));
            this->connection->stream.async_connect(tcp::endpoint(address, this->plan.endpoint.port),
                [self = this->shared_from_this()](beast::error_code connectError) { self->connected(connectError); });
        }

        void connected(beast::error_code error)
        {
            if (error == beast::error::timeout)
                return this->drop({ SendFailureKind::ConnectTimeout, true, error.message() });
            if (error)
                return this->drop({ SendFailureKind::ConnectFailed, true, error.message() });
            this->connection->stream.socket().set_option(tcp::no_delay(true), error);
            this->write();
        }

        void write()
        {
            const auto verb = http::string_to_verb(std::string(httpMethodNames.nameOf(this->plan.request.method)));
            this->message.method(verb);
            this->message.version(11);
            this->message.target(this->plan.request.target);
            this->message.set(http::field::host, formatEndpoint(this->plan.endpoint));
            for (const auto& [name, value] : this->plan.request.headers)
                this->message.set(name, value);
            this->message.body() = std::move(this->plan.request.body);
            this->message.prepare_payload();
            this->connection->stream.expires_after(this->stepLimit());
            http::async_write(this->connection->stream, this->message,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) { self->written(error); });
        }

        void written(beast::error_code error)
        {
            if (error)
                return this->dropAfterSend(error);
            this->connection->buffer.reserve(readSize);
            this->parser.emplace();
            this->parser->body_limit(this->plan.onPart ? std::numeric_limits<std::uint64_t>::max() : this->state->options.bodyLimit);
            if (this->plan.onPart)
                return this->readStreamHead();
            if (this->state->options.progressTimeout > Duration(0))
                return this->readAnswerHead();
            this->connection->stream.expires_after(this->stepLimit());
            http::async_read(this->connection->stream, this->connection->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code readError, std::size_t) { self->answerRead(readError); });
        }

        void readAnswerHead()
        {
            this->connection->stream.expires_after(this->stepLimit());
            http::async_read_header(this->connection->stream, this->connection->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) { self->readAnswerPart(error); });
        }

        void readAnswerPart(beast::error_code error)
        {
            if (error || this->parser->is_done())
                return this->answerRead(error);
            this->connection->stream.expires_after(std::max(this->remaining(), this->state->options.progressTimeout));
            http::async_read_some(this->connection->stream, this->connection->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code readError, std::size_t) { self->readAnswerPart(readError); });
        }

        void answerRead(beast::error_code error)
        {
            if (error)
                return this->dropAfterSend(error);
            HttpResponse response = this->responseHead();
            response.body = std::move(this->parser->get().body());
            this->keepConnection(this->parser->get().keep_alive());
            this->plan.completion(std::move(response));
        }

        void readStreamHead()
        {
            this->connection->stream.expires_after(this->stepLimit());
            http::async_read_header(this->connection->stream, this->connection->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                    if (error)
                        return self->dropAfterSend(error);
                    self->readStreamPart();
                });
        }

        void readStreamPart()
        {
            if (this->parser->is_done())
                return this->streamDone();
            this->connection->stream.expires_after(this->plan.silenceLimit);
            http::async_read_some(this->connection->stream, this->connection->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) { self->streamPartRead(error); });
        }

        void streamPartRead(beast::error_code error)
        {
            if (error)
                return this->dropAfterSend(error);
            std::string part = std::move(this->parser->get().body());
            this->parser->get().body().clear();
            if (!part.empty() && !this->plan.onPart(std::move(part)))
                return this->streamDone();
            this->readStreamPart();
        }

        void streamDone()
        {
            HttpResponse response = this->responseHead();
            this->keepConnection(false);
            this->plan.completion(std::move(response));
        }

        HttpResponse responseHead()
        {
            HttpResponse response;
            response.status = this->parser->get().result_int();
            for (const auto& field : this->parser->get())
                response.headers[std::string(field.name_string())] = std::string(field.value());
            return response;
        }

        // dropAfterSend() ends an exchange of which the peer may have seen the whole request.
        void dropAfterSend(beast::error_code error)
        {
            if (error == beast::error::timeout) {
                this->state->closeIdle(this->plan.endpoint);
                return this->drop({ SendFailureKind::AnswerTimeout, false, "no answer in time" });
            }
            const bool isLost = error == http::error::end_of_stream || error == http::error::partial_message || error.category() == boost::asio::error::get_system_category();
            this->drop({ isLost ? SendFailureKind::ConnectionLost : SendFailureKind::MalformedAnswer, false, error.message() });
        }

        void drop(SendFailure failure)
        {
            this->keepConnection(false);
            this->finishWith(std::move(failure));
        }

        void finishWith(SendFailure failure) { this->plan.completion(tl::unexpected(std::move(failure))); }

        // finishLater() completes after send() has returned, so that no caller is entered again from its own call.
        void finishLater(SendFailure failure)
        {
            boost::asio::post(this->state->context, [self = this->shared_from_this(), failure = std::move(failure)]() mutable { self->finishWith(std::move(failure)); });
        }

        void keepConnection(bool isReusable)
        {
            Pool& pool = this->state->pools[this->plan.endpoint];
            if (!isReusable) {
                this->connection.reset();
                this->state->noteClosed(pool, 1);
                return this->state->forgetUnused(this->plan.endpoint);
            }
            this->connection->stream.expires_never();
            this->connection->buffer.shrink_to_fit(); // idle connections hold no memory
            this->connection->idleSince = BootClock::now();
            pool.idle.push_back(std::move(this->connection));
        }

        Duration remaining() const { return std::max(this->plan.deadline - BootClock::now(), Duration(1)); }
        Duration stepLimit() const { return this->plan.onPart ? this->plan.silenceLimit : this->remaining(); }

        std::shared_ptr<State> state;
        Plan plan;
        std::unique_ptr<Connection> connection;
        http::request<http::string_body> message;
        std::optional<http::response_parser<http::string_body>> parser;
    };

} // namespace internal

HttpClient::HttpClient(IoLoop& loop, Options options)
    : state(std::shared_ptr<State>(new State { loop.internals().context, options, {}, 0 }))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(const Endpoint& endpoint, HttpRequest request, Duration timeout, Completion completion)
{
    using Exchange = internal::Exchange<State>;
    const Instant deadline = BootClock::now() + timeout;
    Exchange::Plan plan { endpoint, std::move(request), deadline, timeout, std::move(completion), nullptr };
    std::make_shared<Exchange>(this->state, std::move(plan))->start();
}

void HttpClient::stream(const Endpoint& endpoint, HttpRequest request, Duration silenceLimit, StreamHandlers handlers)
{
    using Exchange = internal::Exchange<State>;
    const Instant deadline = BootClock::now() + silenceLimit;
    Exchange::Plan plan { endpoint, std::move(request), deadline, silenceLimit, std::move(handlers.onEnd), std::move(handlers.onPart) };
    std::make_shared<Exchange>(this->state, std::move(plan))->start();
}

void HttpClient::closeIdle(const Endpoint& endpoint)
{
    this->state->closeIdle(endpoint);
}

tl::expected<HttpResponse, SendFailure> sendAndWait(const Endpoint& endpoint, HttpRequest request, Duration timeout)
{
    IoLoop loop;
    HttpClient client(loop, { .connectTimeout = timeout });
    tl::expected<HttpResponse, SendFailure> result = tl::unexpected(SendFailure {});
    client.send(endpoint, std::move(request), timeout, [&](tl::expected<HttpResponse, SendFailure> answer) {
        result = std::move(answer);
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace dragonflytray
