#include "scheduling/simulation/simulated_worker.h"

#include <algorithm>
#include <iterator>

namespace dragonflytray {

namespace {

    constexpr std::int64_t maxLeaseMilliseconds = 6000; // a longer lease is shortened to this

} // namespace

SimulatedWorker::SimulatedWorker(ListedWorker entry, Instant start)
    : listed(std::move(entry))
    , startedAt(start)
{
}

std::int64_t SimulatedWorker::clockAt(Instant now) const
{
    return toMilliseconds(now - this->startedAt);
}

ListedWorker SimulatedWorker::entryAt(Instant time) const
{
    ListedWorker entry = this->listed;
    entry.isDraining = entry.isDraining || (this->drainingSince && *this->drainingSince <= time);
    return entry;
}

void SimulatedWorker::setListed(Instant time, bool isListed)
{
    this->listings.erase(this->listings.lower_bound(time), this->listings.end());
    this->listings.emplace(time, isListed);
}

bool SimulatedWorker::isListedAt(Instant time) const
{
    const auto next = this->listings.upper_bound(time);
    return next == this->listings.begin() || std::prev(next)->second;
}

bool SimulatedWorker::isChangedIn(Instant begin, Instant end) const
{
    const bool hasBegunToDrain = this->drainingSince && *this->drainingSince > begin && *this->drainingSince <= end;
    return hasBegunToDrain || this->listings.upper_bound(begin) != this->listings.upper_bound(end);
}

bool SimulatedWorker::isFenced(const FencingToken& token)
{
    if (token < this->highestToken)
        return true;
    this->highestToken = token;
    return false;
}

void SimulatedWorker::extendLease(std::int64_t deadline, Instant now)
{
    this->leaseEnd = std::max(this->leaseEnd, std::min(deadline, this->clockAt(now) + maxLeaseMilliseconds));
}

WorkerCallStatus SimulatedWorker::start(const StartTask& call, SimulatedRun work, Instant now)
{
    this->advance(now);
    if (this->isFenced(call.to.token))
        return WorkerCallStatus::Fenced;
    if (call.deadline <= this->clockAt(now))
        return WorkerCallStatus::TooLate;
    this->extendLease(call.deadline, now);
    if (this->runs.contains(call.run))
        return WorkerCallStatus::Ok;
    if (const auto last = this->highestEndedRuns.find(call.run.task); last != this->highestEndedRuns.end() && call.run.run <= last->second)
        return WorkerCallStatus::StaleRun;
    TaskResources room = this->listed.capacity;
    for (const auto& [id, run] : this->runs)
        room -= run.need;
    if (!work.need.fitsIn(room))
        return WorkerCallStatus::NoRoom;
    work.id = call.run;
    this->runs.emplace(call.run, std::move(work));
    return WorkerCallStatus::Ok;
}

WorkerCallStatus SimulatedWorker::stop(const StopTask& call, Instant now)
{
    this->advance(now);
    if (this->isFenced(call.to.token))
        return WorkerCallStatus::Fenced;
    std::uint64_t& last = this->highestEndedRuns[call.run.task];
    last = std::max(last, call.run.run);
    if (this->runs.contains(call.run))
        this->finish(call.run, RunOutcome::Stopped, now);
    return WorkerCallStatus::Ok;
}

PollEnded SimulatedWorker::poll(const PollWorker& call, Instant now)
{
    this->advance(now);
    PollEnded end { .worker = this->listed.id, .token = call.to.token, .sentAt = now, .receivedAt = now, .status = WorkerCallStatus::Ok, .clock = this->clockAt(now), .startedAt = this->listed.startedAt };
    if (this->isFenced(call.to.token)) {
        end.status = WorkerCallStatus::Fenced;
        return end;
    }
    if (call.deadline)
        this->extendLease(*call.deadline, now);
    while (!this->unacknowledgedEnds.empty() && this->unacknowledgedEnds.front().number <= call.acknowledged) {
        if (this->unacknowledgedEnds.front().outcome == RunOutcome::Done)
            this->acknowledge(this->unacknowledgedEnds.front().id);
        this->unacknowledgedEnds.pop_front();
    }
    for (const auto& [id, run] : this->runs)
        end.running.push_back({ id, run.checkpoint, 100, 0 });
    end.ended.assign(this->unacknowledgedEnds.begin(), this->unacknowledgedEnds.end());
    return end;
}

void SimulatedWorker::advance(Instant now)
{
    std::vector<std::pair<TaskRunId, RunOutcome>> endedRuns;
    const bool isLeaseExpired = this->clockAt(now) >= this->leaseEnd;
    if (isLeaseExpired)
        this->lastLeaseExpiry = now;
    for (const auto& [id, run] : this->runs) {
        if (run.end <= now)
            endedRuns.emplace_back(id, run.isFailing ? RunOutcome::Failed : RunOutcome::Done);
        else if (isLeaseExpired)
            endedRuns.emplace_back(id, RunOutcome::LeaseExpired);
    }
    for (const auto& [id, outcome] : endedRuns)
        this->finish(id, outcome, now);
}

void SimulatedWorker::finish(const TaskRunId& run, RunOutcome outcome, Instant now)
{
    std::uint64_t& last = this->highestEndedRuns[run.task];
    last = std::max(last, run.run);
    this->unacknowledgedEnds.push_back({ ++this->lastEnd, run, outcome, this->runs.at(run).checkpoint });
    if (outcome == RunOutcome::Done) {
        this->done[run] = false;
        this->doneAt[run] = now;
    }
    this->runs.erase(run);
}

void SimulatedWorker::acknowledge(const TaskRunId& run)
{
    this->done[run] = true;
    if (this->lastLeaseExpiry < this->doneAt.at(run))
        this->counted.emplace(run, this->doneAt.at(run));
}

void SimulatedWorker::restart(Instant now)
{
    ListedWorker entry = this->listed;
    if (entry.startedAt != 0)
        ++entry.startedAt;
    std::map<Instant, bool> formerListings = std::move(this->listings);
    *this = SimulatedWorker(std::move(entry), now);
    this->listings = std::move(formerListings);
}

} // namespace dragonflytray
