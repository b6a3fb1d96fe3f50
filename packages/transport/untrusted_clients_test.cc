// Limits of the server towards clients that nobody controls: the decisions on their own, and one server on a loopback address.

#include "transport/connection_table.h"
#include "transport/internal/request_reader.h"
#include "transport/transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    using boost::asio::ip::tcp;
    using internal::ReadProgress;
    using internal::RequestReader;

    // ConnectionTableFixture has a table of three connections at most, with a budget of 100 bytes.
    struct ConnectionTableFixture {
        ConnectionTable table { { .connectionLimit = 3, .receiveBudget = 100 } };
        Instant now { std::chrono::seconds(100) };

        // open() adds a connection that enters `phase` a second after the last change.
        ConnectionId open(ConnectionPhase phase)
        {
            const ConnectionId id = this->table.open(this->now);
            this->now += std::chrono::seconds(1);
            this->table.enter(id, phase, this->now);
            return id;
        }
    };

    // Guards against an answer that is lost because its connection makes space for another one.
    TEST_CASE_METHOD(ConnectionTableFixture, "ConnectionTable_everyRequestIsHandled_noneIsReplaced")
    {
        for (int i = 0; i < 3; ++i)
            (void)this->open(ConnectionPhase::Handling);
        CHECK(this->table.isFull(this->now));
        CHECK_FALSE(this->table.replaceable(this->now + std::chrono::hours(1)));
    }

    TEST_CASE_METHOD(ConnectionTableFixture, "ConnectionTable_severalCanBeReplaced_longestIdleOrIncompleteIs")
    {
        const ConnectionId responding = this->open(ConnectionPhase::Responding);
        const ConnectionId receiving = this->open(ConnectionPhase::Receiving);
        const ConnectionId idle = this->open(ConnectionPhase::Idle);
        CHECK(this->table.replaceable(this->now) == receiving);
        this->table.close(receiving);
        CHECK(this->table.replaceable(this->now) == idle);
        this->table.close(idle);
        CHECK(this->table.replaceable(this->now) == responding);
        this->table.enter(responding, ConnectionPhase::Responding, this->now);
        CHECK_FALSE(this->table.replaceable(this->now)); // the client may still read it
    }

    TEST_CASE_METHOD(ConnectionTableFixture, "ConnectionTable_incompleteRequestsExceedBudget_longestArrivingIsRefused")
    {
        const ConnectionId first = this->open(ConnectionPhase::Receiving);
        const ConnectionId second = this->open(ConnectionPhase::Receiving);
        this->table.setReceived(first, 40);
        this->table.setReceived(second, 60);
        CHECK_FALSE(this->table.overBudget());
        this->table.setReceived(second, 61);
        CHECK(this->table.overBudget() == first);
        this->table.enter(first, ConnectionPhase::Closing, this->now);
        CHECK_FALSE(this->table.overBudget());
        this->table.close(second);
        CHECK(this->table.receivedBytes() == 0);
    }

    TEST_CASE("ConnectionTable_descriptorsRunShort_limitIsLowerForAMinute")
    {
        const Instant now { std::chrono::seconds(100) };
        ConnectionTable table({ .connectionLimit = 100 });
        for (int i = 0; i < 50; ++i)
            (void)table.open(now);
        table.noteShortage(now);
        while (table.isFull(now))
            table.close(*table.replaceable(now));
        CHECK(table.size() == 33);
        CHECK_FALSE(table.isFull(now + std::chrono::minutes(1)));
    }

    TEST_CASE("RefusalSummary_manyRefusals_areOneLineInAnInterval")
    {
        RefusalSummary summary;
        const Instant now { std::chrono::seconds(100) };
        CHECK(summary.add(ClientRefusal::Malformed, now) == "Clients are refused or disconnected: malformed 1.");
        CHECK_FALSE(summary.add(ClientRefusal::Malformed, now + std::chrono::seconds(9)));
        CHECK(summary.add(ClientRefusal::Replaced, now + std::chrono::seconds(10)) == "Clients are refused or disconnected: malformed 1, replaced 1.");
    }

    // RequestReaderFixture reads in pieces of 100 bytes, so that each limit applies while a request arrives.
    struct RequestReaderFixture {
        RequestLimits limits { .body = 1000, .header = 400, .fields = 10, .buffer = 500, .wire = 3000 };
        RequestReader reader { this->limits };

        ReadProgress read(std::string_view text)
        {
            ReadProgress progress = ReadProgress::Incomplete;
            while (!text.empty() && progress == ReadProgress::Incomplete) {
                const std::string_view piece = text.substr(0, std::min<std::size_t>(100, this->reader.prepare().size()));
                progress = this->reader.append(piece);
                text.remove_prefix(piece.size());
            }
            return progress;
        }

        static std::string repeated(std::string_view piece, std::size_t count)
        {
            std::string result;
            for (std::size_t i = 0; i < count; ++i)
                result += piece;
            return result;
        }

        static constexpr const char* chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    };

    TEST_CASE_METHOD(RequestReaderFixture, "RequestReader_limitIsExceeded_refusalNamesIt")
    {
        const std::string x(5000, 'x');
        const auto [text, cause] = GENERATE_COPY(table<std::string, ClientRefusal>({
            { "GET / HTTP/1.1\r\na: " + x, ClientRefusal::HeaderTooLarge },
            { "GET / HTTP/1.1\r\n" + repeated("a: value of a field\r\n", 100), ClientRefusal::HeaderTooLarge },
            { "GET / HTTP/1.1\r\n" + repeated("a:\r\n", 11) + "\r\n", ClientRefusal::TooManyFields },
            { "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", ClientRefusal::BodyTooLarge },
            { chunked + repeated("64\r\n" + x.substr(0, 100) + "\r\n", 11), ClientRefusal::BodyTooLarge },
            { chunked + ("1;a=" + x), ClientRefusal::FramingTooLarge },
            { chunked + ("0\r\na: " + x), ClientRefusal::FramingTooLarge },
            { chunked + ("0\r\n" + repeated("a: b\r\n", 500)), ClientRefusal::FramingTooLarge },
            { chunked + ("0\r\n" + repeated("a:\r\n", 20) + "\r\n"), ClientRefusal::TooManyFields },
            { chunked + repeated("1;extension=value\r\nx\r\n", 200), ClientRefusal::RequestTooLarge },
            { "not HTTP\r\n\r\n", ClientRefusal::Malformed },
        }));
        INFO(text.substr(0, 80));
        REQUIRE(this->read(text) == ReadProgress::Refused);
        CHECK(this->reader.refusal() == cause);
        CHECK(this->reader.heldBytes() <= this->limits.header);
    }

    TEST_CASE_METHOD(RequestReaderFixture, "RequestReader_announcedSizeIsNotSent_takesNoMemory")
    {
        this->limits.body = 1 << 20;
        RequestReader announced(this->limits);
        CHECK(announced.append("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\nx") == ReadProgress::Incomplete);
        CHECK(announced.heldBytes() < 4096);
    }

    TEST_CASE_METHOD(RequestReaderFixture, "RequestReader_pipelinedRequests_areTakenInTurn")
    {
        REQUIRE(this->reader.append("POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab" + (chunked + std::string("1\r\nc\r\n0\r\n\r\nGET"))) == ReadProgress::Complete);
        CHECK(this->reader.take().request.body == "ab");
        REQUIRE(this->reader.begin() == ReadProgress::Complete);
        CHECK(this->reader.take().request.body == "c");
        CHECK(this->reader.begin() == ReadProgress::Incomplete);
        REQUIRE(this->reader.append(" /3 HTTP/1.1\r\n\r\n") == ReadProgress::Complete);
        CHECK(this->reader.take().request.target == "/3");
    }

    // UntrustedClientFixture has a server with two connections at most, which echoes the bodies of requests for `/echo`, keeps other
    // requests in `held`, and takes raw bytes from its clients.
    struct UntrustedClientFixture {
        IoLoop loop;
        std::vector<std::shared_ptr<HttpReply>> held;
        BoundedRing<int> arrived { { .capacity = 16 } }; // one element for each held request, and results of a test; outlives the thread
        HttpServer server { this->loop, { .endpoint = { "127.0.0.1", 0 }, .bodyLimit = 100000, .headerLimit = 1000, .connectionLimit = 2, .bufferLimit = 10000, .receiveBudget = 0, .streamBytes = 1000 }, [this](HttpRequest request, std::shared_ptr<HttpReply> reply) { this->handle(std::move(request), std::move(reply)); } };
        Endpoint endpoint { this->server.start().value() };
        DutyThread thread { { .name = "server" }, [this] { this->loop.run(); } };
        boost::asio::io_context context;

        ~UntrustedClientFixture() { this->loop.stop(); }

        void handle(HttpRequest request, std::shared_ptr<HttpReply> reply)
        {
            if (request.target == "/echo")
                return reply->send({ .status = 200, .headers = {}, .body = std::move(request.body) });
            this->held.push_back(std::move(reply));
            (void)this->arrived.tryPush(1);
        }

        tcp::socket connect(const std::string& text)
        {
            tcp::socket socket(this->context);
            socket.connect({ boost::asio::ip::make_address(this->endpoint.address), this->endpoint.port });
            boost::system::error_code error;
            boost::asio::write(socket, boost::asio::buffer(text), error);
            return socket;
        }

        // readAll() is what the server sends until it closes the connection.
        static std::string readAll(tcp::socket& socket)
        {
            std::string text;
            boost::system::error_code error;
            boost::asio::read(socket, boost::asio::dynamic_buffer(text), error);
            return text;
        }

        unsigned statusOfOrdinaryRequest()
        {
            const auto response = sendAndWait(this->endpoint, { .method = HttpMethod::Post, .target = "/echo", .headers = {}, .body = "abc" }, std::chrono::seconds(10));
            return response ? response->status : 0;
        }

        static constexpr const char* announced = "POST /echo HTTP/1.1\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n";
    };

    // Guards against idle clients that keep ordinary ones out.
    TEST_CASE_METHOD(UntrustedClientFixture, "HttpServer_connectionLimitIsReached_newConnectionReplacesTheLongestIdle")
    {
        tcp::socket first = this->connect({});
        tcp::socket second = this->connect({});
        CHECK(this->statusOfOrdinaryRequest() == 200);
        CHECK(readAll(first).empty());
    }

    TEST_CASE_METHOD(UntrustedClientFixture, "HttpServer_connectionsAreWithTheHandler_areNotReplaced")
    {
        tcp::socket first = this->connect("GET /held HTTP/1.1\r\nConnection: close\r\n\r\n");
        tcp::socket second = this->connect("GET /held HTTP/1.1\r\nConnection: close\r\n\r\n");
        REQUIRE(this->arrived.popWithin(std::chrono::seconds(10)));
        REQUIRE(this->arrived.popWithin(std::chrono::seconds(10)));
        CHECK(this->statusOfOrdinaryRequest() == 0);
        this->loop.post([this] {
            for (const auto& reply : this->held)
                reply->send({ .status = 200, .headers = {}, .body = "answer" });
            this->held.clear();
        });
        CHECK(readAll(first).ends_with("answer"));
        CHECK(readAll(second).ends_with("answer"));
    }

    // The budget is raised to one whole request: twice its body, its header and a buffer. Two incomplete ones exceed it.
    TEST_CASE_METHOD(UntrustedClientFixture, "HttpServer_incompleteRequestsExceedBudget_oldestIsRefusedAsNotRunAndNewestServed")
    {
        tcp::socket first = this->connect(announced + std::string(99999, 'x'));
        tcp::socket second = this->connect(announced + std::string(99999, 'x'));
        const std::string refusal = readAll(first);
        CHECK(refusal.starts_with("HTTP/1.1 503"));
        CHECK(refusal.find("not-run") != std::string::npos);
        boost::asio::write(second, boost::asio::buffer("x", 1));
        CHECK(readAll(second).starts_with("HTTP/1.1 200"));
    }

    // Guards against a reset that takes the refusal away from a client that is still sending.
    TEST_CASE_METHOD(UntrustedClientFixture, "HttpServer_refusedClientGoesOnSending_getsTheRefusal")
    {
        tcp::socket socket = this->connect("POST /echo HTTP/1.1\r\nContent-Length: 900000\r\n\r\n" + std::string(900000, 'x'));
        socket.shutdown(tcp::socket::shutdown_send);
        CHECK(readAll(socket).starts_with("HTTP/1.1 413"));
    }

    TEST_CASE_METHOD(UntrustedClientFixture, "HttpServer_streamIsNotRead_queuedBytesAreLimited")
    {
        tcp::socket socket = this->connect("GET /held HTTP/1.1\r\n\r\n");
        REQUIRE(this->arrived.popWithin(std::chrono::seconds(10)));
        this->loop.post([this] {
            int parts = 0;
            this->held[0]->beginStream({ .status = 200 });
            while (this->held[0]->sendPart(std::string(400, 'x')))
                ++parts;
            (void)this->arrived.tryPush(int { parts });
        });
        CHECK(this->arrived.popWithin(std::chrono::seconds(10)) == 2);
    }

    // Guards against clients that hold a connection by sending or reading nothing; the response exceeds the kernel's buffers.
    TEST_CASE("HttpServer_clientNeitherSendsNorReads_connectionIsClosedInTime")
    {
        const auto generated = GENERATE(table<std::string, ClientRefusal>({
            { "GET / HTTP/1.1\r\nHo", ClientRefusal::RequestTimeout },
            { "GET / HTTP/1.1\r\n\r\n", ClientRefusal::ResponseNotRead },
        }));
        const ClientRefusal cause = std::get<1>(generated);
        constexpr Duration timeout = std::chrono::milliseconds(100);
        IoLoop loop;
        HttpServer server(loop, { .endpoint = { "127.0.0.1", 0 }, .idleTimeout = timeout, .requestTimeout = timeout }, [](const HttpRequest&, const std::shared_ptr<HttpReply>& reply) { reply->send({ .status = 200, .headers = {}, .body = std::string(64 << 20, 'x') }); });
        boost::asio::io_context context;
        tcp::socket socket(context);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server.start().value().port });
        boost::asio::write(socket, boost::asio::buffer(std::get<0>(generated)));
        int checks = 0;
        const std::function<void()> check = [&] {
            if (server.refusals()[cause] > 0 || ++checks == 1000)
                return loop.stop();
            loop.after(std::chrono::milliseconds(10), check);
        };
        loop.post(check);
        loop.run();
        CHECK(server.refusals()[cause] == 1);
        CHECK(server.openConnections() == 0);
    }

} // namespace
} // namespace dragonflytray
