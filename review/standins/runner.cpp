#include "runner.h"

#include <algorithm>
#include <chrono>

namespace review {

namespace {

    constexpr std::size_t endsOfReport = 500;
    constexpr std::int64_t maxWait = 2000;

    std::int64_t numberOf(const std::string& spec, const std::string& name)
    {
        const std::size_t at = (";" + spec).find(";" + name + "=");
        return at == std::string::npos ? 0 : std::strtoll(spec.c_str() + at + name.size() + 1, nullptr, 10);
    }

} // namespace

std::size_t Runs::begin(Run run)
{
    const std::lock_guard lock(this->mutex);
    run.startedAt = steadyMilliseconds();
    this->runs.push_back(std::move(run));
    return this->runs.size() - 1;
}

void Runs::add(Run run)
{
    const std::lock_guard lock(this->mutex);
    this->runs.push_back(std::move(run));
}

void Runs::end(std::size_t index, const std::string& how)
{
    const std::lock_guard lock(this->mutex);
    this->runs[index].endedAt = steadyMilliseconds();
    this->runs[index].how = how;
}

void Runs::takeNote(std::size_t index)
{
    const std::lock_guard lock(this->mutex);
    this->runs[index].takenNoteOfAt = steadyMilliseconds();
}

std::vector<Run> Runs::all()
{
    const std::lock_guard lock(this->mutex);
    return this->runs;
}

Runner::Runner(Options options, Store& store, Runs& record)
    : options(std::move(options))
    , store(store)
    , record(record)
{
}

Runner::~Runner()
{
    this->crash();
}

void Runner::start()
{
    {
        const std::lock_guard lock(this->mutex);
        ++this->life;
        this->bornAt = steadyMilliseconds();
        this->bornUnix = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        this->token = 0;
        this->deadline = 0;
        this->lastEnd = 0;
        this->closed.clear();
        this->hasAnswered = false;
        this->isAlive = true;
    }
    this->server = std::make_unique<Server>([this](const Request& request) { return this->handle(request); });
    this->server->open(this->port);
    this->port = this->server->port();
    this->thread = std::thread([this, now = this->life] { this->live(now); });
}

void Runner::crash()
{
    if (!this->isAlive.exchange(false))
        return;
    this->ended.notify_all();
    this->server->close();
    this->thread.join();
    const std::lock_guard lock(this->mutex);
    for (const auto& [run, task] : this->tasks)
        this->record.end(task.record, "gone");
    this->tasks.clear();
    this->ends.clear();
    std::erase_if(this->lateOrders, [](const LateOrder& order) { return !order.isOnTheWay; });
}

std::size_t Runner::running()
{
    const std::lock_guard lock(this->mutex);
    return this->tasks.size();
}

void Runner::list()
{
    const Json labels = Json::array({ "a", this->options.rack });
    this->store.put("servers", this->options.id, { { "service", this->options.service }, { "address", "127.0.0.1:" + std::to_string(this->port) }, { "zone", this->options.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold-remaining-ms", 0 }, { "capacity", { { "cpu", this->options.millicores }, { "mem-mb", this->options.megabytes }, { "gpu", 0 } } }, { "labels", labels }, { "clock-ms", this->clock() }, { "born", this->bornUnix }, { "sequence", ++this->sequence } });
}

void Runner::live(int now)
{
    std::int64_t nextBeat = steadyMilliseconds() + this->options.firstBeatMilliseconds;
    while (this->isAlive) {
        {
            const std::lock_guard lock(this->mutex);
            if (now != this->life)
                return;
            if (steadyMilliseconds() >= nextBeat) {
                nextBeat = steadyMilliseconds() + this->options.beatMilliseconds;
                this->list();
            }
            for (const LateOrder& order : this->lateOrders) {
                if (steadyMilliseconds() >= order.at)
                    this->perform(order.path, order.body);
            }
            std::erase_if(this->lateOrders, [this](const LateOrder& order) { return steadyMilliseconds() >= order.at; });
            const bool hasLapsed = this->clock() >= this->deadline;
            std::vector<std::pair<TaskRun, std::string>> over;
            for (const auto& [run, task] : this->tasks) {
                if (hasLapsed)
                    over.emplace_back(run, "lapsed");
                else if (task.stopsAt != 0 && this->clock() >= task.stopsAt)
                    over.emplace_back(run, "stopped");
                else if (task.work > 0 && task.doneBefore + this->clock() - task.worksFrom >= task.work)
                    over.emplace_back(run, "done");
                else if (task.failsAfter > 0 && this->clock() >= task.worksFrom + task.failsAfter)
                    over.emplace_back(run, "failed");
            }
            for (const auto& [run, how] : over)
                this->finish(run, how);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

std::string Runner::savedOf(const Task& task) const
{
    const std::int64_t done = task.doneBefore + std::max<std::int64_t>(this->clock() - task.worksFrom, 0);
    const std::int64_t saved = task.stopsAt != 0 ? done : done / this->options.checkpointMilliseconds * this->options.checkpointMilliseconds;
    if (saved == 0)
        return task.checkpoint;
    std::string digits = std::to_string(saved);
    return std::string(16 - digits.size(), '0') + digits;
}

void Runner::finish(const TaskRun& run, const std::string& how)
{
    const Task task = this->tasks.at(run);
    const std::string saved = how == "done" ? "" : this->savedOf(task);
    this->tasks.erase(run);
    this->closed[run.first] = std::max(this->closed[run.first], run.second);
    this->ends.push_back({ ++this->lastEnd, run.first, run.second, how, saved, task.record });
    this->record.end(task.record, how);
    this->ended.notify_all();
}

Response Runner::answer(int status, Json body) const
{
    body["clock-ms"] = this->clock();
    body["born"] = this->bornUnix;
    return { status, body.dump() };
}

Response Runner::handle(const Request& request)
{
    const Json body = Json::parse(request.body, nullptr, false);
    std::unique_lock lock(this->mutex);
    if (!this->isAlive || !body.is_object())
        return { this->isAlive ? 400 : 0, "{}" };
    const auto expected = request.headers.find("x-dragonflytray-expected-instance");
    if (expected != request.headers.end() && expected->second != this->options.id)
        return { 421, "{}" };
    if (request.path == "/dragonflytray/run-start" && this->nextStartHeldFor > 0) {
        this->lateOrders.push_back({ request.path, body, steadyMilliseconds() + this->nextStartHeldFor.exchange(0), true });
        this->hasHeldStart = true;
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        return {};
    }
    const bool isOrder = request.path == "/dragonflytray/run-start" || request.path == "/dragonflytray/run-stop";
    if (isOrder && this->isLate && std::uniform_real_distribution<>(0, 1)(this->random) < this->options.lateShare) {
        this->lateOrders.push_back({ request.path, body, steadyMilliseconds() + std::uniform_int_distribution<std::int64_t>(2000, 12000)(this->random), false });
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        return {};
    }
    if (request.path == "/dragonflytray/hold") {
        const std::int64_t fence = body.value("fencing-token", std::int64_t { 0 });
        if (fence < this->token)
            return this->answer(409, { { "reason", "fence" } });
        this->token = fence;
        return this->hold(body, lock);
    }
    return this->perform(request.path, body);
}

// perform() carries out a call that is answered at once.
Response Runner::perform(const std::string& path, const Json& body)
{
    const std::int64_t fence = body.value("fencing-token", std::int64_t { 0 });
    if (fence < this->token)
        return this->answer(409, { { "reason", "fence" } });
    this->token = fence;
    if (path == "/dragonflytray/run-start")
        return this->startRun(body);
    if (path == "/dragonflytray/run-stop")
        return this->stopRun(body);
    return path == "/dragonflytray/pace" ? this->answer(200, Json::object()) : Response { 404, "{}" };
}

// extend() takes the deadline of a call for all that runs here. It returns false if the deadline has passed.
bool Runner::extend(const Json& body)
{
    const std::int64_t wanted = body.value("deadline-ms", std::int64_t { 0 });
    if (wanted < this->clock())
        return false;
    this->deadline = std::max(this->deadline, std::min(wanted, this->clock() + this->options.maxHoldMilliseconds));
    return true;
}

Response Runner::startRun(const Json& body)
{
    const std::string name = body.value("task", "");
    const TaskRun run { name, body.value("run", std::uint64_t { 0 }) };
    if (this->tasks.contains(run))
        return this->answer(200, Json::object());
    if (!this->extend(body))
        return this->answer(409, { { "reason", "late" } });
    const auto last = this->closed.find(name);
    const bool isLower = std::any_of(this->tasks.begin(), this->tasks.end(), [&](const auto& entry) { return entry.first.first == name && entry.first.second > run.second; });
    if (isLower || (last != this->closed.end() && run.second <= last->second))
        return this->answer(409, { { "reason", "old" } });
    const std::string spec = body.value("spec", "");
    Task task { .record = 0, .checkpoint = body.value("checkpoint", "") };
    task.doneBefore = std::strtoll(task.checkpoint.c_str(), nullptr, 10);
    task.worksFrom = this->clock() + (task.checkpoint.empty() ? 0 : this->options.restoreMilliseconds);
    task.work = numberOf(spec, "work");
    task.failsAfter = numberOf(spec, "fail");
    task.millicores = numberOf(spec, "cpu");
    task.megabytes = numberOf(spec, "mem");
    std::int64_t millicores = task.millicores;
    std::int64_t megabytes = task.megabytes;
    for (const auto& [other, running] : this->tasks) {
        millicores += running.millicores;
        megabytes += running.megabytes;
    }
    if (millicores > this->options.millicores || megabytes > this->options.megabytes)
        return this->answer(409, { { "reason", "room" } });
    task.record = this->record.begin({ .task = name, .number = run.second, .runner = this->options.id, .life = this->life, .token = this->token });
    this->tasks.emplace(run, std::move(task));
    return this->answer(200, Json::object());
}

Response Runner::stopRun(const Json& body)
{
    const std::string name = body.value("task", "");
    const std::uint64_t number = body.value("run", std::uint64_t { 0 });
    if (const auto found = this->tasks.find({ name, number }); found != this->tasks.end())
        found->second.stopsAt = found->second.stopsAt == 0 ? this->clock() + this->options.stopMilliseconds : found->second.stopsAt;
    else
        this->closed[name] = std::max(this->closed[name], number);
    return this->answer(200, Json::object());
}

Response Runner::hold(const Json& body, std::unique_lock<std::mutex>& lock)
{
    this->extend(body);
    this->hasAnswered = true;
    const std::uint64_t cursor = body.value("ack-cursor", std::uint64_t { 0 });
    std::erase_if(this->ends, [&](const End& end) {
        if (end.number <= cursor)
            this->record.takeNote(end.record);
        return end.number <= cursor;
    });
    const std::int64_t wait = std::min(body.value("wait-ms", std::int64_t { 0 }), maxWait);
    const std::uint64_t seen = this->lastEnd;
    if (wait > 0 && this->ends.empty())
        this->ended.wait_for(lock, std::chrono::milliseconds(wait), [&] { return this->lastEnd > seen || !this->isAlive; });
    if (!this->isAlive)
        return {};
    Json running = Json::array();
    for (const auto& [run, task] : this->tasks)
        running.push_back(Json::array({ run.first, run.second, this->savedOf(task), this->clock() >= task.worksFrom ? 100 : 0, task.millicores }));
    Json finished = Json::array();
    for (const End& end : this->ends) {
        if (finished.size() < endsOfReport)
            finished.push_back(Json::array({ end.number, end.task, end.run, end.how, end.saved }));
    }
    return this->answer(200, { { "running", running }, { "finished", finished } });
}

} // namespace review
