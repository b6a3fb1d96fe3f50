#include "transport/http_server.h"

#include "transport/internal/io_loop_internals.h"
#include <deque>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace dragonflytray {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

struct HttpServer::State {
    State(boost::asio::io_context& context, Options options, Handler handler)
        : options(std::move(options))
        , handler(std::move(handler))
        , acceptor(context)
    {
    }

    const Options options;
    Handler handler;
    tcp::acceptor acceptor;
    std::size_t connections { 0 };
    std::size_t openRequests { 0 };
    std::uint64_t generation { 0 }; // connections of an earlier generation are silent
    bool isStopping { false };
};

namespace {

    std::optional<HttpMethod> methodOf(http::verb verb)
    {
        return httpMethodNames.parse(std::string_view(http::to_string(verb).data(), http::to_string(verb).size()));
    }

    std::string lowerCase(beast::string_view text)
    {
        std::string result(text.data(), text.size());
        for (char& character : result)
            character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        return result;
    }

    std::string errorBody(std::string_view reason, const std::string& detail)
    {
        std::string result = R"({"outcome":"not-run","reason":")";
        result += reason;
        result += R"(","detail":")" + detail + "\"}";
        return result;
    }

} // namespace

namespace internal {

    // HttpConnection serves the requests of one socket, one at a time.
    template <typename State>
    class HttpConnection : public std::enable_shared_from_this<HttpConnection<State>> {
    public:
        HttpConnection(std::shared_ptr<State> state, tcp::socket socket)
            : state(std::move(state))
            , stream(std::move(socket))
        {
            ++this->state->connections;
            this->generation = this->state->generation;
        }

        ~HttpConnection()
        {
            this->endRequest();
            --this->state->connections;
        }

        void readRequest()
        {
            this->parser.emplace();
            this->parser->body_limit(this->state->options.bodyLimit);
            this->parser->header_limit(static_cast<std::uint32_t>(this->state->options.headerLimit));
            this->stream.expires_after(this->state->options.idleTimeout);
            http::async_read(this->stream, this->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) { self->requestRead(error); });
        }

        void send(HttpResponse response)
        {
            auto message = std::make_shared<http::response<http::string_body>>(http::int_to_status(response.status), 11);
            this->fillHead(*message, response);
            message->keep_alive(this->isKeptAlive && !this->state->isStopping);
            message->body() = std::move(response.body);
            message->prepare_payload();
            this->stream.expires_after(this->state->options.idleTimeout);
            http::async_write(this->stream, *message, [self = this->shared_from_this(), message](beast::error_code error, std::size_t) {
                self->responseWritten(error, message->keep_alive());
            });
        }

        void beginStream(HttpResponse head)
        {
            auto message = std::make_shared<http::response<http::empty_body>>(http::int_to_status(head.status), 11);
            this->fillHead(*message, head);
            message->chunked(true);
            this->stream.expires_never();
            this->isWriting = true;
            auto serializer = std::make_shared<http::response_serializer<http::empty_body>>(*message);
            http::async_write_header(this->stream, *serializer, [self = this->shared_from_this(), message, serializer](beast::error_code error, std::size_t) {
                self->partWritten(error);
            });
        }

        bool sendPart(std::string part)
        {
            if (this->isBroken || this->parts.size() >= this->state->options.streamBacklog)
                return false;
            this->parts.push_back(std::move(part));
            this->writePart();
            return true;
        }

        void endStream()
        {
            this->isStreamEnding = true;
            this->writePart();
        }

        void closeUnanswered()
        {
            beast::error_code ignored;
            this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        }

    private:
        class Reply : public HttpReply {
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

        template <typename Message>
        void fillHead(Message& message, const HttpResponse& response)
        {
            message.set(http::field::content_type, response.contentType);
            for (const auto& [name, value] : response.headers)
                message.set(name, value);
        }

        void requestRead(beast::error_code error)
        {
            if (error == http::error::body_limit)
                return this->refuseAndClose(413, "too-large", "the body is over the limit");
            if (error == http::error::header_limit)
                return this->refuseAndClose(431, "too-large", "the header is over the limit");
            if (error && error.category() == make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream && error != http::error::partial_message)
                return this->refuseAndClose(400, "malformed", "the request is not well-formed HTTP");
            if (error)
                return;
            this->beginRequest();
            auto message = this->parser->release();
            this->isKeptAlive = message.keep_alive();
            auto method = methodOf(message.method());
            if (!method)
                return this->refuseAndClose(405, "malformed", "the method is not supported");
            HttpRequest request { .method = *method, .target = std::string(message.target()), .headers = {}, .body = {} };
            for (const auto& field : message)
                request.headers[lowerCase(field.name_string())] = std::string(field.value());
            request.body = std::move(message.body());
            this->stream.expires_never();
            if (this->generation < this->state->generation)
                return this->swallowRequest();
            this->state->handler(std::move(request), std::make_shared<Reply>(this->shared_from_this()));
        }

        // swallowRequest() keeps the connection open without an answer until the peer gives up.
        void swallowRequest()
        {
            this->stream.async_read_some(boost::asio::buffer(this->swallowed), [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                if (!error)
                    self->swallowRequest();
            });
        }

        void refuseAndClose(unsigned status, std::string_view reason, const std::string& detail)
        {
            this->beginRequest();
            this->isKeptAlive = false;
            this->send({ .status = status, .headers = {}, .body = errorBody(reason, detail) });
        }

        void responseWritten(beast::error_code error, bool isKeptOpen)
        {
            this->endRequest();
            if (error)
                return;
            if (isKeptOpen)
                return this->readRequest();
            this->stream.socket().shutdown(tcp::socket::shutdown_send, error);
        }

        void writePart()
        {
            if (this->isWriting || this->isBroken)
                return;
            if (this->parts.empty() && !this->isStreamEnding)
                return;
            this->isWriting = true;
            if (this->parts.empty())
                return this->writeLastChunk();
            auto part = std::make_shared<std::string>(std::move(this->parts.front()));
            this->parts.pop_front();
            this->stream.expires_after(this->state->options.idleTimeout);
            boost::asio::async_write(this->stream, http::make_chunk(boost::asio::buffer(*part)), [self = this->shared_from_this(), part](beast::error_code error, std::size_t) {
                self->partWritten(error);
            });
        }

        void writeLastChunk()
        {
            boost::asio::async_write(this->stream, http::make_chunk_last(), [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                self->responseWritten(error, false);
            });
        }

        void partWritten(beast::error_code error)
        {
            this->isWriting = false;
            this->isBroken = this->isBroken || error;
            this->writePart();
        }

        void beginRequest()
        {
            this->isInRequest = true;
            ++this->state->openRequests;
        }

        void endRequest()
        {
            if (this->isInRequest)
                --this->state->openRequests;
            this->isInRequest = false;
        }

        std::shared_ptr<State> state;
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        std::deque<std::string> parts;
        std::uint64_t generation { 0 };
        std::array<char, 256> swallowed {};
        bool isKeptAlive { false };
        bool isInRequest { false };
        bool isWriting { false };
        bool isStreamEnding { false };
        bool isBroken { false };
    };

    template <typename State>
    void acceptNext(std::shared_ptr<State> state)
    {
        state->acceptor.async_accept([state](beast::error_code error, tcp::socket socket) {
            if (!state->acceptor.is_open())
                return;
            if (!error && state->connections < state->options.connectionLimit) {
                socket.set_option(tcp::no_delay(true), error);
                std::make_shared<HttpConnection<State>>(state, std::move(socket))->readRequest();
            }
            acceptNext(state);
        });
    }

} // namespace internal

HttpServer::HttpServer(IoLoop& loop, Options options, Handler handler)
    : state(std::make_shared<State>(loop.internals().context, std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

tl::expected<Endpoint, std::string> HttpServer::start()
{
    beast::error_code error;
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
    internal::acceptNext(this->state);
    return Endpoint { this->state->options.endpoint.address, this->state->acceptor.local_endpoint().port() };
}

void HttpServer::announceClose()
{
    this->state->isStopping = true;
}

void HttpServer::stopAccepting()
{
    beast::error_code ignored;
    this->announceClose();
    this->state->acceptor.close(ignored);
}

std::size_t HttpServer::openConnections() const
{
    return this->state->connections;
}

void HttpServer::silenceConnections()
{
    ++this->state->generation;
}

std::size_t HttpServer::openRequests() const
{
    return this->state->openRequests;
}

} // namespace dragonflytray
