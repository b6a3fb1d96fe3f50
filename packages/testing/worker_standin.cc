#include "testing/worker_standin.h"

namespace dragonflytray {

using nlohmann::json;

namespace {

    constexpr Duration advanceInterval = std::chrono::milliseconds(20);

    std::string checkpointAt(double share)
    {
        return "done=" + std::to_string(share);
    }

    double shareOf(const std::string& checkpoint)
    {
        return checkpoint.starts_with("done=") ? std::strtod(checkpoint.c_str() + 5, nullptr) : 0;
    }

} // namespace

WorkerStandin::WorkerStandin(IoLoop& loop, Options options)
    : loop(loop)
    , options(std::move(options))
    , faults(loop)
    , server(loop, { .endpoint = this->options.endpoint }, [this](HttpRequest request, std::shared_ptr<HttpReply> reply) { this->take(std::move(request), std::move(reply)); })
{
}

tl::expected<Endpoint, std::string> WorkerStandin::start()
{
    this->loop.after(advanceInterval, [this] { this->advance(); });
    return this->server.start();
}

void WorkerStandin::take(HttpRequest request, std::shared_ptr<HttpReply> reply)
{
    const auto path = request.path();
    if (path == std::vector<std::string> { "faults" })
        return this->faults.take(request, *reply, this->server);
    if (path == std::vector<std::string> { "journal" })
        return reply->send({ .status = 200, .headers = {}, .body = json({ { "name", this->options.name }, { "events", this->journal } }).dump() });
    if (this->faults.refuses(*reply))
        return;
    if (path == std::vector<std::string> { "v1", "contact" })
        return this->faults.answer(std::move(reply), this->contact(request));
    reply->send({ .status = 404, .headers = {}, .body = "{}" });
}

HttpResponse WorkerStandin::contact(const HttpRequest& request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return { .status = 400, .headers = {}, .body = "{}" };
    const auto asked = body.value("epoch", std::uint64_t(0));
    if (asked < this->epoch)
        return { .status = 409, .headers = {}, .body = "{}" };
    this->epoch = asked;
    const Duration lease = std::chrono::milliseconds(body.value("leaseMilliseconds", 0));
    for (const json& renewal : body.value("renewals", json::array()))
        this->renewTask(renewal, lease);
    for (const json& stop : body.value("stops", json::array()))
        this->stopTask(stop);
    for (const json& start : body.value("starts", json::array()))
        this->startTask(start, lease);
    json reports = json::array();
    for (const auto& [job, task] : this->tasks)
        reports.push_back({ { "job", job }, { "attempt", task.attempt }, { "phase", taskPhaseNames.nameOf(task.phase) }, { "result", task.phase == TaskPhase::Finished ? "result of " + task.payload : "" }, { "checkpoint", task.checkpoint }, { "processors", task.need.processors }, { "memoryGigabytes", task.need.memoryGigabytes } });
    return { .status = 200, .headers = {}, .body = json({ { "reports", reports } }).dump() };
}

void WorkerStandin::startTask(const json& start, Duration lease)
{
    const std::string job = start.at("job");
    const auto attempt = start.at("attempt").get<std::uint32_t>();
    auto known = this->tasks.find(job);
    if (known != this->tasks.end() && known->second.attempt >= attempt) {
        this->renewTask(start, lease);
        return;
    }
    require(known == this->tasks.end() || known->second.phase != TaskPhase::Running, "WorkerStandin: an attempt starts while an older one runs");
    Task task;
    task.attempt = attempt;
    task.need = { start.value("processors", 0.0), start.value("memoryGigabytes", 0.0), start.value("accelerators", 0) };
    task.payload = start.value("payload", "");
    task.checkpoint = start.value("checkpoint", "");
    task.startedAt = BootClock::now();
    const double left = 1 - shareOf(task.checkpoint);
    const double milliseconds = start.value("declaredRunMilliseconds", 0.0) * this->options.timeScale * left;
    task.endsAt = task.startedAt + std::chrono::milliseconds(static_cast<long long>(milliseconds));
    task.leaseEnd = task.startedAt + lease;
    if (this->faults.active() == Fault::FailTasks)
        task.phase = TaskPhase::Failed;
    this->note(task.phase == TaskPhase::Failed ? "failed" : "started", job, attempt);
    this->tasks[job] = task;
    const Capacity sum = this->used();
    require(sum.processors <= this->options.capacity.processors + 1e-6 && sum.memoryGigabytes <= this->options.capacity.memoryGigabytes + 1e-6 && sum.accelerators <= this->options.capacity.accelerators, "WorkerStandin: more work than the worker holds");
}

void WorkerStandin::stopTask(const json& stop)
{
    auto task = this->tasks.find(stop.at("job"));
    if (task == this->tasks.end() || task->second.attempt != stop.at("attempt") || task->second.phase != TaskPhase::Running)
        return;
    if (stop.value("checkpoint", false)) {
        const Duration whole = task->second.endsAt - task->second.startedAt;
        const double share = whole > Duration(0) ? toSeconds(BootClock::now() - task->second.startedAt) / toSeconds(whole) : 1;
        const double before = shareOf(task->second.checkpoint);
        task->second.checkpoint = checkpointAt(std::min(1.0, before + (1 - before) * share));
    }
    task->second.phase = TaskPhase::Stopped;
    this->note("stopped", task->first, task->second.attempt);
}

void WorkerStandin::renewTask(const json& renewal, Duration lease)
{
    auto task = this->tasks.find(renewal.at("job"));
    if (task != this->tasks.end() && task->second.attempt == renewal.at("attempt"))
        task->second.leaseEnd = BootClock::now() + lease;
}

void WorkerStandin::advance()
{
    const Instant now = BootClock::now();
    for (auto& [job, task] : this->tasks) {
        if (task.phase != TaskPhase::Running)
            continue;
        if (now >= task.leaseEnd) {
            task.phase = TaskPhase::Stopped;
            this->note("lapsed", job, task.attempt);
        } else if (now >= task.endsAt) {
            task.phase = TaskPhase::Finished;
            this->note("finished", job, task.attempt);
        }
    }
    this->loop.after(advanceInterval, [this] { this->advance(); });
}

void WorkerStandin::note(const std::string& event, const std::string& job, std::uint32_t attempt)
{
    this->journal.push_back({ { "event", event }, { "job", job }, { "attempt", attempt }, { "worker", this->options.name }, { "nanoseconds", BootClock::now().time_since_epoch().count() } });
}

Capacity WorkerStandin::used() const
{
    Capacity sum;
    for (const auto& [job, task] : this->tasks) {
        if (task.phase != TaskPhase::Running)
            continue;
        sum.processors += task.need.processors;
        sum.memoryGigabytes += task.need.memoryGigabytes;
        sum.accelerators += task.need.accelerators;
    }
    return sum;
}

} // namespace dragonflytray
