#include "entry/duties/worker_call_duty.h"

#include "entry/duty_fixture.h"
#include <catch2/catch.hpp>
#include <set>

namespace dragonflytray {

namespace {

    HttpRequest requestOf(const char* call, const TaskRunId& run)
    {
        HttpRequest request;
        request.target = std::string("/") + call + "/" + std::to_string(run.run);
        return request;
    }

    constexpr WorkerProtocol protocol {
        .encodePoll = [](const PollWorker&) { return HttpRequest {}; },
        .encodeStart = [](const StartTask& call) { return requestOf("start", call.run); },
        .encodeStop = [](const StopTask& call) { return requestOf("stop", call.run); },
        .encodeSetSpeed = [](const SetTaskSpeed& call) { return requestOf("speed", call.run); },
        .decodePoll = [](const HttpOutcome&) { return PollEnded {}; },
        .decodeCall = [](const HttpOutcome& outcome) { return outcome ? WorkerCallStatus::Ok : WorkerCallStatus::Unclear; },
    };

    // A worker that leaves the first calls without an answer and answers all others.
    struct WorkerCallDutyFixture {
        static constexpr std::size_t laneWidth = 4; // calls in flight to one worker
        static constexpr std::size_t laneFilling = 2 * laneWidth; // calls that block the lane for twice their time-out

        std::size_t received { 0 }; // on the worker's thread
        std::function<StandinAnswer(std::size_t call)> answer { [](std::size_t call) { return StandinAnswer { .isSilent = call <= laneFilling }; } };
        StandinPeer worker { [this](const std::string&) { return this->answer(++this->received); } };
        EntryRings rings;
        WorkerCallDuty duty { this->rings, protocol };
        DutyThread thread { { .name = "workers" }, [this] { this->duty.run(); } };
        WorkerAddress address { WorkerId("worker"), this->worker.endpoint(), { 1 } };

        ~WorkerCallDutyFixture() { this->duty.stop(); }

        void send(WorkerCall call)
        {
            const bool isPushed = this->rings.workers.tryPush(std::move(call));
            REQUIRE(isPushed);
        }

        // fillLane() sends `count` stops and waits until the lane of the worker has no room.
        void fillLane(std::size_t count = laneFilling)
        {
            for (std::uint64_t run = 1; run <= count; ++run)
                this->send(StopTask { this->address, runOf(100 + run) });
            REQUIRE(this->worker.waitFor([](const auto& calls) { return calls.size() == laneWidth; }));
        }

        void start(std::uint64_t run, Duration validity)
        {
            StartTask call { .to = this->address, .run = runOf(run), .spec = {}, .checkpoint = {} };
            call.expiresAt = BootClock::now() + validity;
            this->send(std::move(call));
        }

        static TaskRunId runOf(std::uint64_t run) { return { {}, run }; }

        // takeEnd() is how the call for `run` ended.
        std::optional<WorkerCallStatus> takeEnd(std::uint64_t run)
        {
            const auto end = takeCommand<TaskCallEnded>(this->rings, [run](const TaskCallEnded& ended) { return ended.run.run == run; });
            return end ? std::optional(end->status) : std::nullopt;
        }

        // sentAfterLane() is what the worker received after the calls that filled its lane.
        StandinPeer::Calls sentAfterLane() const
        {
            const auto calls = this->worker.calls();
            return { calls.begin() + laneFilling, calls.end() };
        }
    };

    constexpr Duration brief = std::chrono::milliseconds(50);
    constexpr Duration ample = std::chrono::minutes(10);

} // namespace

TEST_CASE_METHOD(WorkerCallDutyFixture, "WorkerCallDuty_startExpiresInLane_endsAsExpiredAndIsNotSent")
{
    this->fillLane();
    this->start(1, brief);
    this->start(2, ample);

    CHECK(this->takeEnd(1) == WorkerCallStatus::Expired);
    CHECK(this->takeEnd(2) == WorkerCallStatus::Ok);
    CHECK(this->sentAfterLane() == StandinPeer::Calls { "/start/2" });
}

TEST_CASE_METHOD(WorkerCallDutyFixture, "WorkerCallDuty_startExpiredBeforeItReachesAnIdleLane_isNotSent")
{
    this->start(1, -brief);

    CHECK(this->takeEnd(1) == WorkerCallStatus::Expired);
    CHECK(this->worker.calls().empty());
}

// Guards against a lane that is removed while a call that fails at once uses it.
TEST_CASE_METHOD(WorkerCallDutyFixture, "WorkerCallDuty_addressIsNotAnIpAddress_callsEndAsNotSent")
{
    this->address.endpoint.address = "x";
    for (std::uint64_t run = 1; run <= laneFilling; ++run) {
        this->send(StopTask { this->address, runOf(run) });
        CHECK(this->takeEnd(run));
    }
}

TEST_CASE_METHOD(WorkerCallDutyFixture, "WorkerCallDuty_stopAndSpeedWaitInLane_areSent")
{
    this->fillLane();
    this->start(1, brief);
    this->send(StopTask { this->address, runOf(2) });
    this->send(SetTaskSpeed { this->address, runOf(3), 50 });

    // The ends come over several connections, in any order.
    std::map<std::uint64_t, WorkerCallStatus> ends;
    for (int count = 0; count < 3; ++count) {
        const auto end = takeCommand<TaskCallEnded>(this->rings, [](const TaskCallEnded& ended) { return ended.run.run >= 1 && ended.run.run <= 3; });
        REQUIRE(end);
        ends.emplace(end->run.run, end->status);
    }
    CHECK(ends == std::map<std::uint64_t, WorkerCallStatus> { { 1, WorkerCallStatus::Expired }, { 2, WorkerCallStatus::Ok }, { 3, WorkerCallStatus::Ok } });
}

TEST_CASE_METHOD(WorkerCallDutyFixture, "WorkerCallDuty_callsWaitForOneConnection_areSentInOrderOfImportance")
{
    this->answer = [](std::size_t call) { return StandinAnswer { .delay = std::chrono::milliseconds(call == laneWidth ? 100 : 0), .isSilent = call < laneWidth }; };
    this->fillLane(laneWidth);
    this->send(SetTaskSpeed { this->address, runOf(3), 50 });
    this->start(1, ample);
    this->send(StopTask { this->address, runOf(2) });
    this->start(3, ample);
    const StandinPeer::Calls expected { "/stop/2", "/start/1", "/start/3", "/speed/3" };

    REQUIRE(this->worker.waitFor([&](const auto& calls) { return calls.size() == laneWidth + expected.size(); }));
    const auto calls = this->worker.calls();
    CHECK(StandinPeer::Calls(calls.begin() + laneWidth, calls.end()) == expected);
}

// Guards against calls that keep copies of large specs while their worker does not answer.
TEST_CASE("WorkerCaller_heldBytesAreUsedUp_furtherCallsAreNotSentUntilOthersEnd")
{
    StandinPeer worker([](const std::string&) { return StandinAnswer { .isSilent = true }; });
    IoLoop loop;
    WorkerCaller caller(loop, protocol, { .heldBytes = 3 << 10 });
    std::vector<WorkerCallStatus> ends;
    std::size_t awaited = 0;
    const auto stopRun = [&](std::uint64_t run) {
        ++awaited;
        caller.perform(StopTask { { WorkerId("worker"), worker.endpoint(), { 1 } }, { {}, run } }, [&](const TaskCallEnded& end) {
            ends.push_back(end.status);
            if (ends.size() == awaited)
                loop.stop();
        });
    };
    for (std::uint64_t run = 1; run <= 4; ++run)
        stopRun(run);
    CHECK(ends == std::vector { WorkerCallStatus::NotSent });
    loop.run();
    loop.restart();
    REQUIRE(ends.size() == 4);

    stopRun(5);
    CHECK(ends.size() == 4);
    loop.run();
    CHECK(ends.size() == 5);
}

} // namespace dragonflytray
