#include "store.h"

#include <chrono>

namespace review {

namespace {

    constexpr std::size_t maxRowBytes = 65536;
    constexpr std::size_t maxCallBytes = 1 << 20;
    constexpr std::size_t maxEntries = 100;
    constexpr std::size_t maxRowsOfPage = 500;
    constexpr int transactionMilliseconds = 5;

    std::string field(const Request& request, const char* name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? "" : found->second;
    }

    std::int64_t numberField(const Request& request, const char* name, std::int64_t fallback)
    {
        const std::string text = field(request, name);
        return text.empty() ? fallback : std::strtoll(text.c_str(), nullptr, 10);
    }

} // namespace

std::int64_t steadyMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string encodeBase64(const std::string& bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto byteAt = [&](std::size_t index) { return index < bytes.size() ? static_cast<unsigned>(static_cast<unsigned char>(bytes[index])) : 0U; };
        const unsigned group = byteAt(i) << 16U | byteAt(i + 1) << 8U | byteAt(i + 2);
        text += digits[group >> 18U & 63U];
        text += digits[group >> 12U & 63U];
        text += i + 1 < bytes.size() ? digits[group >> 6U & 63U] : '=';
        text += i + 2 < bytes.size() ? digits[group & 63U] : '=';
    }
    return text;
}

std::size_t decodedSize(const std::string& base64)
{
    const std::size_t padding = base64.ends_with("==") ? 2 : base64.ends_with("=") ? 1
                                                                                   : 0;
    return base64.size() / 4 * 3 - padding;
}

Store::Store()
    : server([this](const Request& request) { return this->handle(request); })
{
}

Response Store::answer(int status, Json body) const
{
    body["row-version"] = this->version;
    body["now-ms"] = steadyMilliseconds();
    return { status, body.dump() };
}

Store::RowKey Store::keyOf(const Json& row)
{
    return { row.value("table", ""), row.value("part", ""), row.value("key", "") };
}

Json Store::encode(const RowKey& key, const Row& row)
{
    Json json { { "table", key.table }, { "part", key.part }, { "key", key.key }, { "row-version", row.version } };
    if (row.isDeleted)
        json["deleted"] = true;
    else if (row.version > 0)
        json["value"] = row.value;
    return json;
}

void Store::write(const RowKey& key, Row row)
{
    row.version = this->version;
    this->rows[key] = std::move(row);
    this->changes[this->version].push_back(key);
}

void Store::put(const std::string& table, const std::string& key, const Json& value)
{
    const std::lock_guard lock(this->mutex);
    ++this->version;
    this->write({ table, "", key }, { .value = encodeBase64(value.dump()) });
    this->changed.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    ++this->version;
    this->write({ table, "", key }, { .value = {}, .version = 0, .isDeleted = true });
    this->changed.notify_all();
}

Response Store::handle(const Request& request)
{
    if (request.path == "/dragonflytray/rows-tx") {
        std::this_thread::sleep_for(std::chrono::milliseconds(transactionMilliseconds));
        const Json body = Json::parse(request.body, nullptr, false);
        return body.is_object() && request.body.size() <= maxCallBytes ? this->transact(body) : Response { 400, "{}" };
    }
    if (request.path == "/dragonflytray/rows-get")
        return this->get(request);
    if (request.path == "/dragonflytray/rows-feed")
        return this->feed(request);
    return { 404, "{}" };
}

Response Store::transact(const Json& body)
{
    const Json conditions = body.value("expected-revision", Json::array());
    const Json puts = body.value("puts", Json::array());
    const Json removals = body.value("remove", Json::array());
    const std::lock_guard lock(this->mutex);
    std::set<std::string> parts;
    for (const Json* list : { &conditions, &puts, &removals }) {
        for (const Json& row : *list)
            parts.insert(row.value("part", ""));
    }
    for (const Json& put : puts) {
        const std::size_t size = decodedSize(put.value("value", ""));
        if (size > maxRowBytes) {
            ++this->refusedCount;
            this->largestRefusedRow = std::max(this->largestRefusedRow.load(), size);
            return this->answer(400, { { "reason", "max-row-bytes" } });
        }
    }
    if (parts.size() > 1 || conditions.size() + puts.size() + removals.size() > maxEntries)
        return this->answer(400, { { "reason", "entries" } });
    Json current = Json::array();
    bool isMet = true;
    for (const Json& condition : conditions) {
        const auto found = this->rows.find(keyOf(condition));
        const Row row = found == this->rows.end() || found->second.isDeleted ? Row {} : found->second;
        isMet = isMet && row.version == condition.value("row-version", std::uint64_t { 0 });
        current.push_back(encode(keyOf(condition), row));
    }
    if (!isMet)
        return this->answer(412, { { "rows", current } });
    ++this->version;
    for (const Json& put : puts)
        this->write(keyOf(put), { .value = put.value("value", "") });
    for (const Json& removal : removals) {
        if (this->rows.contains(keyOf(removal)))
            this->write(keyOf(removal), { .value = {}, .version = 0, .isDeleted = true });
    }
    this->changed.notify_all();
    return this->answer(200, Json::object());
}

Response Store::get(const Request& request)
{
    const std::string table = field(request, "table");
    const std::string part = field(request, "part");
    const std::string end = field(request, "to");
    const std::size_t limit = std::min<std::size_t>(maxRowsOfPage, static_cast<std::size_t>(numberField(request, "limit", maxRowsOfPage)));
    const std::lock_guard lock(this->mutex);
    Json found = Json::array();
    bool hasMore = false;
    std::size_t bytes = 0;
    for (auto row = this->rows.lower_bound({ table, part, field(request, "start-key") }); row != this->rows.end(); ++row) {
        const RowKey& key = row->first;
        if (key.table != table || key.part != part || (!end.empty() && key.key >= end))
            break;
        if (row->second.isDeleted)
            continue;
        hasMore = found.size() >= limit || bytes > maxCallBytes / 2;
        if (hasMore)
            break;
        bytes += row->second.value.size();
        found.push_back(encode(key, row->second));
    }
    return this->answer(200, { { "rows", found }, { "has-more", hasMore } });
}

Response Store::feed(const Request& request)
{
    const std::string table = field(request, "table");
    const auto after = static_cast<std::uint64_t>(numberField(request, "after", 0));
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::min<std::int64_t>(numberField(request, "wait-ms", 0), 30'000));
    std::unique_lock lock(this->mutex);
    for (;;) {
        std::set<std::pair<std::uint64_t, RowKey>> newest;
        for (auto change = this->changes.upper_bound(after); change != this->changes.end(); ++change) {
            for (const RowKey& key : change->second) {
                if (key.table == table && this->rows.at(key).version == change->first)
                    newest.emplace(change->first, key);
            }
        }
        Json found = Json::array();
        for (const auto& [changedAt, key] : newest)
            found.push_back(encode(key, this->rows.at(key)));
        if (!found.empty() || this->changed.wait_until(lock, deadline) == std::cv_status::timeout)
            return this->answer(200, { { "rows", found } });
    }
}

} // namespace review
