#include "stage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

namespace {

    const auto programStart = std::chrono::steady_clock::now();

    constexpr std::size_t maxRowBytes = 65536;
    constexpr std::size_t maxEntries = 100;
    constexpr std::size_t maxCallBytes = 1'000'000;
    constexpr std::size_t maxRows = 500;
    constexpr Milliseconds transactionTime = 5;
    constexpr Milliseconds writeTimeout = 10'000;

    bool readMore(int socket, std::string& buffer)
    {
        char bytes[65536];
        const ssize_t count = ::recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool writeAll(int socket, const std::string& text)
    {
        for (std::size_t sent = 0; sent < text.size();) {
            const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    std::string decoded(const std::string& text)
    {
        std::string result;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                result += text[at];
            }
        }
        return result;
    }

    // readHead() reads the first line and the headers, and returns the length of the body; nothing at the end of the connection.
    std::optional<std::size_t> readHead(int socket, std::string& buffer, std::string& firstLine, std::map<std::string, std::string>& headers)
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(socket, buffer))
                return std::nullopt;
        }
        std::istringstream lines(buffer.substr(0, end));
        buffer.erase(0, end + 4);
        std::getline(lines, firstLine);
        if (!firstLine.empty() && firstLine.back() == '\r')
            firstLine.pop_back();
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        const auto length = headers.find("content-length");
        return length == headers.end() ? 0 : static_cast<std::size_t>(std::stoul(length->second));
    }

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        return address;
    }

    // encodeBase64() and decodedSize() are for values of rows.
    std::string encodeBase64(const std::string& bytes)
    {
        constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t byte = 0; byte < 3; ++byte)
                group = group << 8U | (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
            for (std::size_t digit = 0; digit < 4; ++digit)
                text += at + digit > bytes.size() ? '=' : digits[group >> (18 - 6 * digit) & 63U];
        }
        return text;
    }

    std::size_t decodedSize(const std::string& text)
    {
        const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1
                                                                                   : 0;
        return text.size() / 4 * 3 - padding;
    }

} // namespace

Milliseconds now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - programStart).count();
}

Milliseconds unixTime()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void pause(Milliseconds time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

void Record::line(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    char time[32];
    const Milliseconds at = now();
    std::snprintf(time, sizeof time, "%3ld.%03ld ", static_cast<long>(at / 1000), static_cast<long>(at % 1000));
    this->out << time << text << '\n'
              << std::flush;
}

std::string Request::query(const std::string& name) const
{
    const std::size_t mark = this->target.find('?');
    if (mark == std::string::npos)
        return "";
    std::istringstream pairs(this->target.substr(mark + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
        if (pair.starts_with(name + "="))
            return decoded(pair.substr(name.size() + 1));
    }
    return "";
}

struct Server::State {
    Handler handler;
    std::mutex mutex;
    std::set<int> sockets;
    int listener { -1 };
    bool isStopped { false };

    void serve(int socket)
    {
        std::string buffer;
        for (;;) {
            Request request;
            std::string line;
            const auto length = readHead(socket, buffer, line, request.headers);
            if (!length)
                break;
            std::istringstream words(line);
            words >> request.method >> request.target;
            bool isWhole = true;
            while (isWhole && buffer.size() < *length)
                isWhole = readMore(socket, buffer);
            if (!isWhole)
                break;
            request.body = buffer.substr(0, *length);
            buffer.erase(0, *length);
            const Response response = this->handler(request);
            if (response.isLost)
                break;
            const std::string head = "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
            if (!writeAll(socket, head + response.body))
                break;
        }
        const std::lock_guard lock(this->mutex);
        if (this->sockets.erase(socket) > 0)
            ::close(socket);
    }
};

void Server::start(int port)
{
    this->state = std::make_shared<State>();
    this->state->handler = this->handler;
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = loopback(port);
    for (int attempt = 0; ::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0; ++attempt) {
        if (attempt > 100)
            std::exit(2);
        pause(20);
    }
    ::listen(listener, 512);
    socklen_t size = sizeof address;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->boundPort = ntohs(address.sin_port);
    this->state->listener = listener;
    std::thread([state = this->state, listener] {
        for (;;) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            const std::lock_guard lock(state->mutex);
            if (state->isStopped) {
                if (socket >= 0)
                    ::close(socket);
                ::close(listener);
                return;
            }
            if (socket < 0)
                continue;
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            state->sockets.insert(socket);
            std::thread([state, socket] { state->serve(socket); }).detach();
        }
    }).detach();
}

void Server::stop()
{
    if (!this->state)
        return;
    const std::lock_guard lock(this->state->mutex);
    if (this->state->isStopped)
        return;
    this->state->isStopped = true;
    ::shutdown(this->state->listener, SHUT_RDWR);
    for (const int socket : this->state->sockets)
        ::shutdown(socket, SHUT_RDWR);
}

Response call(int port, const std::string& method, const std::string& target, const std::string& host, const std::string& body, Milliseconds timeout)
{
    Response none { .status = 0, .body = {} };
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return none;
    timeval limit { .tv_sec = timeout / 1000, .tv_usec = timeout % 1000 * 1000 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in address = loopback(port);
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Dragonflytray-Deadline-Ms: " + std::to_string(timeout) + "\r\nConnection: close\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    Response response = none;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && writeAll(socket, text)) {
        std::string buffer;
        std::string line;
        std::map<std::string, std::string> headers;
        if (const auto length = readHead(socket, buffer, line, headers)) {
            bool isWhole = true;
            while (isWhole && buffer.size() < *length)
                isWhole = readMore(socket, buffer);
            if (isWhole && line.size() > 12)
                response = { .status = std::stoi(line.substr(9, 3)), .body = buffer.substr(0, *length) };
        }
    }
    ::close(socket);
    return response;
}

// freePort() is a port below the range from which the system takes the ports of outgoing connections, so that nobody takes it while
// the process that listens there is down.
int freePort()
{
    static std::mutex mutex;
    static std::mt19937 random(std::random_device {}());
    static std::set<int> given;
    const std::lock_guard lock(mutex);
    std::uniform_int_distribution<int> ports(12'000, 31'999);
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const int port = ports(random);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(port);
        const bool isFree = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
        if (isFree && given.insert(port).second)
            return port;
    }
    throw std::runtime_error("no port is free");
}

// --- Store

Store::Store(Record& record)
    : record(record)
    , server([this](const Request& request) { return this->serve(request); })
{
}

void Store::setSilent(bool isSilent)
{
    this->silent = isSilent;
    this->record.line(isSilent ? "store: gives no answers" : "store: answers again");
    this->changed.notify_all();
}

Json Store::encode(const Row& row)
{
    Json json { { "table", row.table }, { "part", row.part }, { "key", row.key }, { "row-version", row.version } };
    if (row.isDeleted)
        json["deleted"] = true;
    else
        json["value"] = row.value;
    return json;
}

void Store::apply(const std::string& table, const std::string& part, const std::string& key, const std::optional<std::string>& value, std::uint64_t atVersion)
{
    Row row { table, part, key, value.value_or(""), atVersion, !value };
    if (value)
        this->tables[table][part][key] = row;
    else if (this->tables[table][part].erase(key) == 0)
        return;
    this->history.push_back(std::move(row));
}

void Store::put(const std::string& table, const std::string& key, const Json& value)
{
    const std::lock_guard lock(this->mutex);
    this->apply(table, "", key, encodeBase64(value.dump()), ++this->version);
    this->changed.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    this->apply(table, "", key, std::nullopt, ++this->version);
    this->changed.notify_all();
}

bool Store::mayCall(double& budget, Milliseconds& since, double rate)
{
    const std::lock_guard lock(this->mutex);
    budget = std::min(rate, budget + rate * static_cast<double>(now() - since) / 1000.0);
    since = now();
    if (budget < 1)
        return false;
    budget -= 1;
    return true;
}

Response Store::serve(const Request& request)
{
    if (this->silent) { // nothing is done, and the connection delivers nothing
        for (Milliseconds waited = 0; waited < writeTimeout && this->silent; waited += 20)
            pause(20);
        return { .status = 0, .body = {}, .isLost = true };
    }
    const std::string path = request.path();
    if (path == "/dragonflytray/rows-tx")
        return this->mayCall(this->writeBudget, this->writeSince, 800) ? this->transact(request) : Response { 429, "{}" };
    if (!this->mayCall(this->readBudget, this->readSince, 2000))
        return { 429, "{}" };
    if (path == "/dragonflytray/rows-get")
        return this->get(request);
    if (path == "/dragonflytray/rows-parts")
        return this->parts(request);
    if (path == "/dragonflytray/rows-feed")
        return this->feed(request);
    return { 404, "{}" };
}

Response Store::transact(const Request& request)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded())
        return { 400, "{}" };
    const Json none = Json::array();
    const Json& conditions = body.contains("expected-revision") ? body["expected-revision"] : none;
    const Json& puts = body.contains("puts") ? body["puts"] : none;
    const Json& removals = body.contains("remove") ? body["remove"] : none;
    if (conditions.size() + puts.size() + removals.size() > maxEntries || request.body.size() > maxCallBytes) {
        ++this->tooLarge;
        this->record.line("store: 400, a transaction of " + std::to_string(conditions.size() + puts.size() + removals.size()) + " entries and " + std::to_string(request.body.size()) + " bytes");
        return { 400, "{}" };
    }
    std::set<std::string> parts;
    for (const Json* entries : { &conditions, &puts, &removals }) {
        for (const Json& entry : *entries) {
            parts.insert(entry.value("part", ""));
            const std::string table = entry.value("table", "");
            if (table == "op" || table == "servers")
                return { 403, "{}" };
        }
    }
    if (parts.size() != 1)
        return { 400, "{}" };
    for (const Json& entry : puts) {
        if (const std::size_t bytes = decodedSize(entry.value("value", "")); bytes > maxRowBytes) {
            ++this->tooLarge;
            this->record.line("store: 400, the row " + entry.value("key", "") + " has " + std::to_string(bytes) + " bytes; " + std::to_string(puts.size()) + " rows in the transaction");
            return { 400, "{}" };
        }
    }
    std::mutex* part = nullptr;
    {
        const std::lock_guard lock(this->mutex);
        part = &this->partLocks[*parts.begin()];
    }
    const std::lock_guard turn(*part);
    pause(transactionTime);
    const std::lock_guard lock(this->mutex);
    Json conflicts = Json::array();
    bool isConflict = false;
    for (const Json& entry : conditions) {
        auto& rows = this->tables[entry.value("table", "")][entry.value("part", "")];
        const auto row = rows.find(entry.value("key", ""));
        if ((row == rows.end() ? 0 : row->second.version) == entry.value("row-version", std::uint64_t { 0 }))
            continue;
        isConflict = true;
    }
    if (isConflict) {
        for (const Json& entry : conditions) {
            auto& rows = this->tables[entry.value("table", "")][entry.value("part", "")];
            if (const auto row = rows.find(entry.value("key", "")); row != rows.end())
                conflicts.push_back(encode(row->second));
        }
        return { 412, Json { { "rows", conflicts }, { "row-version", this->version }, { "now-ms", now() } }.dump() };
    }
    ++this->version;
    for (const Json& entry : puts)
        this->apply(entry.value("table", ""), entry.value("part", ""), entry.value("key", ""), entry.value("value", ""), this->version);
    for (const Json& entry : removals)
        this->apply(entry.value("table", ""), entry.value("part", ""), entry.value("key", ""), std::nullopt, this->version);
    this->changed.notify_all();
    return { 200, Json { { "row-version", this->version }, { "now-ms", now() } }.dump() };
}

Response Store::get(const Request& request)
{
    pause(1);
    const std::lock_guard lock(this->mutex);
    const std::string limitText = request.query("limit");
    const std::size_t limit = limitText.empty() ? maxRows : std::min<std::size_t>(maxRows, std::stoul(limitText));
    const std::string from = request.query("start-key");
    const std::string to = request.query("to");
    Json rows = Json::array();
    std::size_t bytes = 0;
    bool hasMore = false;
    const auto& part = this->tables[request.query("table")][request.query("part")];
    for (auto row = part.lower_bound(from); row != part.end() && (to.empty() || row->first < to); ++row) {
        if (rows.size() >= limit || bytes > maxCallBytes - maxRowBytes * 2) {
            hasMore = true;
            break;
        }
        bytes += row->second.value.size() + 100;
        rows.push_back(encode(row->second));
    }
    return { 200, Json { { "rows", std::move(rows) }, { "has-more", hasMore }, { "row-version", this->version }, { "now-ms", now() } }.dump() };
}

Response Store::parts(const Request& request)
{
    const std::lock_guard lock(this->mutex);
    Json names = Json::array();
    for (const auto& [part, rows] : this->tables[request.query("table")]) {
        if (part > request.query("after") && !rows.empty())
            names.push_back(part);
    }
    return { 200, Json { { "parts", std::move(names) }, { "has-more", false }, { "row-version", this->version }, { "now-ms", now() } }.dump() };
}

Response Store::feed(const Request& request)
{
    const std::string table = request.query("table");
    const std::uint64_t after = std::stoull(request.query("after"));
    const std::string waitText = request.query("wait-ms");
    const Milliseconds end = now() + (waitText.empty() ? 0 : std::min<Milliseconds>(30'000, std::stoll(waitText)));
    std::unique_lock lock(this->mutex);
    for (;;) {
        Json rows = Json::array();
        std::uint64_t last = this->version;
        std::size_t bytes = 0;
        const auto first = std::upper_bound(this->history.begin(), this->history.end(), after, [](std::uint64_t value, const Row& row) { return value < row.version; });
        for (auto row = first; row != this->history.end(); ++row) {
            if (row->table != table)
                continue;
            const bool isNewTransaction = row == this->history.begin() || std::prev(row)->version != row->version;
            if (isNewTransaction && (rows.size() >= maxRows || bytes > maxCallBytes)) {
                last = row->version - 1;
                break;
            }
            bytes += row->value.size() + 100;
            rows.push_back(encode(*row));
        }
        if (!rows.empty() || now() >= end || this->silent) {
            if (this->silent)
                return { .status = 0, .body = {}, .isLost = true };
            return { 200, Json { { "rows", std::move(rows) }, { "row-version", last }, { "now-ms", now() } }.dump() };
        }
        this->changed.wait_for(lock, std::chrono::milliseconds(std::max<Milliseconds>(1, end - now())));
    }
}

// --- World

void World::expect(const std::string& job, std::vector<std::pair<int, TaskNeed>> steps)
{
    const std::lock_guard lock(this->mutex);
    this->jobs[job] = std::move(steps);
}

void World::expectSpec(const std::string& job, const std::string& spec)
{
    const std::lock_guard lock(this->mutex);
    this->specs[job] = spec;
}

std::string World::specOf(const std::string& job)
{
    const std::lock_guard lock(this->mutex);
    return this->specs[job];
}

std::optional<TaskNeed> World::needOf(const std::string& task)
{
    const std::lock_guard lock(this->mutex);
    const auto job = this->jobs.find(jobOf(task));
    if (job == this->jobs.end())
        return std::nullopt;
    std::istringstream numbers(task.substr(jobOf(task).size() + 1));
    std::string occurrence;
    std::string step;
    std::getline(numbers, occurrence, '.');
    std::getline(numbers, step, '.');
    const std::size_t number = std::stoul(step);
    return number < job->second.size() ? std::optional(job->second[number].second) : std::nullopt;
}

void World::note(RunEvent event)
{
    this->record.line("runner " + event.runner + ": " + event.task + " run " + std::to_string(event.run) + (event.what == "start" ? " starts" : " ends " + event.what + ", number " + std::to_string(event.number)));
    const std::lock_guard lock(this->mutex);
    this->history.push_back(std::move(event));
}

std::vector<RunEvent> World::events()
{
    const std::lock_guard lock(this->mutex);
    return this->history;
}

// --- Runner

Runner::Runner(Options options, World& world, Store& store)
    : options(std::move(options))
    , world(world)
    , store(store)
    , port(freePort())
{
    this->thread = std::thread([this] {
        while (!this->isOver) {
            pause(5);
            std::unique_lock lock(this->mutex);
            if (!this->up)
                continue;
            this->advance();
            if (now() >= this->nextBeat)
                this->beat();
        }
    });
}

Runner::~Runner()
{
    this->isOver = true;
    this->thread.join();
    this->crash();
}

void Runner::start()
{
    const std::lock_guard lock(this->mutex);
    if (this->up)
        return;
    this->startedAt = now();
    this->born = unixTime();
    this->deadline = 0;
    this->fence = 0;
    this->lastEnd = 0;
    this->sequence = 0;
    ++this->life;
    this->runs.clear();
    this->ended.clear();
    this->openEndList.clear();
    this->server = std::make_unique<Server>([this](const Request& request) { return this->serve(request); });
    this->server->start(this->port);
    this->up = true;
    this->nextBeat = now();
    this->world.record.line("runner " + this->options.id + ": life " + std::to_string(this->life) + " begins, kind " + this->options.kind);
}

void Runner::crash()
{
    const std::lock_guard lock(this->mutex);
    if (!this->up)
        return;
    this->up = false;
    this->server->stop();
    for (const auto& [id, run] : this->runs)
        this->world.record.line("runner " + this->options.id + ": " + run.task + " run " + std::to_string(run.run) + " is gone with it");
    this->runs.clear();
    this->world.record.line("runner " + this->options.id + ": crashes");
    this->changed.notify_all();
}

Json Runner::entry()
{
    return { { "service", this->options.service }, { "address", "127.0.0.1:" + std::to_string(this->port) }, { "zone", this->options.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold-remaining-ms", 0 }, { "capacity", { { "cpu", this->options.cpu }, { "mem-mb", this->options.memory }, { "gpu", 0 } } }, { "labels", { this->options.kind, this->options.rack } }, { "clock-ms", this->clock() }, { "born", this->born }, { "sequence", ++this->sequence } };
}

void Runner::beat()
{
    if (this->store.isSilent()) { // tried again soon
        this->nextBeat = now() + 200;
        return;
    }
    this->nextBeat = now() + this->options.heartbeat;
    this->store.put("servers", this->options.id, this->entry());
}

Runner::Use Runner::use()
{
    const std::lock_guard lock(this->mutex);
    Use sum;
    for (const auto& [id, run] : this->runs) {
        sum.cpu += run.need.cpu;
        sum.memory += run.need.memory;
    }
    return sum;
}

std::set<std::string> Runner::running()
{
    const std::lock_guard lock(this->mutex);
    std::set<std::string> tasks;
    for (const auto& [id, run] : this->runs)
        tasks.insert(run.task);
    return tasks;
}

std::size_t Runner::openEnds()
{
    const std::lock_guard lock(this->mutex);
    return this->openEndList.size();
}

std::uint64_t Runner::ends()
{
    const std::lock_guard lock(this->mutex);
    return this->lastEnd;
}

void Runner::end(const Run& run, const std::string& how)
{
    this->openEndList.push_back({ ++this->lastEnd, run.task, run.run, how });
    std::uint64_t& highest = this->ended[run.task];
    highest = std::max(highest, run.run);
    this->world.note({ .at = now(), .runner = this->options.id, .task = run.task, .run = run.run, .what = how, .number = this->lastEnd, .kind = this->options.kind });
    this->changed.notify_all();
}

void Runner::advance()
{
    const bool isLapsed = this->clock() >= this->deadline;
    for (auto entry = this->runs.begin(); entry != this->runs.end();) {
        const Run& run = entry->second;
        std::string how;
        if (run.stopsAt != 0 && now() >= run.stopsAt)
            how = "stopped";
        else if (run.endsAt != 0 && now() >= run.endsAt)
            how = run.need.end;
        else if (isLapsed)
            how = "lapsed";
        if (!how.empty())
            this->end(run, how);
        entry = how.empty() ? std::next(entry) : this->runs.erase(entry);
    }
}

Response Runner::answer(Json body) const
{
    body["clock-ms"] = this->clock();
    body["born"] = this->born;
    return { 200, body.dump() };
}

void Runner::extend(const Json& body)
{
    if (body.contains("deadline-ms"))
        this->deadline = std::max(this->deadline, std::min(body["deadline-ms"].get<Milliseconds>(), this->clock() + this->options.maxHold));
}

Response Runner::serve(const Request& request)
{
    std::unique_lock lock(this->mutex);
    const auto refuse = [&](const char* reason) {
        Response response = this->answer({ { "reason", reason } });
        response.status = 409;
        return response;
    };
    if (!this->up)
        return { .status = 0, .body = {}, .isLost = true };
    if (request.method == "GET")
        return { 200, "{}" };
    if (const auto wanted = request.headers.find("x-dragonflytray-expected-instance"); wanted != request.headers.end() && wanted->second != this->options.id)
        return { 421, this->answer(Json::object()).body };
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return { 400, "{}" };
    const auto token = body.value("fencing-token", std::uint64_t { 0 });
    if (token < this->fence)
        return refuse("fence");
    this->fence = token;
    this->advance();
    const std::string path = request.path();
    if (path == "/dragonflytray/hold")
        return this->hold(body, lock);
    if (path == "/dragonflytray/run-stop") {
        const std::pair key { body.value("task", ""), body.value("run", std::uint64_t { 0 }) };
        if (const auto run = this->runs.find(key); run != this->runs.end())
            run->second.stopsAt = run->second.stopsAt != 0 ? run->second.stopsAt : now() + this->options.stopTime;
        std::uint64_t& highest = this->ended[key.first];
        highest = std::max(highest, key.second);
        return this->answer(Json::object());
    }
    if (path == "/dragonflytray/pace") {
        const auto run = this->runs.find({ body.value("task", ""), body.value("run", std::uint64_t { 0 }) });
        if (run != this->runs.end())
            run->second.percent = body.value("percent", 100);
        return this->answer(Json::object());
    }
    if (path != "/dragonflytray/run-start")
        return { 404, "{}" };
    const Response response = this->startRun(body);
    RunEvent started { .at = now(), .runner = this->options.id, .task = body.value("task", ""), .run = body.value("run", std::uint64_t { 0 }), .what = "start", .number = 0, .kind = this->options.kind };
    lock.unlock();
    if (response.status == 200 && this->world.onStart)
        this->world.onStart(started, *this);
    return response;
}

Response Runner::startRun(const Json& body)
{
    const std::pair key { body.value("task", ""), body.value("run", std::uint64_t { 0 }) };
    const auto refuse = [&](const char* reason) {
        Response response = this->answer({ { "reason", reason } });
        response.status = 409;
        this->world.record.line("runner " + this->options.id + ": " + key.first + " run " + std::to_string(key.second) + " is rejected, " + reason);
        return response;
    };
    if (this->runs.contains(key)) {
        this->extend(body);
        return this->answer(Json::object());
    }
    if (const auto highest = this->ended.find(key.first); highest != this->ended.end() && key.second <= highest->second) {
        this->extend(body);
        return refuse("old");
    }
    if (body.value("deadline-ms", Milliseconds { 0 }) <= this->clock())
        return refuse("late");
    this->extend(body);
    const auto need = this->world.needOf(key.first);
    if (!need)
        return { 400, this->answer(Json::object()).body };
    if (body.value("spec", "") != this->world.specOf(jobOf(key.first)))
        this->world.record.line("UNASKED: " + key.first + " has another spec than its job");
    TaskNeed sum = *need;
    for (const auto& [id, run] : this->runs) {
        sum.cpu += run.need.cpu;
        sum.memory += run.need.memory;
    }
    if (sum.cpu > this->options.cpu || sum.memory > this->options.memory)
        return refuse("room");
    this->runs[key] = { .task = key.first, .run = key.second, .need = *need, .endsAt = need->end.empty() ? 0 : now() + need->work };
    this->world.note({ .at = now(), .runner = this->options.id, .task = key.first, .run = key.second, .what = "start", .number = 0, .kind = this->options.kind });
    return this->answer(Json::object());
}

Response Runner::hold(const Json& body, std::unique_lock<std::mutex>& lock)
{
    this->extend(body);
    const auto cursor = body.value("ack-cursor", std::uint64_t { 0 });
    while (!this->openEndList.empty() && this->openEndList.front().number <= cursor)
        this->openEndList.pop_front();
    const Milliseconds until = now() + std::min<Milliseconds>(2000, body.value("wait-ms", Milliseconds { 0 }));
    const std::uint64_t ends = this->lastEnd;
    const std::uint64_t inLife = this->life;
    while (this->up && this->life == inLife && this->lastEnd == ends && now() < until)
        this->changed.wait_for(lock, std::chrono::milliseconds(until - now()));
    if (!this->up || this->life != inLife)
        return { .status = 0, .body = {}, .isLost = true };
    Json running = Json::array();
    for (const auto& [id, run] : this->runs)
        running.push_back({ run.task, run.run, "", run.percent, run.need.cpu });
    Json finished = Json::array();
    for (const End& end : this->openEndList) {
        if (finished.size() >= maxRows)
            break;
        finished.push_back({ end.number, end.task, end.run, end.how, "" });
    }
    return this->answer({ { "running", std::move(running) }, { "finished", std::move(finished) } });
}

// --- System

System::System(std::string program, std::string folder, int storePort, Record& record)
    : program(std::move(program))
    , folder(std::move(folder))
    , storePort(storePort)
    , record(record)
{
    this->watcher = std::thread([this] { this->watch(); });
}

System::~System()
{
    this->isOver = true;
    this->watcher.join();
    for (const Host& host : this->list) {
        if (host.pid > 0) {
            ::kill(host.pid, SIGKILL);
            ::waitpid(host.pid, nullptr, 0);
        }
    }
}

void System::launch(Host& host)
{
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with this program, however that ends
        const int log = ::open(host.log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("DRAGONFLYTRAY_CONFIG", host.settings.c_str(), 1);
        ::execl(this->program.c_str(), this->program.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    host.pid = pid;
    this->record.line("system: " + host.name + " starts");
}

void System::add(const std::string& name, const std::string& zone, const std::string& region)
{
    const std::lock_guard lock(this->mutex);
    Host host;
    host.name = name;
    host.zone = zone;
    host.region = region;
    host.callers = freePort();
    host.readiness = freePort();
    host.agent = freePort();
    host.settings = this->folder + "/" + name + ".yaml";
    host.log = this->folder + "/" + name + ".log";
    std::ofstream(host.settings) << "host: \"" << name << "\"\ndataCentre: \"" << zone << "\"\nentry:\n"
                                 << "  callers: \"127.0.0.1:" << host.callers << "\"\n  readiness: \"127.0.0.1:" << host.readiness << "\"\n"
                                 << "  store: \"127.0.0.1:" << this->storePort << "\"\n  agent: \"127.0.0.1:" << host.agent << "\"\n"
                                 << "  linkMegabits: 1000.0\n  processorShare: 0.1\n  connections: 4100\n  descriptors: 4100\n  memoryMegabytes: 260\n"
                                 << "  leaseLimitMilliseconds: 6000\n  stopTimeoutMilliseconds: 200\n  cancellationLimitMilliseconds: 3000\n  drainingLimitMilliseconds: 3000\n"
                                 << "  dataCentres:\n    - { name: \"rs-poa\", region: \"sul-rs\" }\n    - { name: \"sc-fln\", region: \"sul-sc\" }\n    - { name: \"rs-cxs\", region: \"sul-rs\" }\n"
                                 << "log:\n  level: info\n  format: json\n";
    this->launch(host);
    this->list.push_back(host);
}

void System::signal(std::size_t host, int number)
{
    const std::lock_guard lock(this->mutex);
    Host& target = this->list.at(host);
    this->record.line("system: " + target.name + " gets signal " + std::to_string(number));
    if (target.pid <= 0)
        return;
    if (number == SIGKILL || number == SIGTERM)
        this->killed.insert(target.pid);
    ::kill(target.pid, number);
}

void System::watch()
{
    std::map<std::string, Milliseconds> dueAt;
    while (!this->isOver) {
        pause(20);
        const std::lock_guard lock(this->mutex);
        for (Host& host : this->list) {
            int status = 0;
            if (host.pid > 0 && ::waitpid(host.pid, &status, WNOHANG) == host.pid) {
                const bool wasKilled = this->killed.erase(host.pid) > 0;
                this->ends += wasKilled ? 0 : 1;
                this->record.line("system: " + host.name + " ended, status " + std::to_string(status) + (wasKilled ? "" : ", by itself"));
                host.pid = 0;
                dueAt[host.name] = now() + 500;
            }
            if (host.pid == 0 && now() >= dueAt[host.name])
                this->launch(host);
        }
    }
}

bool System::waitUntilReady(Milliseconds limit)
{
    for (const Milliseconds end = now() + limit; now() < end; pause(100)) {
        std::size_t ready = 0;
        for (const Host& host : this->list)
            ready += call(host.readiness, "GET", "/dragonflytray/readiness", "platform", "", 500).status == 200 ? 1 : 0;
        if (ready == this->list.size())
            return true;
    }
    return false;
}

// --- Clients

Clients::Clients(World& world, System& system, Record& record)
    : world(world)
    , system(system)
    , record(record)
{
    this->watcher = std::thread([this] {
        while (!this->isOver) {
            pause(250);
            this->ask();
        }
    });
}

Clients::~Clients()
{
    this->isOver = true;
    this->watcher.join();
}

int Clients::portOf(std::size_t attempt)
{
    const auto& hosts = this->system.hosts();
    return hosts[attempt % hosts.size()].callers;
}

std::string Clients::submit(const std::string& prefix, const Json& steps, std::vector<std::pair<int, TaskNeed>> needs, const Json& more)
{
    const std::string id = newId();
    this->world.expect(id, needs);
    Json body { { "spec", "work of " + id }, { "steps", steps } };
    body.update(more);
    this->world.expectSpec(id, body["spec"]);
    const Milliseconds sentAt = now();
    constexpr int attempts = 5;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const int port = this->portOf(this->turn++);
        const Response response = call(port, "POST", prefix + id, "reviewed.example", body.dump(), 3000);
        this->record.line("client: POST " + prefix + id + " -> " + std::to_string(response.status));
        if (response.status >= 200 && response.status < 300) {
            const std::lock_guard lock(this->mutex);
            Job& job = this->known[id];
            job.id = id;
            job.prefix = prefix;
            job.sentAt = sentAt;
            job.acceptedAt = now();
            job.steps = std::move(needs);
            return id;
        }
        if (response.status == 404 || response.status == 400)
            return "";
        pause(response.status == 503 || response.status == 429 ? 1000 : 100);
    }
    return "";
}

std::vector<Clients::Job> Clients::jobs()
{
    const std::lock_guard lock(this->mutex);
    std::vector<Job> list;
    for (const auto& [id, job] : this->known)
        list.push_back(job);
    return list;
}

void Clients::ask()
{
    for (const Job& job : this->jobs()) {
        if (this->isOver || job.state == "completed" || job.state == "failed" || job.state == "cancelled")
            continue;
        const Response response = call(this->portOf(this->turn++), "GET", job.prefix + job.id, "reviewed.example", "", 3000);
        std::string state = std::to_string(response.status);
        if (response.status == 200) {
            const Json body = Json::parse(response.body, nullptr, false);
            state = body.is_object() ? body.value("state", "unreadable") : "unreadable";
        }
        const std::lock_guard lock(this->mutex);
        Job& known = this->known[job.id];
        if (known.state != state)
            this->record.line("client: GET " + job.prefix + job.id + " -> " + state);
        known.state = state;
        known.shownAt = now();
        known.firstShown.try_emplace(state, now());
    }
}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

std::string taskName(const std::string& job, int occurrence, int step, int index)
{
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." + std::to_string(index);
}

std::string jobOf(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

} // namespace stage
