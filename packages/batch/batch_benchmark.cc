// Measures `Batch` at several sizes: processor time per placement, load by ticks, and memory in use. Run it on an idle
// machine.
//
// Usage: batch_benchmark

#include "batch/batch.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <malloc.h>

namespace dragonflytray {
namespace {

    constexpr double processorsPerWorker = 64;
    constexpr Duration tickInterval = std::chrono::milliseconds(50);
    constexpr int idleTicks = 400; // 20 simulated seconds
    constexpr double bytesPerMegabyte = 1 << 20;

    struct Size {
        int workers { 0 };
        int tasks { 0 };
        int queued { 0 };
    };

    double processorSeconds()
    {
        timespec time {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
    }

    double megabytesInUse()
    {
        const auto info = mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd) / bytesPerMegabyte;
    }

    // A leader whose transactions commit immediately and whose workers report every task as running.
    class BatchCostBench {
    public:
        explicit BatchCostBench(Size size)
            : size(size)
        {
            Declaration declaration;
            declaration.teams = { { .name = TeamName("desk") } };
            declaration.batchClasses = { { .name = BatchClassName("pack"), .need = { 1, 1, 0 } } };
            this->batch.handle(ChangeConfiguration { { 1, std::make_shared<Declaration>(declaration) } }, this->now);
            ChangeHosts hosts;
            for (int i = 0; i < size.workers; ++i) {
                Host host;
                host.name = HostName("worker-" + std::to_string(i));
                host.dataCentre = DataCentreName("dc1");
                host.rack = RackName("rack-" + std::to_string(i / 8));
                host.capacity = { processorsPerWorker, 250, 0 };
                hosts.hosts.push_back(host);
            }
            this->batch.handle(hosts, this->now);
            for (int i = 0; i < 4; ++i)
                this->tick();
        }

        void submit(int count, double processors)
        {
            for (int i = 0; i < count; ++i) {
                Job job;
                job.id = JobId("job-" + std::to_string(++this->submitted));
                job.team = TeamName("desk");
                job.batchClass = BatchClassName("pack");
                job.need = { processors, 1, 0 };
                job.payload = "package of loan applications, number " + std::to_string(i);
                this->execute(this->batch.handle(SubmitJob { ReplyToken(1), job }, this->now));
            }
        }

        void tick()
        {
            this->now += tickInterval;
            this->execute(this->batch.handle(BatchTick {}, this->now));
        }

        std::size_t startedTasks() const { return this->started; }
        double insideSeconds() const { return this->inside; }

    private:
        void execute(BatchEffects effects)
        {
            for (const BatchEffect& effect : effects) {
                if (const auto* write = std::get_if<WriteTransaction>(&effect))
                    this->answer(TransactionResult { write->transaction.id, TransactionStatus::Committed, ++this->revision, {} });
                else if (std::holds_alternative<ReadRows>(effect))
                    this->answer(RowsRead { true, this->revision, {} });
                else if (const auto* contact = std::get_if<ContactWorker>(&effect))
                    this->report(*contact);
            }
        }

        void report(const ContactWorker& contact)
        {
            WorkerReported reported { contact.worker, contact.epoch, {} };
            for (const TaskStart& start : contact.starts)
                reported.reports.push_back({ start.job, start.attempt, TaskPhase::Running, "", "", {} });
            for (const TaskAttempt& renewal : contact.renewals)
                reported.reports.push_back({ renewal.job, renewal.attempt, TaskPhase::Running, "", "", {} });
            this->started += contact.starts.size();
            this->answer(std::move(reported));
        }

        void answer(BatchCommand command) { this->execute(this->batch.handle(command, this->now)); }

        Size size;
        Batch batch { { .self = HostName("e1"), .dataCentre = DataCentreName("dc1"), .maxTransitionsPerTransaction = 64 } };
        Instant now { std::chrono::seconds(100) };
        RowVersion revision { 0 };
        int submitted { 0 };
        std::size_t started { 0 };
        double inside { 0 };
    };

    void measure(Size size)
    {
        const double megabytesBefore = megabytesInUse();
        BatchCostBench bench(size);
        const int tasksPerWorker = (size.tasks + size.workers - 1) / size.workers;
        const double need = processorsPerWorker / std::max(tasksPerWorker, 1) - 0.1;
        bench.submit(size.tasks, need);
        const double placementStart = processorSeconds();
        for (int i = 0; i < 4000 && bench.startedTasks() < static_cast<std::size_t>(size.tasks); ++i)
            bench.tick();
        const double placementSeconds = processorSeconds() - placementStart;
        bench.submit(size.queued, processorsPerWorker);
        const double idleStart = processorSeconds();
        for (int i = 0; i < idleTicks; ++i)
            bench.tick();
        const double idleSeconds = processorSeconds() - idleStart;
        std::printf("%5d workers %6zu tasks %6d queued: %7.1f us a placement, %5.2f %% of a core, %6.2f MB\n",
            size.workers, bench.startedTasks(), size.queued, placementSeconds * 1e6 / static_cast<double>(std::max<std::size_t>(bench.startedTasks(), 1)),
            100 * idleSeconds / (idleTicks * toSeconds(tickInterval)), megabytesInUse() - megabytesBefore);
    }

} // namespace
} // namespace dragonflytray

int main()
{
    using dragonflytray::measure;
    for (int workers : { 155, 310, 620, 1240 })
        measure({ workers, 1000, 0 });
    for (int tasks : { 1400, 2800, 5600 })
        measure({ 620, tasks, 0 });
    for (int queued : { 2000, 4000, 8000, 16000 })
        measure({ 620, 5600, queued });
}
