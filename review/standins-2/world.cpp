#include "world.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace lab {

namespace {

    const auto programStart = std::chrono::steady_clock::now();

    constexpr const char* base64Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::string toBase64(const std::string& bytes)
    {
        std::string text;
        for (std::size_t position = 0; position < bytes.size(); position += 3) {
            std::uint32_t group = 0;
            for (std::size_t offset = 0; offset < 3; ++offset)
                group = group << 8U | (position + offset < bytes.size() ? static_cast<unsigned char>(bytes[position + offset]) : 0U);
            for (int letter = 3; letter >= 0; --letter)
                text += base64Letters[group >> (6U * static_cast<unsigned>(letter)) & 63U];
        }
        const std::size_t padding = (3 - bytes.size() % 3) % 3;
        text.replace(text.size() - padding, padding, std::string(padding, '='));
        return text;
    }

    std::string fromBase64(const std::string& text)
    {
        std::string bytes;
        std::uint32_t group = 0;
        unsigned bits = 0;
        for (const char letter : text) {
            const char* found = letter == '=' ? nullptr : std::strchr(base64Letters, letter);
            if (!found)
                break;
            group = group << 6U | static_cast<std::uint32_t>(found - base64Letters);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                bytes += static_cast<char>(group >> bits & 255U);
            }
        }
        return bytes;
    }

    std::string percentDecode(const std::string& text)
    {
        std::string result;
        for (std::size_t position = 0; position < text.size(); ++position) {
            if (text[position] == '%' && position + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(position + 1, 2), nullptr, 16));
                position += 2;
            } else {
                result += text[position];
            }
        }
        return result;
    }

    std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        std::istringstream fields(target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1));
        for (std::string field; std::getline(fields, field, '&');) {
            const std::size_t equals = field.find('=');
            query[field.substr(0, equals)] = percentDecode(field.substr(equals + 1));
        }
        return query;
    }

    std::string stepOf(const std::string& task) { return task.substr(0, task.rfind('.')); }

    constexpr std::size_t maxRowBytes = 65536;
    constexpr std::size_t maxCallBytes = 1 << 20;
    constexpr std::size_t maxEntries = 100;
    constexpr std::size_t maxRows = 500;
    constexpr int transactionMs = 5;

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - programStart).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string& file)
    : stream(file, std::ios::trunc)
{
}

void Record::line(const std::string& text)
{
    const std::lock_guard lock(mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(nowMs()) / 1000);
    stream << time << text << std::endl;
}

Store::Store(Record& record)
    : record(record)
{
    server = std::make_unique<Server>(0, [this](const Request& request) { return serve(request); });
}

void Store::setDown(bool isDown)
{
    down = isDown;
    record.line(isDown ? "store: does not answer from now on" : "store: answers again");
}

void Store::loseLate(const std::string& key, std::int64_t delayMs)
{
    const std::lock_guard lock(mutex);
    lateKey = key;
    lateDelayMs = delayMs;
}

void Store::waitWhileSilent()
{
    // A connection on which a response is lost delivers nothing further.
    while (server && !server->isStopped())
        sleepMs(50);
}

std::optional<Response> Store::serve(const Request& request)
{
    if (down) {
        waitWhileSilent();
        return std::nullopt;
    }
    if (request.method == "POST" && request.target.starts_with("/dragonflytray/rows-tx")) {
        sleepMs(transactionMs);
        const Json body = Json::parse(request.body, nullptr, false);
        if (body.is_discarded())
            return Response { 400, "{}" };
        std::string key;
        std::int64_t delay = 0;
        {
            const std::lock_guard lock(mutex);
            key = lateKey;
            delay = lateDelayMs;
        }
        const Json& puts = body.value("puts", Json::array());
        const bool isLate = !key.empty() && std::any_of(puts.begin(), puts.end(), [&](const Json& put) { return put.value("key", "") == key; });
        if (isLate) {
            record.line("store: the transaction that writes the row " + key + " gets no answer and is carried out in " + std::to_string(delay) + " ms");
            std::thread([this, body, delay, key] {
                sleepMs(delay);
                const Response response = transact(body);
                lateAt = nowMs();
                record.line("store: the late transaction of the row " + key + " is carried out with status " + std::to_string(response.status));
            }).detach();
            waitWhileSilent();
            return std::nullopt;
        }
        return request.body.size() > 2 * maxCallBytes ? Response { 400, "{}" } : transact(body);
    }
    sleepMs(2);
    if (request.target.starts_with("/dragonflytray/rows-get"))
        return rows(queryOf(request.target));
    if (request.target.starts_with("/dragonflytray/rows-feed"))
        return feed(queryOf(request.target));
    return Response { 404, "{}" };
}

Json Store::rowJson(const std::string& table, const Place& place)
{
    Json json { { "table", table }, { "part", place.first }, { "key", place.second } };
    const auto found = tables[table].find(place);
    if (found != tables[table].end()) {
        json["value"] = found->second.value;
        json["row-version"] = found->second.version;
    }
    return json;
}

void Store::change(const std::string& table, const Place& place, const std::optional<std::string>& value)
{
    if (value)
        tables[table][place] = { *value, version };
    else
        tables[table].erase(place);
    changes.push_back({ version, table, place.first, place.second });
}

Response Store::transact(const Json& body)
{
    std::vector<std::string> written;
    Json answer;
    {
        const std::lock_guard lock(mutex);
        const Json empty = Json::array();
        const Json& conditions = body.contains("expected-revision") ? body["expected-revision"] : empty;
        const Json& puts = body.contains("puts") ? body["puts"] : empty;
        const Json& removals = body.contains("remove") ? body["remove"] : empty;
        std::size_t bytes = 0;
        for (const Json& put : puts) {
            const std::size_t size = fromBase64(put.value("value", "")).size();
            bytes += size;
            largest = std::max(largest.load(), size);
            if (size > maxRowBytes) {
                ++tooLarge;
                return { 400, R"({"reason":"row-too-large"})" };
            }
        }
        if (conditions.size() + puts.size() + removals.size() > maxEntries || bytes > maxCallBytes) {
            ++tooLarge;
            return { 400, R"({"reason":"call-too-large"})" };
        }
        const auto placeOf = [](const Json& row) { return Place { row.value("part", ""), row.value("key", "") }; };
        Json current = Json::array();
        bool isConflict = false;
        for (const Json& condition : conditions) {
            const std::string table = condition.value("table", "");
            const auto found = tables[table].find(placeOf(condition));
            const std::uint64_t held = found == tables[table].end() ? 0 : found->second.version;
            isConflict = isConflict || held != condition.value("row-version", std::uint64_t { 0 });
            if (held != 0)
                current.push_back(rowJson(table, placeOf(condition)));
        }
        if (isConflict)
            return { 412, Json { { "rows", current }, { "row-version", version }, { "now-ms", nowMs() } }.dump() };
        ++version;
        for (const Json& put : puts) {
            change(put.value("table", ""), placeOf(put), put.value("value", ""));
            written.push_back(put.value("key", ""));
        }
        for (const Json& removal : removals)
            change(removal.value("table", ""), placeOf(removal), std::nullopt);
        answer = Json { { "row-version", version }, { "now-ms", nowMs() } };
    }
    changed.notify_all();
    for (const std::string& key : written) {
        if (onRow)
            onRow(key);
    }
    return { 200, answer.dump() };
}

Response Store::rows(const std::map<std::string, std::string>& query)
{
    const auto field = [&](const char* name) { const auto found = query.find(name); return found == query.end() ? std::string() : found->second; };
    const std::string table = field("table");
    const std::string part = field("part");
    const std::string from = field("start-key");
    const std::string to = field("to");
    const std::size_t limit = std::min<std::size_t>(field("limit").empty() ? maxRows : std::stoul(field("limit")), maxRows);
    const std::lock_guard lock(mutex);
    Json list = Json::array();
    bool hasMore = false;
    for (auto row = tables[table].lower_bound({ part, from }); row != tables[table].end() && row->first.first == part; ++row) {
        if (!to.empty() && row->first.second >= to)
            break;
        hasMore = list.size() >= limit;
        if (hasMore)
            break;
        list.push_back(rowJson(table, row->first));
    }
    return { 200, Json { { "rows", list }, { "has-more", hasMore }, { "row-version", version }, { "now-ms", nowMs() } }.dump() };
}

Response Store::feed(const std::map<std::string, std::string>& query)
{
    const std::string table = query.at("table");
    const std::uint64_t after = std::stoull(query.at("after"));
    const std::int64_t until = nowMs() + std::stoll(query.contains("wait-ms") ? query.at("wait-ms") : "0");
    std::unique_lock lock(mutex);
    for (;;) {
        Json list = Json::array();
        std::map<Place, std::uint64_t> last;
        for (auto entry = changes.rbegin(); entry != changes.rend() && entry->version > after; ++entry) {
            if (entry->table == table)
                last.try_emplace({ entry->part, entry->key }, entry->version);
        }
        std::vector<std::pair<std::uint64_t, Place>> ordered;
        for (const auto& [place, changedAt] : last)
            ordered.emplace_back(changedAt, place);
        std::sort(ordered.begin(), ordered.end());
        for (const auto& [changedAt, place] : ordered) {
            Json row = rowJson(table, place);
            if (!row.contains("value")) {
                row["deleted"] = true;
                row["row-version"] = changedAt;
            }
            list.push_back(std::move(row));
        }
        if (!list.empty() || nowMs() >= until || down)
            return { 200, Json { { "rows", list }, { "row-version", version }, { "now-ms", nowMs() } }.dump() };
        changed.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(until - nowMs(), 50)));
    }
}

void Store::put(const std::string& table, const std::string& key, const Json& value)
{
    if (down && table == "servers")
        return; // a runner can't reach it either
    {
        const std::lock_guard lock(mutex);
        ++version;
        change(table, { "", key }, toBase64(value.dump()));
    }
    changed.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    {
        const std::lock_guard lock(mutex);
        if (!tables[table].contains({ "", key }))
            return;
        ++version;
        change(table, { "", key }, std::nullopt);
    }
    changed.notify_all();
}

std::string Store::rowOf(const std::string& key)
{
    const std::lock_guard lock(mutex);
    for (const auto& [place, row] : tables["jobs"]) {
        if (place.second == key)
            return fromBase64(row.value);
    }
    return "";
}

void Jobs::add(const std::string& id, std::vector<TaskNeed> steps)
{
    const std::lock_guard lock(mutex);
    jobs[id] = std::move(steps);
}

std::optional<TaskNeed> Jobs::needOf(const std::string& task)
{
    const std::lock_guard lock(mutex);
    std::istringstream parts(task);
    std::string id;
    std::string occurrence;
    std::string step;
    std::getline(parts, id, '.');
    std::getline(parts, occurrence, '.');
    std::getline(parts, step, '.');
    const auto found = jobs.find(id);
    const std::size_t number = step.empty() ? 0 : std::stoul(step);
    return found == jobs.end() || number >= found->second.size() ? std::nullopt : std::optional(found->second[number]);
}

void Gangs::join(const std::string& step, std::uint64_t run, const std::string& task)
{
    const std::lock_guard lock(mutex);
    gangs[{ step, run }].present.insert(task);
}

bool Gangs::isWhole(const std::string& step, std::uint64_t run, std::uint32_t count)
{
    const std::lock_guard lock(mutex);
    return gangs[{ step, run }].present.size() >= count;
}

void Gangs::end(const std::string& step, std::uint64_t run, const std::string& how)
{
    const std::lock_guard lock(mutex);
    Gang& gang = gangs[{ step, run }];
    if (gang.end.empty())
        gang.end = how;
}

std::string Gangs::endOf(const std::string& step, std::uint64_t run)
{
    const std::lock_guard lock(mutex);
    return gangs[{ step, run }].end;
}

Runner::Runner(World& world, std::string id, std::string zone, Kind kind)
    : world(world)
    , id(std::move(id))
    , zone(std::move(zone))
{
    restart(std::move(kind));
    ticker = std::thread([this] {
        while (!isOver) {
            tick();
            sleepMs(5);
        }
    });
    beater = std::thread([this] {
        for (std::int64_t next = nowMs(); !isOver; sleepMs(20)) {
            if (nowMs() < next)
                continue;
            next = nowMs() + 1500;
            beat();
        }
    });
}

Runner::~Runner()
{
    isOver = true;
    ticker.join();
    beater.join();
    crash();
}

void Runner::restart(Kind newKind)
{
    {
        const std::lock_guard lock(mutex);
        kind = std::move(newKind);
        isUp = true;
        bornAt = nowMs();
        bornUnix = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        sequence = 0;
        token = 0;
        deadline = 0;
        lastEnd = 0;
        runs.clear();
        ended.clear();
        finalRuns.clear();
    }
    server = std::make_unique<Server>(port, [this](const Request& request) { return serve(request); });
    port = server->port();
    beat();
}

void Runner::crash()
{
    {
        const std::lock_guard lock(mutex);
        isUp = false;
        const std::lock_guard history(world.history.mutex);
        for (const auto& [task, run] : runs)
            world.history.ends.push_back({ nowMs(), task, run.run, id, "crash" });
        for (const auto& [task, run] : runs) {
            if (run.need.isGang)
                world.gangs.end(stepOf(task), run.run, "lost");
        }
        runs.clear();
    }
    changed.notify_all();
    server.reset();
}

void Runner::beat()
{
    Json entry;
    {
        const std::lock_guard lock(mutex);
        if (!isUp)
            return;
        entry = { { "service", world.service }, { "address", "127.0.0.1:" + std::to_string(port) }, { "zone", zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold-remaining-ms", 0 },
            { "capacity", { { "cpu", kind.cpu }, { "mem-mb", kind.megabytes }, { "gpu", 0 } } }, { "labels", kind.labels }, { "clock-ms", clock() }, { "sequence", ++sequence }, { "born", bornUnix } };
    }
    world.store.put("servers", id, entry);
}

std::size_t Runner::running()
{
    const std::lock_guard lock(mutex);
    return runs.size();
}

Json Runner::base()
{
    return { { "clock-ms", clock() }, { "born", bornUnix } };
}

Response Runner::conflict(const char* reason)
{
    Json json = base();
    json["reason"] = reason;
    return { 409, json.dump() };
}

std::optional<Response> Runner::serve(const Request& request)
{
    if (isCut) {
        while (isCut && isUp)
            sleepMs(20);
        return std::nullopt;
    }
    if (const auto expected = request.headers.find("x-dragonflytray-expected-instance"); expected != request.headers.end() && expected->second != id)
        return Response { 421, "{}" };
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded())
        return Response { 400, "{}" };
    std::optional<Response> response;
    if (request.target == "/dragonflytray/hold")
        response = hold(body);
    else if (request.target == "/dragonflytray/run-start")
        response = start(body);
    else if (request.target == "/dragonflytray/run-stop")
        response = stopTask(body);
    else if (request.target == "/dragonflytray/pace")
        response = Response { 200, base().dump() };
    if (isCut) { // the answer is lost
        while (isCut && isUp)
            sleepMs(20);
        return std::nullopt;
    }
    return response;
}

Response Runner::hold(const Json& body)
{
    std::unique_lock lock(mutex);
    const std::uint64_t sent = body.value("fencing-token", std::uint64_t { 0 });
    if (sent < token)
        return conflict("fence");
    token = sent;
    const std::uint64_t cursor = body.value("ack-cursor", std::uint64_t { 0 });
    while (!ended.empty() && ended.front().number <= cursor)
        ended.pop_front();
    if (body.contains("deadline-ms"))
        deadline = std::max(deadline, std::min(body["deadline-ms"].get<std::int64_t>(), clock() + maxHoldMs));
    const std::int64_t until = nowMs() + std::min<std::int64_t>(body.value("wait-ms", 0), 2000);
    const std::int64_t life = bornAt;
    while (ended.empty() && nowMs() < until && isUp && bornAt == life)
        changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(until - nowMs(), 1)));
    Json json = base();
    json["running"] = Json::array();
    json["finished"] = Json::array();
    for (const auto& [task, run] : runs)
        json["running"].push_back({ task, run.run, run.saved, run.workingSince < 0 ? 0 : 100, run.need.cpu });
    for (const Ended& entry : ended) {
        if (json["finished"].size() == maxEnds)
            break;
        json["finished"].push_back({ entry.number, entry.run.task, entry.run.run, entry.how, entry.run.saved });
    }
    return { 200, json.dump() };
}

Response Runner::start(const Json& body)
{
    const std::lock_guard lock(mutex);
    if (!isUp) // it has crashed since the request was read
        return { 503, "{}" };
    const std::uint64_t sent = body.value("fencing-token", std::uint64_t { 0 });
    if (sent < token)
        return conflict("fence");
    token = sent;
    const std::string task = body.value("task", "");
    const std::uint64_t number = body.value("run", std::uint64_t { 0 });
    const std::int64_t until = body.value("deadline-ms", std::int64_t { 0 });
    if (const auto found = runs.find(task); found != runs.end() && found->second.run == number)
        return { 200, base().dump() };
    if (until <= clock())
        return conflict("late");
    deadline = std::max(deadline, std::min(until, clock() + maxHoldMs));
    if (const auto found = finalRuns.find(task); (found != finalRuns.end() && number <= found->second) || runs.contains(task))
        return conflict("old");
    const auto need = world.jobs.needOf(task);
    if (!need) {
        world.record.line(id + ": told to start " + task + ", which no client sent");
        return { 400, "{}" };
    }
    std::int64_t cpu = need->cpu;
    std::int64_t megabytes = need->megabytes;
    for (const auto& [name, run] : runs) {
        cpu += run.need.cpu;
        megabytes += run.need.megabytes;
    }
    if (kind.guards && (cpu > kind.cpu || megabytes > kind.megabytes))
        return conflict("room");
    Run run { .task = task, .run = number, .need = *need, .startedAt = nowMs(), .saved = body.value("checkpoint", "") };
    if (run.saved.size() == 16) // the second half is the time of work that it stands for
        run.resumedMs = 1000 * std::stoll(run.saved.substr(8), nullptr, 16);
    if (need->isGang)
        world.gangs.join(stepOf(task), number, task);
    else
        run.workingSince = nowMs();
    runs[task] = run;
    const std::lock_guard history(world.history.mutex);
    world.history.starts.push_back({ nowMs(), task, number, id, kind, cpu });
    return { 200, base().dump() };
}

Response Runner::stopTask(const Json& body)
{
    const std::lock_guard lock(mutex);
    const std::uint64_t sent = body.value("fencing-token", std::uint64_t { 0 });
    if (sent < token)
        return conflict("fence");
    token = sent;
    const std::string task = body.value("task", "");
    const std::uint64_t number = body.value("run", std::uint64_t { 0 });
    finalRuns[task] = std::max(finalRuns[task], number);
    if (const auto found = runs.find(task); found != runs.end() && found->second.run == number && found->second.stopAt < 0)
        found->second.stopAt = nowMs() + stopMs;
    return { 200, base().dump() };
}

void Runner::end(const Run& run, const std::string& how)
{
    // Called with the mutex held, after the run was removed.
    finalRuns[run.task] = std::max(finalRuns[run.task], run.run);
    ended.push_back({ ++lastEnd, run, how });
    const std::lock_guard history(world.history.mutex);
    world.history.ends.push_back({ nowMs(), run.task, run.run, id, how });
}

void Runner::tick()
{
    const std::lock_guard lock(mutex);
    const std::int64_t now = nowMs();
    const bool hasLapsed = clock() >= deadline;
    std::vector<std::pair<Run, std::string>> over;
    for (auto& [task, run] : runs) {
        const std::string step = stepOf(task);
        if (run.need.saves && run.workingSince >= 0) {
            const std::int64_t seconds = (now - run.workingSince + run.resumedMs) / 1000;
            char text[17];
            std::snprintf(text, sizeof text, "%08llx%08llx", static_cast<unsigned long long>(run.run & 0xffffffffU), static_cast<unsigned long long>(seconds));
            if (seconds > 0 || run.stopAt >= 0)
                run.saved = text;
        }
        if (run.workingSince < 0 && world.gangs.isWhole(step, run.run, run.need.count))
            run.workingSince = now;
        const std::string gangEnd = run.need.isGang ? world.gangs.endOf(step, run.run) : "";
        const bool isWorkOver = run.workingSince >= 0 && run.need.workMs > 0 && now >= run.workingSince + run.need.workMs - run.resumedMs;
        const bool isFailing = run.workingSince >= 0 && world.jobs.fails && now >= run.workingSince + run.need.workMs / 2 && world.jobs.fails(task, run.run);
        std::string how;
        if (hasLapsed)
            how = "lapsed";
        else if (run.stopAt >= 0 && now >= run.stopAt)
            how = "stopped";
        else if (!gangEnd.empty())
            how = gangEnd == "done" ? "done" : "broken";
        else if (isFailing)
            how = "failed";
        else if (isWorkOver)
            how = "done";
        else if (run.workingSince < 0 && now >= run.startedAt + gangTimeoutMs)
            how = "alone";
        if (how.empty())
            continue;
        if (run.need.isGang && run.workingSince >= 0)
            world.gangs.end(step, run.run, how);
        over.emplace_back(run, how);
    }
    for (const auto& [run, how] : over) {
        runs.erase(run.task);
        end(run, how);
    }
    if (!over.empty())
        changed.notify_all();
}

Host::Host(World& world, std::string folder, std::string name, std::string zone)
    : world(world)
    , folder(std::move(folder))
    , name(std::move(name))
    , zone(std::move(zone))
    , callersPort(freePort())
    , readinessPort(freePort())
    , agentPort(freePort())
{
}

Host::~Host()
{
    kill();
}

void Host::start()
{
    // The settings follow deploy/settings.yaml with the values of a small deployment.
    const std::string file = folder + "/" + name + ".yaml";
    std::ofstream settings(file);
    settings << "host: \"" << name << "\"\ndataCentre: \"" << zone << "\"\nentry:\n"
             << "  callers: \"127.0.0.1:" << callersPort << "\"\n  readiness: \"127.0.0.1:" << readinessPort << "\"\n"
             << "  store: \"127.0.0.1:" << world.store.port() << "\"\n  agent: \"127.0.0.1:" << agentPort << "\"\n"
             << "  linkMegabits: 1000.0\n  processorShare: 0.1\n  connections: 4100\n  leaseLimitMilliseconds: 6000\n"
             << "  stopTimeoutMilliseconds: 200\n  cancellationLimitMilliseconds: 3000\n  drainingLimitMilliseconds: 3000\n"
             << "  dataCentres:\n    - { name: \"rs-poa\", region: \"sul-rs\" }\n    - { name: \"sc-fln\", region: \"sul-sc\" }\n    - { name: \"rs-cxs\", region: \"sul-rs\" }\n"
             << "log:\n  level: info\n  format: json\n";
    settings.close();
    const std::string program = "target/bin/dragonflytrayd";
    const std::string log = folder + "/" + name + ".log";
    std::vector<std::string> variables { "DRAGONFLYTRAY_CONFIG=" + file };
    for (const char* variable : { "PATH", "HOME", "LANG" }) {
        if (const char* value = std::getenv(variable))
            variables.push_back(std::string(variable) + "=" + value);
    }
    std::vector<char*> environment;
    for (std::string& variable : variables)
        environment.push_back(variable.data());
    environment.push_back(nullptr);
    std::string path = program;
    char* arguments[] { path.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t started = 0;
    const int error = posix_spawn(&started, program.c_str(), &actions, nullptr, arguments, environment.data());
    posix_spawn_file_actions_destroy(&actions);
    process = error == 0 ? started : 0;
    world.record.line(name + (error == 0 ? ": started" : ": could not be started"));
}

void Host::kill()
{
    if (process <= 0)
        return;
    ::kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    process = 0;
    world.record.line(name + ": SIGKILL");
}

void Host::signal(int number)
{
    if (process > 0)
        ::kill(process, number);
    world.record.line(name + ": signal " + std::to_string(number));
}

bool Host::hasEnded()
{
    if (process <= 0)
        return false;
    int status = 0;
    if (waitpid(process, &status, WNOHANG) != process)
        return false;
    process = 0;
    const bool isSignalled = WIFSIGNALED(status);
    world.record.line(name + ": ended by itself, " + (isSignalled ? "signal " + std::to_string(WTERMSIG(status)) : "status " + std::to_string(WEXITSTATUS(status))));
    return true;
}

bool Host::isReady()
{
    return process > 0 && call(readinessPort, "GET", "/dragonflytray/readiness", "localhost", "", 500).status == 200;
}

Json configuration(const World& world, std::uint64_t version, bool guards, int maxAttempts)
{
    Json routes = Json::array();
    routes.push_back({ { "name", "r-3hwrr6x" }, { "host", "nony24.example" }, { "path-prefix", "/lohu930/" }, { "kind", "non_idempotent" }, { "timeout-ms", 3000 }, { "target-latency-ms", 600 }, { "priority", 0 }, { "service", world.service }, { "max-attempts", maxAttempts }, { "slack-factor", 1.5 } });
    routes.push_back({ { "name", "r-73d3zji" }, { "host", "ficu95.example" }, { "path-prefix", "/pufi791/" }, { "kind", "non_idempotent" }, { "timeout-ms", 3000 }, { "target-latency-ms", 1000 }, { "priority", 2 }, { "service", world.service }, { "max-attempts", maxAttempts }, { "slack-factor", 2 } });
    Json services = Json::array();
    services.push_back({ { "name", world.service }, { "health-path", "/health" }, { "max-connections", 64 }, { "protocol", "h1" }, { "tls", false }, { "enforce-limits", guards }, { "standby", false } });
    return { { "version", version }, { "routes", routes }, { "services", services }, { "limits", { { "max-header-bytes", 16384 }, { "max-body-bytes", 262144 }, { "header-timeout-ms", 3000 }, { "idle-timeout-ms", 15000 } } } };
}

Response Client::send(const Host& host, const std::string& method, const std::string& id, const std::string& body, int timeoutMs)
{
    const Response response = call(host.callers(), method, (route == 0 ? "/lohu930/" : "/pufi791/") + id, route == 0 ? "nony24.example" : "ficu95.example", body, timeoutMs);
    const std::string shown = method == "POST" ? " (" + std::to_string(body.size()) + " bytes)" : "";
    world.record.line("client: " + method + " " + id + shown + " at " + host.hostName() + " -> " + (response.status == 0 ? "no answer" : std::to_string(response.status) + " " + response.body));
    return response;
}

bool Client::submit(std::vector<Host*> hosts, const std::string& id, const Json& body, int timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    for (std::size_t attempt = 0; nowMs() < until; ++attempt) {
        if (send(*hosts[attempt % hosts.size()], "POST", id, body.dump()).status == 200)
            return true;
        sleepMs(300);
    }
    return false;
}

std::string Client::stateOf(const std::vector<Host*>& hosts, const std::string& id)
{
    for (Host* host : hosts) {
        const Response response = host->isUp() ? send(*host, "GET", id) : Response {};
        if (response.status == 200)
            return Json::parse(response.body, nullptr, false).value("state", "");
        if (response.status == 410)
            return "410";
    }
    return "";
}

} // namespace lab
