#include "entry/row_encoding.h"

#include "json/json.h"
#include "json/number_limits.h"
#include <stdexcept>

namespace dragonflytray {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint16_t maxPort = 65535;

    Json encodeResources(const TaskResources& need) { return Json::array({ need.millicores, need.megabytes, need.accelerators }); }

    // numberOf() converts a number from 0 to `max` and throws if it is none.
    template <typename Number>
    Number numberOf(const Json& json, std::type_identity_t<Number> max)
    {
        const auto number = numberAs<Number>(json);
        if (!number || !(*number >= 0 && *number <= max))
            throw std::out_of_range("not a number in the range of its field");
        return *number;
    }

    // smallNumberOf() converts a number of a step, a task or an occurrence, or a count of them.
    std::uint32_t smallNumberOf(const Json& json) { return numberOf<std::uint32_t>(json, maxQuantity); }

    std::uint64_t ordinalOf(const Json& json) { return numberOf<std::uint64_t>(json, maxOrdinal); }

    std::chrono::milliseconds periodOf(const Json& json) { return std::chrono::milliseconds(numberOf<std::int64_t>(json, maxPeriod)); }

    WallTime timeOf(const Json& json) { return numberOf<WallTime>(json, maxTime); }

    std::int64_t quantityOf(const Json& json) { return numberOf<std::int64_t>(json, maxQuantity); }

    // fieldOrZero() is the field `name`, or the number 0 if it is absent.
    Json fieldOrZero(const Json& json, const char* name)
    {
        const auto found = json.find(name);
        return found == json.end() ? Json(0) : *found;
    }

    TaskResources decodeResources(const Json& json) { return { quantityOf(json.at(0)), quantityOf(json.at(1)), quantityOf(json.at(2)) }; }

    // The flags of a step, as bits.
    enum class StepFlag {
        Checkpointing,
        Gang,
        SameRack,
        Copies,
        LongRunning,
        BestEffort,
    };
    using FlagMember = bool StepDefinition::*;
    constexpr std::array<FlagMember, 6> stepFlags { &StepDefinition::isCheckpointing, &StepDefinition::isGang, &StepDefinition::isSameRack, &StepDefinition::mayRunCopies, &StepDefinition::isLongRunning, &StepDefinition::isBestEffort };
    static_assert(stepFlags.size() == indexOf(StepFlag::BestEffort) + 1);

    Json encodeStep(const StepDefinition& step)
    {
        std::uint32_t flags = 0;
        for (std::size_t bit = 0; bit < stepFlags.size(); ++bit)
            flags |= step.*stepFlags[bit] ? 1U << bit : 0;
        Json json { { "count", step.count }, { "need", encodeResources(step.need) }, { "estimate", toMilliseconds(step.estimate) }, { "flags", flags } };
        if (!step.after.empty())
            json["after"] = step.after;
        if (!step.requiredLabel.empty())
            json["label"] = step.requiredLabel;
        if (!step.nearLabel.empty())
            json["near"] = step.nearLabel;
        if (step.maxPerWorker > 0)
            json["perWorker"] = step.maxPerWorker;
        if (step.disruptionBudget > 0)
            json["budget"] = step.disruptionBudget;
        if (!step.image.isEmpty())
            json["image"] = step.image.value();
        if (step.latencyTarget > Duration(0))
            json["target"] = toMilliseconds(step.latencyTarget);
        return json;
    }

    StepDefinition decodeStep(const Json& json)
    {
        StepDefinition step;
        step.count = smallNumberOf(json.at("count"));
        step.need = decodeResources(json.at("need"));
        step.estimate = periodOf(json.at("estimate"));
        const std::uint32_t flags = smallNumberOf(json.at("flags"));
        for (std::size_t bit = 0; bit < stepFlags.size(); ++bit)
            step.*stepFlags[bit] = (flags >> bit & 1U) != 0;
        for (const Json& earlier : json.value("after", Json::array()))
            step.after.push_back(smallNumberOf(earlier));
        step.requiredLabel = json.value("label", "");
        step.nearLabel = json.value("near", "");
        step.maxPerWorker = smallNumberOf(fieldOrZero(json, "perWorker"));
        step.disruptionBudget = smallNumberOf(fieldOrZero(json, "budget"));
        step.image = ImageName(json.value("image", ""));
        step.latencyTarget = periodOf(fieldOrZero(json, "target"));
        return step;
    }

    Json encodeQueue(const QueueRule& queue)
    {
        return { { "name", queue.name.value() }, { "host", queue.host }, { "prefix", queue.pathPrefix }, { "service", queue.service.value() }, { "priority", queue.priority }, { "attempts", queue.maxAttempts }, { "slack", queue.slackFactor }, { "latency", toMilliseconds(queue.targetLatency) }, { "advice", queue.needsAdvice } };
    }

    QueueRule decodeQueue(const Json& json)
    {
        QueueRule queue;
        queue.name = QueueName(json.at("name"));
        queue.host = json.at("host");
        queue.pathPrefix = json.at("prefix");
        queue.service = ServiceName(json.at("service"));
        queue.priority = numberOf<int>(json.at("priority"), maxQuantity);
        queue.maxAttempts = smallNumberOf(json.at("attempts"));
        queue.slackFactor = numberOf<double>(json.at("slack"), maxSlackFactor);
        queue.targetLatency = periodOf(json.at("latency"));
        queue.needsAdvice = json.at("advice");
        return queue;
    }

    Json encode(const JobDefinition& job)
    {
        Json steps = Json::array();
        for (const StepDefinition& step : job.steps)
            steps.push_back(encodeStep(step));
        Json json { { "id", job.id.value() }, { "queue", encodeQueue(job.queue) }, { "spec", job.spec }, { "steps", std::move(steps) }, { "cell", job.cell.value() }, { "accepted", job.acceptedAt } };
        if (job.repetitions > 0)
            json["times"] = { job.repetitions, job.firstDue, toMilliseconds(job.interval) };
        return json;
    }

    StoredRow decodeDefinition(const Json& json)
    {
        JobDefinition job;
        job.id = JobId(json.at("id"));
        job.queue = decodeQueue(json.at("queue"));
        job.spec = json.at("spec");
        for (const Json& step : json.at("steps"))
            job.steps.push_back(decodeStep(step));
        job.cell = CellName(json.at("cell"));
        job.acceptedAt = timeOf(json.at("accepted"));
        if (json.contains("times")) {
            const Json& times = json.at("times");
            job.repetitions = smallNumberOf(times.at(0));
            job.firstDue = timeOf(times.at(1));
            job.interval = periodOf(times.at(2));
        }
        return job;
    }

    std::string encodeBits(const std::vector<bool>& bits)
    {
        std::string text;
        for (const bool bit : bits)
            text += bit ? '1' : '0';
        return text;
    }

    Json encode(const JobProgress& progress)
    {
        Json steps = Json::array();
        for (const auto& [number, stepProgress] : progress.stepProgress) {
            Json failures = Json::array();
            for (const auto& [index, failed] : stepProgress.failures)
                failures.push_back({ index, failed });
            Json checkpoints = Json::array();
            for (const auto& [index, checkpoint] : stepProgress.checkpoints)
                checkpoints.push_back({ index, checkpoint });
            Json crashes = Json::array();
            Json verdicts = Json::array();
            for (const auto& [index, crashed] : stepProgress.crashes) {
                if (!crashed.runs.empty())
                    crashes.push_back({ index, crashed.runs });
                if (!crashed.provenRuns.empty() || crashed.settledRun != 0)
                    verdicts.push_back({ index, crashed.provenRuns, crashed.settledRun });
            }
            steps.push_back({ number, encodeBits(stepProgress.done), std::move(failures), std::move(checkpoints), std::move(crashes), std::move(verdicts) });
        }
        return { { "phase", jobPhaseNames.nameOf(progress.phase) }, { "epoch", progress.epoch }, { "generation", progress.generation }, { "ended", progress.endedAt }, { "units", std::move(steps) } };
    }

    TaskFailures decodeRunNumbers(const Json& json)
    {
        TaskFailures failures;
        for (const Json& run : json)
            failures.insert(ordinalOf(run));
        return failures;
    }

    StepProgress decodeStepProgress(const Json& json)
    {
        StepProgress stepProgress;
        for (const char bit : json.at(1).get<std::string>())
            stepProgress.done.push_back(bit == '1');
        for (const Json& failed : json.at(2))
            stepProgress.failures[smallNumberOf(failed.at(0))] = decodeRunNumbers(failed.at(1));
        for (const Json& checkpoint : json.at(3))
            stepProgress.checkpoints[smallNumberOf(checkpoint.at(0))] = checkpoint.at(1);
        if (constexpr std::size_t sizeWithoutCrashes = 4; json.size() > sizeWithoutCrashes) {
            for (const Json& crashed : json.at(sizeWithoutCrashes))
                stepProgress.crashes[smallNumberOf(crashed.at(0))].runs = decodeRunNumbers(crashed.at(1));
        }
        if (constexpr std::size_t sizeWithoutVerdicts = 5; json.size() > sizeWithoutVerdicts) {
            for (const Json& verdict : json.at(sizeWithoutVerdicts)) {
                TaskCrashes& crashes = stepProgress.crashes[smallNumberOf(verdict.at(0))];
                crashes.provenRuns = decodeRunNumbers(verdict.at(1));
                crashes.settledRun = ordinalOf(verdict.at(2));
            }
        }
        return stepProgress;
    }

    StoredRow decodeProgress(const Json& json)
    {
        JobProgress progress;
        progress.phase = jobPhaseNames.parse(json.at("phase").get<std::string>()).value();
        progress.epoch = ordinalOf(json.at("epoch"));
        progress.generation = ordinalOf(json.at("generation"));
        progress.endedAt = timeOf(json.at("ended"));
        for (const Json& stepProgress : json.at("units"))
            progress.stepProgress[smallNumberOf(stepProgress.at(0))] = decodeStepProgress(stepProgress);
        return progress;
    }

    Json encode(const CancellationRequest& request) { return { { "requested", request.requestedAt } }; }

    StoredRow decodeCancellation(const Json& json) { return CancellationRequest { timeOf(json.at("requested")) }; }

    Json encodeTask(const TaskId& task) { return { task.job.value(), task.occurrence, task.step, task.index }; }

    TaskId decodeTask(const Json& json) { return { JobId(json.at(0)), smallNumberOf(json.at(1)), smallNumberOf(json.at(2)), smallNumberOf(json.at(3)) }; }

    Json encodeForecast(const Forecast& forecast)
    {
        Json services = Json::array();
        for (const auto& [name, service] : forecast.services) {
            Json preceding = Json::array();
            for (const PrecedingWork& work : service.preceding)
                preceding.push_back({ work.priority, work.precedesMilliseconds, work.coreMilliseconds, work.maxMillicores, work.maxMegabytes });
            services.push_back({ name.value(), service.millicores, service.longestTaskMilliseconds, std::move(preceding) });
        }
        return Json::array({ forecast.epoch, forecast.composedAt, std::move(services) });
    }

    Forecast decodeForecast(const Json& json)
    {
        Forecast forecast { .epoch = ordinalOf(json.at(0)), .composedAt = timeOf(json.at(1)) };
        for (const Json& entry : json.at(2)) {
            ServiceForecast service { .millicores = numberOf<std::int64_t>(entry.at(1), maxOrdinal), .longestTaskMilliseconds = numberOf<std::int64_t>(entry.at(2), maxPeriod) };
            for (const Json& work : entry.at(3))
                service.preceding.push_back({ .priority = numberOf<int>(work.at(0), maxQuantity), .precedesMilliseconds = numberOf<std::int64_t>(work.at(1), maxPeriod), .coreMilliseconds = numberOf<std::int64_t>(work.at(2), maxOrdinal), .maxMillicores = quantityOf(work.at(3)), .maxMegabytes = quantityOf(work.at(4)) });
            forecast.services[ServiceName(entry.at(0))] = std::move(service);
        }
        return forecast;
    }

    Json encode(const CellLease& lease)
    {
        Json unconfirmed = Json::array();
        for (const TaskId& task : lease.unconfirmed)
            unconfirmed.push_back(encodeTask(task));
        Json silentWorkers = Json::array();
        for (const WorkerId& worker : lease.silentWorkers)
            silentWorkers.push_back(worker.value());
        Json json { { "holder", lease.holder.value() }, { "epoch", lease.epoch }, { "beat", lease.renewalCount }, { "capacity", lease.capacityMillicores }, { "labels", lease.labels }, { "unconfirmed", std::move(unconfirmed) }, { "silent", std::move(silentWorkers) }, { "rosters", lease.isRosterComplete }, { "rosterSize", lease.rosterSize } };
        if (lease.forecast)
            json["forecast"] = encodeForecast(*lease.forecast);
        return json;
    }

    StoredRow decodeLease(const Json& json)
    {
        CellLease lease;
        lease.holder = HostName(json.at("holder"));
        lease.epoch = ordinalOf(json.at("epoch"));
        lease.renewalCount = ordinalOf(json.at("beat"));
        lease.capacityMillicores = numberOf<std::int64_t>(json.at("capacity"), maxOrdinal);
        lease.labels = json.at("labels").get<std::vector<std::string>>();
        for (const Json& task : json.at("unconfirmed"))
            lease.unconfirmed.push_back(decodeTask(task));
        lease.isRosterComplete = json.value("rosters", false); // releases that kept the roster elsewhere write and read another name
        lease.rosterSize = ordinalOf(fieldOrZero(json, "rosterSize"));
        for (const Json& worker : json.value("silent", Json::array()))
            lease.silentWorkers.emplace_back(worker.get<std::string>());
        if (json.contains("forecast"))
            lease.forecast = decodeForecast(json.at("forecast"));
        return lease;
    }

    Json encode(const WorkerRoster& roster)
    {
        Json workers = Json::array();
        for (const auto& [worker, entry] : roster.workers) {
            Json row = Json::array({ worker.value(), entry.endpoint.address, entry.endpoint.port, encodeResources(entry.capacity) });
            if (entry.possibleTasks) {
                Json tasks = Json::array();
                for (const TaskId& task : *entry.possibleTasks)
                    tasks.push_back(encodeTask(task));
                row.push_back(std::move(tasks));
                // Releases that know no exposed runs read the sixth element as a lease.
                if (entry.maxLease || !entry.exposedRuns.empty())
                    row.push_back(entry.maxLease ? toMilliseconds(*entry.maxLease) : maxPeriod);
                if (!entry.exposedRuns.empty()) {
                    Json runs = Json::array();
                    for (const TaskRunId& run : entry.exposedRuns)
                        runs.push_back({ encodeTask(run.task), run.run });
                    row.push_back(entry.startedAt);
                    row.push_back(std::move(runs));
                }
            }
            workers.push_back(std::move(row));
        }
        return { { "workers", std::move(workers) } };
    }

    StoredRow decodeRoster(const Json& json)
    {
        WorkerRoster roster;
        for (const Json& worker : json.at("workers")) {
            RosterEntry entry { .endpoint = { worker.at(1), numberOf<std::uint16_t>(worker.at(2), maxPort) }, .capacity = decodeResources(worker.at(3)) };
            if (worker.size() > 4) {
                entry.possibleTasks.emplace();
                for (const Json& task : worker.at(4))
                    entry.possibleTasks->insert(decodeTask(task));
            }
            if (worker.size() > 5) {
                const auto lease = numberOf<std::int64_t>(worker.at(5), maxPeriod);
                entry.maxLease = lease < maxPeriod ? std::optional<Duration>(std::chrono::milliseconds(lease)) : std::nullopt;
            }
            if (worker.size() > 7) {
                entry.startedAt = timeOf(worker.at(6));
                for (const Json& run : worker.at(7))
                    entry.exposedRuns.push_back({ decodeTask(run.at(0)), ordinalOf(run.at(1)) });
            }
            roster.workers[WorkerId(worker.at(0))] = std::move(entry);
        }
        return roster;
    }

    Json encode(const EntryHost& host)
    {
        return { { "dataCentre", host.dataCentre.value() }, { "address", host.agent.address }, { "port", host.agent.port }, { "link", host.linkMegabits }, { "processor", host.processorShare } };
    }

    StoredRow decodeEntryHost(const Json& json)
    {
        EntryHost host;
        host.dataCentre = DataCentreName(json.at("dataCentre"));
        host.agent = { json.at("address"), numberOf<std::uint16_t>(json.at("port"), maxPort) };
        host.linkMegabits = numberOf<double>(json.at("link"), maxQuantity);
        host.processorShare = numberOf<double>(json.at("processor"), maxQuantity);
        return host;
    }

    using Decoder = StoredRow (*)(const Json&);
    constexpr std::array<Decoder, storedRowKindNames.size()> decoders { &decodeDefinition, &decodeProgress, &decodeCancellation, &decodeLease, &decodeRoster, &decodeEntryHost };

} // namespace

std::string encodeRow(const StoredRow& row)
{
    std::string bytes;
    std::visit([&](const auto& value) { Json::to_cbor(encode(value), bytes); }, row);
    return bytes;
}

std::optional<StoredRow> decodeRow(StoredRowKind kind, const std::string& bytes)
{
    const Json json = parseCbor(bytes);
    if (json.is_discarded())
        return std::nullopt;
    try {
        return decoders[indexOf(kind)](json);
    } catch (const std::exception&) {
        return std::nullopt; // another writer's bytes; the caller counts and reports them
    }
}

} // namespace dragonflytray
