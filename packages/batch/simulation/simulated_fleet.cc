#include "batch/simulation/simulated_fleet.h"

namespace dragonflytray {

namespace {

    constexpr int dataCentreCount = 2;
    constexpr Duration normalDelay = std::chrono::milliseconds(5);
    constexpr Duration slowDelay = std::chrono::milliseconds(900);
    constexpr Duration maxOutageDuration = std::chrono::minutes(2); // short, so that outages in a run exceed it

    constexpr ReplyToken submissionToken { 1 };
    constexpr ReplyToken cancellationToken { 2 };

    std::string name(const char* prefix, int dataCentre, int number)
    {
        return prefix + std::to_string(dataCentre) + "-" + std::to_string(number);
    }

} // namespace

SimulatedFleet::SimulatedFleet(Options options)
    : options(options)
    , random(options.seed)
{
    this->workers.isEnded = [this](const JobId& id) {
        const Job* job = this->table.find(id);
        return job && isTerminal(job->state);
    };
    auto declaration = std::make_shared<Declaration>();
    declaration->teams = { { .name = TeamName("desk") }, { .name = TeamName("lab"), .maxProcessors = 16 } };
    declaration->batchClasses = { { .name = BatchClassName("pack"), .need = { 2, 4, 0 }, .defaultRunTime = std::chrono::seconds(10), .attemptLimit = 5 } };
    this->inForce = { 1, declaration };
    for (int dataCentre = 0; dataCentre < dataCentreCount; ++dataCentre) {
        for (int i = 0; i < options.workersInDataCentre; ++i) {
            Host worker;
            worker.name = HostName(name("w", dataCentre, i));
            worker.dataCentre = DataCentreName(name("dc", dataCentre, 0));
            worker.rack = RackName(name("r", dataCentre, i / 2));
            worker.capacity = options.capacity;
            this->hostList.push_back(worker);
            this->workers.byName[worker.name].host = worker;
        }
        for (int i = 0; i < options.entryHostsInDataCentre; ++i) {
            SimulatedEntryHost host;
            host.options.self = HostName(name("e", dataCentre, i));
            host.options.dataCentre = DataCentreName(name("dc", dataCentre, 0));
            host.options.maxOutageDuration = maxOutageDuration;
            host.clockOffset = std::chrono::seconds(this->randomIndex(100000));
            this->restart(host);
            this->hosts.push_back(std::move(host));
        }
    }
}

void SimulatedFleet::restart(SimulatedEntryHost& host)
{
    host.batch = std::make_unique<Batch>(host.options);
    ++host.incarnation;
    host.inbox.clear();
    host.inbox.push_back(ChangeConfiguration { this->inForce });
    host.inbox.push_back(ChangeHosts { this->hostList });
}

void SimulatedFleet::advance()
{
    this->now += step;
    while (!this->scheduledActions.empty() && this->scheduledActions.begin()->first <= this->now) {
        Action action = std::move(this->scheduledActions.begin()->second);
        this->scheduledActions.erase(this->scheduledActions.begin());
        action();
    }
    this->workers.advance(this->now);
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        SimulatedEntryHost& host = this->hosts[i];
        if (this->now < host.pausedUntil)
            continue;
        while (!host.inbox.empty()) {
            const BatchCommand command = std::move(host.inbox.front());
            host.inbox.pop_front();
            this->handle(i, command);
        }
        this->handle(i, BatchTick {});
    }
}

void SimulatedFleet::handle(std::size_t host, const BatchCommand& command)
{
    for (const BatchEffect& effect : this->hosts[host].batch->handle(command, this->now + this->hosts[host].clockOffset))
        std::visit([&](const auto& value) { this->execute(host, value); }, effect);
}

void SimulatedFleet::deliver(std::size_t host, std::uint64_t incarnation, BatchCommand command)
{
    if (this->hosts[host].incarnation == incarnation)
        this->hosts[host].inbox.push_back(std::move(command));
}

Duration SimulatedFleet::randomDelay(Duration minimum)
{
    return minimum + Duration(std::uniform_int_distribution<Duration::rep>(0, minimum.count())(this->random));
}

void SimulatedFleet::execute(std::size_t host, const WriteTransaction& effect)
{
    const std::uint64_t incarnation = this->hosts[host].incarnation;
    const Transaction& transaction = effect.transaction;
    auto answer = [this, host, incarnation](TransactionResult result) { this->deliver(host, incarnation, std::move(result)); };
    const bool isDown = this->now < this->tableDownUntil || this->now < this->hosts[host].partitionedUntil;
    if (isDown) {
        const TransactionStatus status = this->shouldHappen(0.5) ? TransactionStatus::Unavailable : TransactionStatus::Ambiguous;
        return this->schedule(status == TransactionStatus::Ambiguous ? messageTimeout : normalDelay, [=] { answer({ transaction.id, status, 0, {} }); });
    }
    const bool isSlow = this->now < this->tableSlowUntil;
    const bool isLost = this->now < this->tableAnswersLostUntil && this->shouldHappen(0.5);
    const Duration requestDelay = this->randomDelay(isSlow ? slowDelay : normalDelay);
    const Duration responseDelay = this->randomDelay(isSlow ? slowDelay : normalDelay);
    this->schedule(requestDelay, [=, this] {
        TransactionResult result = this->table.apply(transaction);
        if (isLost || requestDelay + responseDelay > messageTimeout)
            result = { transaction.id, TransactionStatus::Ambiguous, 0, {} };
        this->schedule(responseDelay, [=] { answer(result); });
    });
}

void SimulatedFleet::execute(std::size_t host, const ReadRows& effect)
{
    const std::uint64_t incarnation = this->hosts[host].incarnation;
    const bool isDown = this->now < this->tableDownUntil || this->now < this->hosts[host].partitionedUntil;
    const bool isSlow = this->now < this->tableSlowUntil;
    this->schedule(this->randomDelay(isSlow ? slowDelay : normalDelay), [=, this] {
        RowsRead read = isDown ? RowsRead {} : this->table.read(effect);
        this->schedule(this->randomDelay(isSlow ? slowDelay : normalDelay), [=, this] { this->deliver(host, incarnation, read); });
    });
}

void SimulatedFleet::execute(std::size_t host, const ContactWorker& effect)
{
    const std::uint64_t incarnation = this->hosts[host].incarnation;
    const Duration requestDelay = this->shouldHappen(0.02) ? this->randomDelay(slowDelay) : this->randomDelay(normalDelay);
    const Instant sentAt = this->now;
    auto fail = [=, this] { this->deliver(host, incarnation, WorkerUnreachable { effect.worker, effect.epoch }); };
    this->schedule(requestDelay, [=, this] {
        SimulatedWorker& worker = this->workers.byName.at(effect.worker);
        const Duration remainingTimeout = messageTimeout - (this->now - sentAt);
        if (this->now < worker.partitionedUntil)
            return this->schedule(remainingTimeout, fail);
        auto reported = this->workers.contact(effect, this->now);
        if (!reported)
            return this->schedule(normalDelay, fail);
        if (this->now < worker.answersLostUntil)
            return this->schedule(remainingTimeout, fail);
        this->schedule(this->randomDelay(normalDelay), [=, this] { this->deliver(host, incarnation, *reported); });
    });
}

void SimulatedFleet::execute(std::size_t, const ReplyToSubmitter& effect)
{
    if (effect.token != submissionToken)
        return;
    if (effect.status == SubmissionStatus::Accepted || effect.status == SubmissionStatus::Repeated)
        this->accepted.insert(effect.job.id);
    else if (effect.status == SubmissionStatus::Refused && !this->accepted.contains(effect.job.id))
        this->refused.insert(effect.job.id);
}

void SimulatedFleet::submit(std::size_t host, Job job)
{
    this->submittedAt.emplace(job.id, this->now);
    this->deliver(host, this->hosts[host].incarnation, SubmitJob { submissionToken, std::move(job) });
}

void SimulatedFleet::cancel(std::size_t host, const JobId& job)
{
    this->deliver(host, this->hosts[host].incarnation, CancelJob { cancellationToken, job });
}

void SimulatedFleet::sendHostList(SimulatedEntryHost& host, bool isComplete)
{
    std::vector<Host> list = this->hostList;
    if (!isComplete)
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(this->randomIndex(list.size())));
    host.inbox.push_back(ChangeHosts { std::move(list) });
}

void SimulatedFleet::injectFault()
{
    SimulatedEntryHost& host = this->hosts[this->randomIndex(this->hosts.size())];
    auto worker = std::next(this->workers.byName.begin(), static_cast<std::ptrdiff_t>(this->randomIndex(this->workers.byName.size())));
    const Duration duration = std::chrono::milliseconds(100 + this->randomIndex(this->shouldHappen(0.2) ? 60000 : 8000));
    const std::array<Action, 11> faults {
        [&] { host.pausedUntil = this->now + duration; },
        [&] { host.partitionedUntil = this->now + duration; },
        [&] { this->restart(host); },
        [&] { this->sendHostList(host, this->shouldHappen(0.7)); },
        [&] { this->tableDownUntil = this->now + duration; },
        [&] { this->tableSlowUntil = this->now + duration; },
        [&] { this->tableAnswersLostUntil = this->now + duration; },
        [&] { worker->second.partitionedUntil = this->now + duration; },
        [&] { worker->second.answersLostUntil = this->now + duration; },
        [&] { worker->second.isFailing = this->shouldHappen(0.3); },
        [&] { this->workers.restart(worker->second); },
    };
    faults[this->randomIndex(faults.size())]();
}

void SimulatedFleet::clearFaults()
{
    this->tableDownUntil = this->tableSlowUntil = this->tableAnswersLostUntil = this->now;
    for (auto& [name, worker] : this->workers.byName) {
        worker.partitionedUntil = worker.answersLostUntil = this->now;
        worker.isFailing = false;
    }
    for (SimulatedEntryHost& host : this->hosts) {
        host.pausedUntil = host.partitionedUntil = this->now;
        this->sendHostList(host, true);
    }
}

} // namespace dragonflytray
