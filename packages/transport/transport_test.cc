#include "transport/transport.h"

#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    // An HTTP server on a duty thread of its own, whose answers each test chooses.
    struct TransportFixture {
        IoLoop loop;
        HttpServer::Handler handler;
        HttpServer server { this->loop, { .endpoint = { "127.0.0.1", 0 }, .bodyLimit = 64 }, [this](HttpRequest request, std::shared_ptr<HttpReply> reply) { this->handler(std::move(request), std::move(reply)); } };
        Endpoint endpoint { this->server.start().value() };
        DutyThread thread { { .name = "server" }, [this] { this->loop.run(); } };

        ~TransportFixture() { this->loop.stop(); }

        tl::expected<HttpResponse, SendFailure> post(std::string body)
        {
            return sendAndWait(this->endpoint, { .method = HttpMethod::Post, .target = "/echo", .headers = {}, .body = std::move(body) }, std::chrono::seconds(5));
        }
    };

    TEST_CASE_METHOD(TransportFixture, "HttpServer_wholeRequest_isAnswered")
    {
        this->handler = [](HttpRequest request, std::shared_ptr<HttpReply> reply) { reply->send({ .status = 200, .headers = {}, .body = request.body }); };

        auto response = this->post("abc");

        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->body == "abc");
    }

    TEST_CASE_METHOD(TransportFixture, "HttpServer_bodyOverLimit_answers413")
    {
        auto response = this->post(std::string(65, 'x'));

        REQUIRE(response);
        CHECK(response->status == 413);
    }

    TEST_CASE_METHOD(TransportFixture, "HttpClient_replyDropped_saysConnectionLostAndMaybeSent")
    {
        this->handler = [](HttpRequest, std::shared_ptr<HttpReply>) {};

        auto response = this->post("abc");

        REQUIRE_FALSE(response);
        CHECK(response.error().kind == SendFailureKind::ConnectionLost);
        CHECK_FALSE(response.error().isSurelyNotSent);
    }

    // SlowAnswerFixture has a server that sends an answer of eight parts, one each 100 ms, and stops after `parts` of them.
    struct SlowAnswerFixture : TransportFixture {
        SlowAnswerFixture()
        {
            this->handler = [this](HttpRequest, std::shared_ptr<HttpReply> reply) {
                reply->beginStream({ .status = 200 });
                this->sendPart(std::move(reply), 0);
            };
        }

        void sendPart(std::shared_ptr<HttpReply> reply, int part)
        {
            if (part == 8)
                return reply->endStream();
            if (part >= this->parts)
                return this->unfinished.push_back(std::move(reply));
            (void)reply->sendPart("x");
            this->loop.after(std::chrono::milliseconds(100), [this, reply = std::move(reply), part]() mutable { this->sendPart(std::move(reply), part + 1); });
        }

        // get() asks with 300 ms for the whole answer.
        tl::expected<HttpResponse, SendFailure> get(Duration progressTimeout)
        {
            IoLoop clientLoop;
            HttpClient client(clientLoop, { .progressTimeout = progressTimeout });
            tl::expected<HttpResponse, SendFailure> result = tl::unexpected(SendFailure {});
            client.send(this->endpoint, { .target = "/", .headers = {}, .body = {} }, std::chrono::milliseconds(300), [&](tl::expected<HttpResponse, SendFailure> answer) {
                result = std::move(answer);
                clientLoop.stop();
            });
            clientLoop.run();
            return result;
        }

        int parts { 8 };
        std::vector<std::shared_ptr<HttpReply>> unfinished;
    };

    TEST_CASE_METHOD(SlowAnswerFixture, "HttpClient_answerGoesOnArriving_isReadBeyondTheTimeout")
    {
        const auto response = this->get(std::chrono::seconds(5));
        REQUIRE(response);
        CHECK(response->body == "xxxxxxxx");
    }

    TEST_CASE_METHOD(SlowAnswerFixture, "HttpClient_answerStopsArriving_timesOut")
    {
        this->parts = 2;
        const auto response = this->get(std::chrono::milliseconds(500));
        REQUIRE_FALSE(response);
        CHECK(response.error().kind == SendFailureKind::AnswerTimeout);
    }

    TEST_CASE_METHOD(SlowAnswerFixture, "HttpClient_answerSlowWithoutProgressTimeout_timesOut")
    {
        const auto response = this->get(Duration(0));
        REQUIRE_FALSE(response);
        CHECK(response.error().kind == SendFailureKind::AnswerTimeout);
    }

    TEST_CASE_METHOD(TransportFixture, "HttpClient_nobodyListens_saysSurelyNotSent")
    {
        auto response = sendAndWait({ "127.0.0.1", 1 }, { .target = "/", .headers = {}, .body = {} }, std::chrono::seconds(5));

        REQUIRE_FALSE(response);
        CHECK(response.error().isSurelyNotSent);
    }

    TEST_CASE_METHOD(TransportFixture, "HttpMessage_encodedTarget_isSplitAndDecoded")
    {
        HttpRequest request { .target = "/v1/jobs/a%2Fb?after=7&x=%20", .headers = {}, .body = {} };

        CHECK(request.path() == std::vector<std::string> { "v1", "jobs", "a/b" });
        CHECK(request.query("x") == " ");
        CHECK(percentEncode("a/b") == "a%2Fb");
    }

    // Several sends over one client, so that connections are kept between them.
    struct PooledClientFixture : TransportFixture {
        IoLoop clientLoop;
        HttpClient client { this->clientLoop, {} };

        PooledClientFixture()
        {
            this->handler = [](HttpRequest request, std::shared_ptr<HttpReply> reply) { reply->send({ .status = 200, .headers = {}, .body = request.body }); };
        }

        // send() sends `count` requests at once and waits for all results.
        std::vector<tl::expected<HttpResponse, SendFailure>> send(std::size_t count, Duration timeout)
        {
            std::vector<tl::expected<HttpResponse, SendFailure>> results;
            IoLoop& loop = this->clientLoop;
            for (std::size_t i = 0; i < count; ++i) {
                this->client.send(this->endpoint, { .method = HttpMethod::Post, .target = "/echo", .headers = {}, .body = "x" }, timeout, [&results, &loop, count](tl::expected<HttpResponse, SendFailure> result) {
                    results.push_back(std::move(result));
                    if (results.size() == count)
                        loop.stop();
                });
            }
            this->clientLoop.run();
            this->clientLoop.restart();
            return results;
        }

        // onServer() runs `action` on the server's thread and waits for it.
        void onServer(const std::function<void()>& action)
        {
            auto done = std::make_shared<BoundedRing<int>>(BoundedRing<int>::Options { .capacity = 1 }); // outlives the push
            this->loop.post([done, &action] {
                action();
                (void)done->tryPush(1);
            });
            REQUIRE(done->popWithin(std::chrono::seconds(10)));
        }

        void silenceConnections()
        {
            this->onServer([this] { this->server.silenceConnections(); });
        }

        // runUntilRequested() sends a request and runs the client's loop until the server holds it.
        std::shared_ptr<HttpReply> runUntilRequested(HttpClient::Completion completion)
        {
            std::shared_ptr<HttpReply> held;
            this->handler = [this, &held](HttpRequest, std::shared_ptr<HttpReply> reply) {
                held = std::move(reply);
                this->clientLoop.stop();
            };
            this->client.send(this->endpoint, { .method = HttpMethod::Get, .target = "/", .headers = {}, .body = {} }, std::chrono::seconds(30), std::move(completion));
            this->clientLoop.run();
            this->clientLoop.restart();
            return held;
        }

        // answerWhole() sends an answer and returns once all of it has been handed to the kernel.
        void answerWhole(const std::shared_ptr<HttpReply>& reply, const std::string& body)
        {
            std::size_t open = 0;
            this->onServer([&] { reply->send({ .status = 200, .headers = {}, .body = body }); });
            do
                this->onServer([&] { open = this->server.openRequests(); });
            while (open > 0);
        }

        // takeTurns() posts an action that counts its turns on the client's loop and posts itself again.
        void takeTurns(std::size_t& turns)
        {
            this->clientLoop.post([this, &turns] {
                ++turns;
                this->takeTurns(turns);
            });
        }
    };

    TEST_CASE_METHOD(PooledClientFixture, "HttpClient_addressIsNotAnIpAddress_completesAfterSendHasReturned")
    {
        bool hasReturned = false;
        bool isCompletedLater = false;
        this->client.send({ "x", 1 }, {}, std::chrono::seconds(60), [&](const tl::expected<HttpResponse, SendFailure>& outcome) {
            isCompletedLater = hasReturned && !outcome && outcome.error().isSurelyNotSent;
            this->clientLoop.stop();
        });
        hasReturned = true;
        this->clientLoop.run();
        CHECK(isCompletedLater);
    }

    // Guards against a client that opens connections until the process has no descriptor left.
    TEST_CASE_METHOD(PooledClientFixture, "HttpClient_totalConnectionsAreInUse_furtherSendsAreSurelyNotSent")
    {
        HttpClient limited(this->clientLoop, { .totalConnections = 2 });
        std::vector<tl::expected<HttpResponse, SendFailure>> results;
        const auto sendOne = [&](std::size_t awaited) {
            limited.send(this->endpoint, { .method = HttpMethod::Post, .target = "/echo", .headers = {}, .body = "x" }, std::chrono::seconds(60), [&results, awaited, this](tl::expected<HttpResponse, SendFailure> result) {
                results.push_back(std::move(result));
                if (results.size() == awaited)
                    this->clientLoop.stop();
            });
        };
        for (int i = 0; i < 3; ++i)
            sendOne(3);
        this->clientLoop.run();
        this->clientLoop.restart();
        REQUIRE(results.size() == 3);
        REQUIRE_FALSE(results.front());
        CHECK(results.front().error().isSurelyNotSent);
        CHECK(results[1]);
        CHECK(results[2]);

        sendOne(4);
        this->clientLoop.run();
        CHECK(results.back());
    }

    TEST_CASE_METHOD(PooledClientFixture, "HttpClient_longAnswerReceived_isReadInPiecesOfAPageOrMore")
    {
        const std::string body(48 << 10, 'x');
        std::string received;
        std::size_t turns = 0;
        auto reply = this->runUntilRequested([&](tl::expected<HttpResponse, SendFailure> result) {
            received = result ? result->body : result.error().detail;
            this->clientLoop.stop();
        });
        this->answerWhole(reply, body);

        this->takeTurns(turns);
        this->clientLoop.run();

        CHECK(received == body);
        CHECK(turns <= body.size() / 4096);
    }

    TEST_CASE_METHOD(PooledClientFixture, "HttpClient_pooledConnectionClosedByServer_opensAFreshOne")
    {
        HttpServer closing(this->clientLoop, { .endpoint = { "127.0.0.1", 0 }, .idleTimeout = std::chrono::milliseconds(50) }, this->handler);
        this->endpoint = closing.start().value();
        REQUIRE(this->send(1, std::chrono::seconds(5))[0]);
        this->clientLoop.after(std::chrono::milliseconds(300), [this] { this->clientLoop.stop(); });
        this->clientLoop.run();
        this->clientLoop.restart();

        CHECK(this->send(1, std::chrono::seconds(5))[0]);
    }

    TEST_CASE_METHOD(PooledClientFixture, "HttpServer_closeAnnounced_answersAndCloses")
    {
        this->server.announceClose();

        REQUIRE(this->send(1, std::chrono::seconds(5))[0]);
        CHECK(this->send(1, std::chrono::seconds(5))[0]);
    }

    TEST_CASE_METHOD(PooledClientFixture, "HttpClient_everyPooledConnectionSilent_losesOneSendAndThenWorks")
    {
        REQUIRE(this->send(3, std::chrono::seconds(5)).size() == 3);
        this->silenceConnections();

        auto lost = this->send(1, std::chrono::milliseconds(200));
        auto next = this->send(1, std::chrono::seconds(5));

        REQUIRE_FALSE(lost[0]);
        CHECK(lost[0].error().kind == SendFailureKind::AnswerTimeout);
        CHECK_FALSE(lost[0].error().isSurelyNotSent);
        REQUIRE(next[0]);
        CHECK(next[0]->body == "x");
    }

} // namespace
} // namespace dragonflytray
