// The end of a scheduler daemon towards its callers: no request that the process has read is cut off.

#include "entry/duties/front_duty.h"
#include "entry/duty_fixture.h"
#include "entry/scheduler_daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace dragonflytray {
namespace {

    using boost::asio::ip::tcp;

    constexpr std::array<unsigned, replyStatusNames.size()> statusCodes { 200, 200, 200, 200, 410, 404, 400, 503, 504 };

    // A request for `/queue` asks for a queue; any other one can't be understood, and is answered by the duty itself.
    constexpr CallerProtocol callerProtocol {
        .decode = [](const HttpRequest& request, ReplyToken) -> CallerCall {
            if (request.target == "/queue")
                return QueueQuery {};
            return ReplyStatus::Malformed;
        },
        .encodeReply = [](const ReplyToClient& reply) { return HttpResponse { .status = statusCodes[indexOf(reply.status)] }; },
        .encodeQueue = [](const QueueView&) { return HttpResponse { .status = 200 }; },
        .isReadinessProbe = [](const HttpRequest&) { return true; },
    };

    constexpr WorkerProtocol workerProtocol {
        .encodePoll = [](const PollWorker&) { return HttpRequest {}; },
        .encodeStart = [](const StartTask&) { return HttpRequest {}; },
        .encodeStop = [](const StopTask&) { return HttpRequest {}; },
        .encodeSetSpeed = [](const SetTaskSpeed&) { return HttpRequest {}; },
        .decodePoll = [](const HttpOutcome&) { return PollEnded {}; },
        .decodeCall = [](const HttpOutcome&) { return WorkerCallStatus::NotSent; },
    };

    constexpr StoreProtocol storeProtocol {
        .encodeWrite = [](const WriteStoredRows&) { return HttpRequest {}; },
        .decodeWrite = [](const WriteStoredRows&, const HttpOutcome&) { return RowsWriteEnded {}; },
        .encodeJobRead = [](const JobId&) { return HttpRequest {}; },
        .decodeJobRead = [](const JobId&, const HttpOutcome&) { return JobRowsRead {}; },
        .encodeFeed = [](FeedKind, RowVersion, Duration) { return HttpRequest {}; },
        .encodeScan = [](FeedKind, std::uint32_t, const std::string&) { return HttpRequest {}; },
        .decodePage = [](FeedKind, const HttpOutcome&) { return FeedPage {}; },
    };

    // RawClient is a caller whose bytes the test chooses.
    struct RawClient {
        explicit RawClient(const Endpoint& endpoint)
        {
            this->socket.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
        }

        void write(const std::string& text) { boost::asio::write(this->socket, boost::asio::buffer(text)); }

        // readUntilClose() is what arrives until the peer closes the connection; nothing after a reset.
        std::optional<std::string> readUntilClose()
        {
            std::string text;
            boost::system::error_code error;
            boost::asio::read(this->socket, boost::asio::dynamic_buffer(text), error);
            return error == boost::asio::error::eof ? std::optional(text) : std::nullopt;
        }

        boost::asio::io_context context;
        tcp::socket socket { this->context };
    };

    // DrainFixture has the settings of a daemon without a store, on ports that were free a moment ago.
    struct DrainFixture {
        boost::asio::io_context context;
        EntrySettings settings;

        DrainFixture()
        {
            std::vector<tcp::acceptor> bound; // all at once, so that the ports differ
            for (Endpoint* endpoint : { &this->settings.callers, &this->settings.readiness, &this->settings.store }) {
                bound.emplace_back(this->context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
                *endpoint = { "127.0.0.1", bound.back().local_endpoint().port() };
            }
            this->settings.host = HostName("entry-1");
            this->settings.dataCentre = DataCentreName("rs-poa");
        }

        // awaitClosedListener() returns once callers can't connect any more.
        void awaitClosedListener()
        {
            const Endpoint& callers = this->settings.callers;
            boost::system::error_code error;
            while (!error) {
                boost::asio::steady_timer(this->context, std::chrono::milliseconds(20)).wait();
                tcp::socket(this->context).connect(tcp::endpoint(boost::asio::ip::make_address(callers.address), callers.port), error);
            }
        }
    };

    // Guards against a process that ends at a moment at which no request is open, while one is arriving.
    TEST_CASE_METHOD(DrainFixture, "SchedulerDaemon_requestIsArrivingWhenDelayOfBalancerIsOver_isAnswered")
    {
        auto daemon = std::make_unique<SchedulerDaemon>(this->settings, Protocols { &callerProtocol, &workerProtocol, &storeProtocol });
        REQUIRE(daemon->start());
        RawClient client(this->settings.callers);
        client.write("GET / HT");
        DutyThread signalled { { .name = "main" }, [&] {
                                  daemon->drain();
                                  daemon->stop();
                                  daemon.reset(); // as the end of the process closes its sockets
                              } };
        this->awaitClosedListener();
        boost::system::error_code ignored;
        boost::asio::write(client.socket, boost::asio::buffer(std::string("TP/1.1\r\n\r\n")), ignored);
        const auto text = client.readUntilClose();
        REQUIRE(text);
        CHECK(text->starts_with("HTTP/1.1 400"));
    }

    // FrontDutyFixture runs the duty towards callers; the test plays the duties behind it.
    struct FrontDutyFixture : DrainFixture {
        EntryRings rings;
        FrontDuty front { this->settings, this->rings, callerProtocol };
        bool isStarted { this->front.start().has_value() };
        DutyThread thread { { .name = "front" }, [this] { this->front.run(); } };

        ~FrontDutyFixture() { this->front.stop(); }
    };

    // Guards against connections that are closed over open calls at the limit of the drain. A call that is with a duty may have run.
    TEST_CASE_METHOD(FrontDutyFixture, "FrontDuty_drainIsOverWithCallOpen_callIsUnclearAndNextOneRefused")
    {
        RawClient client(this->settings.callers);
        RawClient late(this->settings.callers);
        client.write("GET /queue HTTP/1.1\r\n\r\n");
        REQUIRE(this->rings.scheduling.popWithin(std::chrono::seconds(10)));
        late.write("GET /que");
        REQUIRE(this->rings.front.tryPush(BeginDrain { .acceptFor = Duration(0) }));
        CHECK_FALSE(this->rings.callersEnded.popWithin(std::chrono::milliseconds(200)));
        REQUIRE(this->rings.front.tryPush(EndDrain {}));
        CHECK(client.readUntilClose().value_or("").starts_with("HTTP/1.1 504"));
        late.write("ue HTTP/1.1\r\n\r\n");
        CHECK(late.readUntilClose().value_or("").starts_with("HTTP/1.1 503"));
        CHECK(this->rings.callersEnded.popWithin(std::chrono::seconds(10)));
    }

} // namespace
} // namespace dragonflytray
