// Measures how processor time, memory and bytes on the wire grow with the size of the system, at several
// sizes each, and extrapolates the least-squares line to the size to design for. Asserts nothing.
// Usage: slopes_benchmark

#include "batch/batch.h"
#include "gateway/gateway.h"
#include "interference/interference.h"
#include "membership/membership.h"
#include "peers.pb.h"
#include "platform/internal/row_json.h"
#include "routing/routing.h"

#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace dragonflytray {
namespace {

    // Sizes to design for, of the whole fleet or of one entry host.
    constexpr double designWorkers = 620;
    constexpr double designRunners = 2000;
    constexpr double designBatchTasks = 3600;
    constexpr double designQueuedJobs = 7900;
    constexpr double designEntryHosts = 8;
    constexpr double designHosts = designWorkers + designRunners + designEntryHosts;

    // Cost is what one size took.
    struct Cost {
        double microseconds { 0 }; // processor time of one operation
        double bytes { 0 }; // of memory held, or on the wire
    };

    // Series is one line of the table.
    struct Series {
        const char* operation;
        const char* unit; // what the size counts
        std::vector<int> sizes;
        double designSize { 0 };
        std::function<Cost(int)> measure;
    };

    double processorMicroseconds()
    {
        timespec time {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
    }

    double heapBytes()
    {
        return static_cast<double>(mallinfo2().uordblks);
    }

    // averageOf() runs `operation` many times and returns the processor time of one.
    double averageOf(int repetitions, const std::function<void()>& operation)
    {
        const double start = processorMicroseconds();
        for (int i = 0; i < repetitions; ++i)
            operation();
        return (processorMicroseconds() - start) / repetitions;
    }

    const DataCentreName dataCentre("dc1");
    const ServiceName service("checks");

    std::shared_ptr<const Declaration> declaration()
    {
        auto result = std::make_shared<Declaration>();
        result->teams = { { .name = TeamName("desk") } };
        result->services = { { .name = service, .queueLimit = 1'000'000 } };
        result->batchClasses = { { .name = BatchClassName("pack"), .need = { 1, 1, 0 } } };
        result->regions = { { RegionName("r1"), { dataCentre } } };
        return result;
    }

    Host makeHost(HostKind kind, int number)
    {
        Host host;
        host.name = HostName(std::string(hostKindNames.nameOf(kind)) + "-" + std::to_string(number));
        host.kind = kind;
        host.dataCentre = dataCentre;
        host.endpoint = { "10.0.0.1", 8080 };
        host.peerEndpoint = { "10.0.0.1", 8081 };
        host.service = kind == HostKind::Runner ? service : ServiceName();
        host.slots = 8;
        host.connections = 64;
        host.capacity = { 64, 250, 0 };
        return host;
    }

    std::vector<Host> makeHosts(HostKind kind, int count)
    {
        std::vector<Host> hosts;
        hosts.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            hosts.push_back(makeHost(kind, i));
        return hosts;
    }

    // assignShares() gives this entry host every slot, for a Routing that waits for shares to be assigned.
    template <typename Command = RoutingCommand>
    void assignShares(Routing& routing, int runners, Instant now)
    {
        if constexpr (std::is_constructible_v<Command, ChangeShares>) {
            ChangeShares change;
            for (const Host& runner : makeHosts(HostKind::Runner, runners))
                change.shares.push_back({ runner.name, runner.slots });
            routing.handle(Command(change), now);
        }
    }

    // RoutingBench is one entry host in front of some runners.
    struct RoutingBench {
        Instant now { std::chrono::seconds(100) };
        Routing routing { { .self = HostName("e1"), .dataCentre = dataCentre } };
        std::uint64_t next { 0 };

        explicit RoutingBench(int runners)
        {
            this->routing.handle(ChangeConfiguration { { 1, declaration() } }, this->now);
            this->routing.handle(ChangeHosts { makeHosts(HostKind::Runner, runners) }, this->now);
            assignShares(this->routing, runners, this->now);
        }

        RoutingEffects submit()
        {
            Request request;
            request.id = RequestId("request-" + std::to_string(++this->next));
            request.team = TeamName("desk");
            request.service = service;
            request.idempotency = Idempotency::Idempotent;
            request.deadline = this->now + std::chrono::seconds(10);
            return this->routing.handle(SubmitRequest { ReplyToken(this->next), request }, this->now);
        }

        void submitAndAnswer()
        {
            this->now += std::chrono::milliseconds(1);
            std::size_t sent = 0;
            for (const RoutingEffect& effect : this->submit()) {
                if (const auto* send = std::get_if<SendToRunner>(&effect)) {
                    this->routing.handle(RunnerAnswered { send->attempt, "ok" }, this->now);
                    ++sent;
                }
            }
            require(sent == 1, "slopes_benchmark: a request was not sent");
        }
    };

    Cost routeByRunners(int runners)
    {
        const double before = heapBytes();
        RoutingBench bench(runners);
        const double held = heapBytes() - before;
        return { averageOf(2000, [&] { bench.submitAndAnswer(); }), held };
    }

    Cost routeByWaiting(int waiting)
    {
        RoutingBench bench(0);
        const double before = heapBytes();
        const double time = averageOf(waiting, [&] { bench.submit(); });
        return { time, heapBytes() - before };
    }

    // BatchBench is the leader of a data centre, with a table and workers that do what they are told.
    struct BatchBench {
        Instant now { std::chrono::seconds(100) };
        RowVersion revision { 0 };
        Batch batch { { .self = HostName("e1"), .dataCentre = dataCentre } };
        int workers { 0 };

        explicit BatchBench(int workerCount)
            : workers(workerCount)
        {
            this->batch.handle(ChangeConfiguration { { 1, declaration() } }, this->now);
            this->batch.handle(ChangeHosts { makeHosts(HostKind::Worker, workerCount) }, this->now);
            for (int i = 0; i < 3; ++i)
                this->tick();
        }

        void addJobs(int count, JobState state, double processors)
        {
            RowsRead read { true, 0, {} };
            for (int i = 0; i < count; ++i) {
                Job job;
                job.id = JobId("job-" + std::to_string(i));
                job.team = TeamName("desk");
                job.batchClass = BatchClassName("pack");
                job.need = { processors, 1, 0 };
                job.payload = "bucket/packages/" + std::to_string(i);
                job.dataCentre = dataCentre;
                job.state = state;
                if (state == JobState::Running) {
                    job.attempt = 1;
                    job.epoch = 1;
                    job.worker = makeHost(HostKind::Worker, i % this->workers).name;
                }
                read.rows.push_back({ { RowKind::Job, job.id.value() }, ++this->revision, {}, job });
            }
            read.revision = this->revision;
            this->batch.handle(read, this->now);
        }

        void tick()
        {
            this->now += std::chrono::milliseconds(100);
            this->carryOut(this->batch.handle(BatchTick {}, this->now));
        }

        void carryOut(const BatchEffects& effects)
        {
            for (const BatchEffect& effect : effects) {
                if (const auto* write = std::get_if<WriteTransaction>(&effect))
                    this->carryOut(this->batch.handle(TransactionResult { write->transaction.id, TransactionStatus::Committed, ++this->revision, {} }, this->now));
                if (std::holds_alternative<ReadRows>(effect))
                    this->carryOut(this->batch.handle(RowsRead { true, this->revision, {} }, this->now));
                if (const auto* contact = std::get_if<ContactWorker>(&effect))
                    this->answer(*contact);
            }
        }

        void answer(const ContactWorker& contact)
        {
            WorkerReported reported { contact.worker, contact.epoch, {} };
            for (const TaskAttempt& renewal : contact.renewals)
                reported.reports.push_back({ renewal.job, renewal.attempt, TaskPhase::Running, "", "", { 1, 1, 0 } });
            this->carryOut(this->batch.handle(reported, this->now));
        }

        Cost costOfTicks(double before)
        {
            this->tick();
            const double held = heapBytes() - before;
            return { averageOf(50, [&] { this->tick(); }), held };
        }
    };

    Cost batchByRunning(int tasks)
    {
        BatchBench bench(100);
        const double before = heapBytes();
        bench.addJobs(tasks, JobState::Running, 1);
        return bench.costOfTicks(before);
    }

    Cost batchByQueued(int jobs)
    {
        BatchBench bench(100);
        const double before = heapBytes();
        bench.addJobs(jobs, JobState::Queued, 63.5); // at most one fits on a worker
        for (int i = 0; i < 10; ++i)
            bench.tick();
        return bench.costOfTicks(before);
    }

    Cost batchByWorkers(int workers)
    {
        const double before = heapBytes();
        BatchBench bench(workers);
        return bench.costOfTicks(before);
    }

    Cost membershipByHosts(int hosts)
    {
        Instant now { std::chrono::seconds(100) };
        const HostListRead read { true, makeHosts(HostKind::Runner, hosts) };
        const double before = heapBytes();
        Membership membership({ .self = HostName("e1"), .dataCentre = dataCentre });
        membership.handle(read, now);
        const double held = heapBytes() - before;
        return { averageOf(200, [&] { membership.handle(read, now); }), held };
    }

    Cost membershipByPeers(int peers)
    {
        Instant now { std::chrono::seconds(100) };
        const double before = heapBytes();
        Membership membership({ .self = HostName("e1"), .dataCentre = dataCentre });
        membership.handle(HostListRead { true, makeHosts(HostKind::EntryHost, peers) }, now);
        int next = 0;
        auto round = [&] {
            now += std::chrono::seconds(1);
            membership.handle(MembershipTick {}, now);
            for (next = 0; next < peers; ++next)
                membership.handle(HeartbeatReceived { { makeHost(HostKind::EntryHost, next).name, dataCentre, 0, "", false } }, now);
        };
        round();
        const double held = heapBytes() - before;
        return { averageOf(500, round), held };
    }

    ContactWorker makeContact(int attempts)
    {
        ContactWorker contact { .worker = HostName("worker-101"), .endpoint = { "10.0.0.1", 8080 }, .dataCentre = dataCentre, .epoch = 7, .lease = std::chrono::seconds(10), .starts = {}, .stops = {}, .renewals = {} };
        for (int i = 0; i < attempts; ++i)
            contact.renewals.push_back({ JobId("underwriting-2026-12-04-" + std::to_string(i)), 1, false });
        return contact;
    }

    Cost encodeContactByAttempts(int attempts)
    {
        const ContactWorker contact = makeContact(attempts);
        const double bytes = static_cast<double>(encodeContact(contact).body.size());
        return { averageOf(1000, [&] { encodeContact(contact); }), bytes };
    }

    Cost decodeContactByAttempts(int attempts)
    {
        nlohmann::json reports = nlohmann::json::array();
        for (const TaskAttempt& renewal : makeContact(attempts).renewals)
            reports.push_back({ { "job", renewal.job.value() }, { "attempt", 1 }, { "phase", "running" }, { "checkpoint", "" }, { "processors", 1.5 }, { "memoryGigabytes", 3.25 }, { "accelerators", 0 } });
        HttpResponse response;
        response.status = 200;
        response.body = nlohmann::json { { "reports", reports } }.dump();
        const tl::expected<HttpResponse, SendFailure> answer(response);
        return { averageOf(1000, [&] { decodeContact(HostName("worker-101"), 7, answer); }), static_cast<double>(response.body.size()) };
    }

    Cost encodeRowByPayload(int payloadBytes)
    {
        Job job;
        job.id = JobId("underwriting-2026-12-04-17");
        job.team = TeamName("desk");
        job.batchClass = BatchClassName("pack");
        job.dataCentre = dataCentre;
        job.worker = HostName("worker-101");
        job.payload = std::string(static_cast<std::size_t>(payloadBytes), 'x');
        const TableRow row(job);
        return { averageOf(2000, [&] { internal::encodeRow(row).dump(); }), static_cast<double>(internal::encodeRow(row).dump().size()) };
    }

    Cost encodeHeartbeatByNameLength(int nameLength)
    {
        wire::Heartbeat heartbeat;
        heartbeat.set_host(std::string(static_cast<std::size_t>(nameLength), 'h'));
        heartbeat.set_data_centre("rs-poa");
        heartbeat.set_version(1'000'000);
        heartbeat.set_object_key("declarations/" + std::string(64, 'a'));
        std::string bytes;
        return { averageOf(2000, [&] { heartbeat.SerializeToString(&bytes); }), static_cast<double>(heartbeat.ByteSizeLong()) };
    }

    // InterferenceBench has a runner and the same number of tasks of six classes on every worker.
    struct InterferenceBench {
        static constexpr int tasksOfWorker = 6;
        Instant now { std::chrono::seconds(1000) };
        Interference interference { {} };

        explicit InterferenceBench(int workers)
        {
            this->interference.handle(ChangeConfiguration { { 1, declaration() } }, this->now);
            for (int i = 0; i < workers; ++i)
                this->addWorker(i);
            this->now += std::chrono::seconds(60);
            for (int i = 0; i < workers; ++i)
                this->measure(i);
        }

        void addWorker(int number)
        {
            const HostName worker = makeHost(HostKind::Worker, number).name;
            this->interference.handle(RunnerPlaced { worker, service }, this->now);
            for (int i = 0; i < tasksOfWorker; ++i)
                this->interference.handle(TaskPlaced { worker, JobId("job-" + std::to_string(number) + "-" + std::to_string(i)), 1, BatchClassName("class-" + std::to_string(i)), Duration::zero() }, this->now);
        }

        void measure(int number)
        {
            this->interference.handle(LatencyMeasured { service, makeHost(HostKind::Worker, number).name, this->now - std::chrono::seconds(40), this->now - std::chrono::seconds(30), std::chrono::milliseconds(20), 400, 0.5 }, this->now);
        }
    };

    Cost interferenceTickByTasks(int tasks)
    {
        const double before = heapBytes();
        InterferenceBench bench(tasks / InterferenceBench::tasksOfWorker);
        const double held = heapBytes() - before;
        return { averageOf(50, [&] { bench.now += std::chrono::seconds(1); bench.interference.handle(InterferenceTick {}, bench.now); }), held };
    }

    Cost interferencePenaltyByWorkers(int workers)
    {
        const InterferenceBench bench(workers);
        const BatchClassName batchClass("class-1");
        return { averageOf(20, [&] {
                    for (int i = 0; i < workers; ++i)
                        bench.interference.ask(PlacementPenaltyQuery { makeHost(HostKind::Worker, i).name, batchClass }, bench.now);
                }),
            0 };
    }

    Cost interferenceMeasureByWorkers(int workers)
    {
        InterferenceBench bench(workers);
        return { averageOf(20, [&] {
                    for (int i = 0; i < workers; ++i)
                        bench.measure(i);
                }),
            0 };
    }

    const std::vector<Series> table {
        { "route and answer one request", "runners", { 50, 200, 800 }, designRunners, &routeByRunners },
        { "queue one request, no runner", "waiting", { 500, 1000, 2000 }, 2000, &routeByWaiting },
        { "batch tick (100 workers)", "running tasks", { 400, 1200, 3600 }, designBatchTasks, &batchByRunning },
        { "batch tick (100 workers)", "queued jobs", { 400, 1200, 3600 }, designQueuedJobs, &batchByQueued },
        { "batch tick, no job", "workers", { 100, 300, 620 }, designWorkers, &batchByWorkers },
        { "read the host list", "hosts", { 100, 400, 1600 }, designHosts, &membershipByHosts },
        { "one second of heartbeats", "entry hosts", { 4, 8, 16 }, designEntryHosts, &membershipByPeers },
        { "encode one contact", "attempts", { 4, 16, 64 }, designBatchTasks / designWorkers, &encodeContactByAttempts },
        { "decode one contact", "attempts", { 4, 16, 64 }, designBatchTasks / designWorkers, &decodeContactByAttempts },
        { "encode one job row", "payload bytes", { 100, 1000, 10000 }, 200, &encodeRowByPayload },
        { "encode one heartbeat", "name bytes", { 8, 16, 32 }, 16, &encodeHeartbeatByNameLength },
        { "interference tick", "batch tasks", { 600, 1800, 3600 }, designBatchTasks, &interferenceTickByTasks },
        { "penalties of one class", "workers", { 100, 300, 620 }, designWorkers, &interferencePenaltyByWorkers },
        { "one window of measurements", "runners", { 100, 400, 1600 }, designRunners, &interferenceMeasureByWorkers },
    };

    // Line is a least-squares fit.
    struct Line {
        double intercept { 0 };
        double slope { 0 };

        double at(double size) const { return this->intercept + this->slope * size; }
    };

    Line fit(const std::vector<int>& sizes, const std::vector<double>& values)
    {
        const double count = static_cast<double>(sizes.size());
        double meanSize = 0;
        double meanValue = 0;
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            meanSize += sizes[i] / count;
            meanValue += values[i] / count;
        }
        double covariance = 0;
        double variance = 0;
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            covariance += (sizes[i] - meanSize) * (values[i] - meanValue);
            variance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
        }
        const double slope = covariance / variance;
        return { meanValue - slope * meanSize, slope };
    }

    void print(const Series& series)
    {
        std::vector<double> times;
        std::vector<double> bytes;
        std::string measured;
        for (const int size : series.sizes) {
            const Cost cost = series.measure(size);
            times.push_back(cost.microseconds);
            bytes.push_back(cost.bytes);
            char cell[64];
            std::snprintf(cell, sizeof cell, " %d: %.1f us %.0f B;", size, cost.microseconds, cost.bytes);
            measured += cell;
        }
        const Line timeLine = fit(series.sizes, times);
        const Line byteLine = fit(series.sizes, bytes);
        std::printf("%-30s %-14s %10.4f %12.1f %8.0f %11.1f %12.0f  %s\n", series.operation, series.unit, timeLine.slope, byteLine.slope, series.designSize, timeLine.at(series.designSize), byteLine.at(series.designSize), measured.c_str());
        std::fflush(stdout);
    }

} // namespace
} // namespace dragonflytray

int main()
{
    std::printf("%-30s %-14s %10s %12s %8s %11s %12s  %s\n", "operation", "size in", "us/unit", "bytes/unit", "design", "us there", "bytes there", "measured");
    for (const auto& series : dragonflytray::table)
        dragonflytray::print(series);
}
