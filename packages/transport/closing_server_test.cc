// The end of a server: every request that it has read is answered, and no connection is left that a client could still use.

#include "transport/transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    using boost::asio::ip::tcp;

    // ClosingServerFixture has a server that answers requests for `/echo` at once and keeps others in `held`, and raw clients.
    struct ClosingServerFixture {
        Duration closeLinger;
        IoLoop loop;
        std::vector<std::shared_ptr<HttpReply>> held;
        BoundedRing<int> reports { { .capacity = 16 } }; // one element for each held request; outlives the thread
        BoundedRing<int> ended { { .capacity = 1 } }; // one element once no connection is left; outlives the thread
        HttpServer server { this->loop, { .endpoint = { "127.0.0.1", 0 }, .closeLinger = this->closeLinger }, [this](const HttpRequest& request, std::shared_ptr<HttpReply> reply) { this->handle(request, std::move(reply)); } };
        Endpoint endpoint { this->server.start().value() };
        DutyThread thread { { .name = "server" }, [this] { this->loop.run(); } };
        boost::asio::io_context context;
        tcp::socket client { this->context };

        explicit ClosingServerFixture(Duration closeLinger = std::chrono::milliseconds(500))
            : closeLinger(closeLinger)
        {
            this->client.connect({ boost::asio::ip::make_address(this->endpoint.address), this->endpoint.port });
        }
        ~ClosingServerFixture() { this->loop.stop(); }

        void handle(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
        {
            if (request.target == "/echo")
                return reply->send({ .status = 200, .headers = {}, .body = "answer" });
            this->held.push_back(std::move(reply));
            (void)this->reports.tryPush(1);
        }

        void write(const std::string& text) { boost::asio::write(this->client, boost::asio::buffer(text)); }

        // readUntilClose() is what the client receives until the server closes the connection, or nothing if it doesn't in 10 s.
        std::optional<std::string> readUntilClose()
        {
            std::string text;
            std::optional<boost::system::error_code> result;
            boost::asio::async_read(this->client, boost::asio::dynamic_buffer(text), [&](boost::system::error_code error, std::size_t) { result = error; });
            this->context.restart();
            this->context.run_for(std::chrono::seconds(10));
            this->client.close();
            if (!result)
                this->context.run();
            return result == boost::asio::error::eof ? std::optional(text) : std::nullopt;
        }

        void readOneAnswer()
        {
            std::string text;
            while (!text.ends_with("answer")) {
                std::array<char, 1000> piece {};
                text.append(piece.data(), this->client.read_some(boost::asio::buffer(piece)));
            }
        }

        void stopAccepting()
        {
            this->loop.post([this] { this->server.stopAccepting(); });
        }

        static std::size_t count(const std::string& text, const std::string& piece)
        {
            std::size_t result = 0;
            for (std::size_t at = text.find(piece); at != std::string::npos; at = text.find(piece, at + 1))
                ++result;
            return result;
        }

        static constexpr const char* echo = "GET /echo HTTP/1.1\r\n\r\n";
        static constexpr const char* hold = "GET /held HTTP/1.1\r\n\r\n";
    };

    // LingeringServerFixture has a server that lingers for longer than a test waits.
    struct LingeringServerFixture : ClosingServerFixture {
        LingeringServerFixture()
            : ClosingServerFixture(std::chrono::minutes(10))
        {
        }
    };

    // Guards against a request that is cut off at the end of a process because its connection was left open and idle.
    TEST_CASE_METHOD(ClosingServerFixture, "HttpServer_stopsWhileConnectionIsIdle_connectionIsClosed")
    {
        this->write(this->echo);
        this->readOneAnswer();
        this->stopAccepting();
        CHECK(this->readUntilClose() == "");
    }

    // Guards against a request that is cut off because it was arriving when no request was open.
    TEST_CASE_METHOD(ClosingServerFixture, "HttpServer_stopsWhileRequestIsArriving_requestIsAnsweredAndConnectionClosed")
    {
        this->write(std::string(this->echo).substr(0, 10));
        this->stopAccepting();
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        this->write(std::string(this->echo).substr(10));
        const auto text = this->readUntilClose();
        REQUIRE(text);
        CHECK(text->ends_with("answer"));
        CHECK(text->find("Connection: close") != std::string::npos);
    }

    TEST_CASE_METHOD(ClosingServerFixture, "HttpServer_stopsAndRequestStaysIncomplete_isRefusedAsNotRun")
    {
        this->write(std::string(this->echo).substr(0, 10));
        this->stopAccepting();
        const auto text = this->readUntilClose();
        REQUIRE(text);
        CHECK(text->starts_with("HTTP/1.1 503"));
        CHECK(text->find("not-run") != std::string::npos);
        CHECK(text->find("retry-after: 1") != std::string::npos);
    }

    // Guards against an idle connection that is closed over a request in its socket, and against requests behind the last response.
    TEST_CASE_METHOD(ClosingServerFixture, "HttpServer_stopsWhileRequestsAreUnread_eachIsAnswered")
    {
        const std::size_t requests = GENERATE(1, 2);
        this->write(this->echo);
        this->readOneAnswer();
        BoundedRing<int> written { { .capacity = 1 } };
        this->loop.post([&] {
            (void)written.popWithin(std::chrono::seconds(10));
            std::this_thread::sleep_for(std::chrono::milliseconds(600)); // the connection has been idle for longer than the linger
            this->server.stopAccepting();
        });
        for (std::size_t i = 0; i < requests; ++i)
            this->write(this->echo);
        (void)written.tryPush(1);
        const auto text = this->readUntilClose();
        REQUIRE(text);
        CHECK(this->count(*text, "answer") == requests);
    }

    // Guards against a reset of connections that the kernel has accepted and the server has not.
    TEST_CASE_METHOD(ClosingServerFixture, "HttpServer_stopsWhileConnectionWaits_itsRequestIsAnswered")
    {
        BoundedRing<int> written { { .capacity = 1 } };
        this->loop.post([&] {
            (void)written.popWithin(std::chrono::seconds(10));
            this->server.stopAccepting();
        });
        this->client = tcp::socket(this->context);
        this->client.connect({ boost::asio::ip::make_address(this->endpoint.address), this->endpoint.port });
        this->write(this->echo);
        (void)written.tryPush(1);
        CHECK(this->readUntilClose().value_or("").ends_with("answer"));
    }

    // Guards against a process that ends between the last request and its response.
    TEST_CASE_METHOD(ClosingServerFixture, "HttpServer_stopsWhileRequestIsHandled_endsAfterItsResponse")
    {
        this->write(this->hold);
        REQUIRE(this->reports.popWithin(std::chrono::seconds(10)));
        this->loop.post([this] { this->server.stopAccepting([this] { (void)this->ended.tryPush(1); }); });
        CHECK_FALSE(this->ended.popWithin(std::chrono::milliseconds(1500)));
        this->loop.post([this] {
            this->held[0]->send({ .status = 200, .headers = {}, .body = "answer" });
            this->held.clear();
        });
        const auto text = this->readUntilClose();
        REQUIRE(text);
        CHECK(text->ends_with("answer"));
        CHECK(this->ended.popWithin(std::chrono::seconds(10)));
    }

    TEST_CASE_METHOD(LingeringServerFixture, "HttpServer_stopsWithoutConnections_endsBeforeTheLinger")
    {
        this->client.close();
        this->loop.post([this] { this->server.stopAccepting([this] { (void)this->ended.tryPush(1); }); });
        CHECK(this->ended.popWithin(std::chrono::seconds(60)));
    }

} // namespace
} // namespace dragonflytray
