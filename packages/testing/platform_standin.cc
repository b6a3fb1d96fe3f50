#include "testing/platform_standin.h"

namespace dragonflytray {

using nlohmann::json;

namespace {

    HttpResponse respond(unsigned status, const json& body)
    {
        return { .status = status, .headers = {}, .body = body.dump() };
    }

} // namespace

PlatformStandin::PlatformStandin(IoLoop& loop, Options options)
    : loop(loop)
    , options(std::move(options))
    , faults(loop)
    , server(loop, { .endpoint = this->options.endpoint, .bodyLimit = 8 << 20 }, [this](HttpRequest request, std::shared_ptr<HttpReply> reply) { this->take(std::move(request), std::move(reply)); })
{
}

void PlatformStandin::take(HttpRequest request, std::shared_ptr<HttpReply> reply)
{
    const auto path = request.path();
    if (!path.empty() && path[0] == "faults")
        return this->faults.take(request, *reply, this->server);
    const bool isFromTest = path.size() == 2 && path[0] == "hosts";
    if (isFromTest || (!path.empty() && path[0] == "statistics"))
        return reply->send(this->route(request));
    if (this->faults.refuses(*reply))
        return;
    this->faults.answer(std::move(reply), this->route(request));
}

HttpResponse PlatformStandin::route(const HttpRequest& request)
{
    const auto path = request.path();
    if (path.size() == 2 && path[0] == "table" && path[1] == "transactions")
        return this->applyTransaction(request);
    if (path.size() == 2 && path[0] == "table" && path[1] == "rows")
        return this->readRows(request);
    if (path.size() == 2 && path[0] == "objects")
        return this->useObject(request, path[1]);
    if (path.size() == 2 && path[0] == "hosts")
        return this->changeHost(request, path[1]);
    if (path.size() == 1 && path[0] == "hosts")
        return this->listHosts();
    if (path.size() == 1 && path[0] == "statistics")
        return this->statistics();
    return respond(404, json::object());
}

HttpResponse PlatformStandin::applyTransaction(const HttpRequest& request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return respond(400, json::object());
    json failed = json::array();
    for (const json& condition : body.value("conditions", json::array())) {
        const std::string key = condition.at("key");
        if (this->versionOf(key) != condition.at("version").get<std::uint64_t>())
            failed.push_back(this->encodeRow(key));
    }
    if (!failed.empty()) {
        ++this->conflicts;
        return respond(409, { { "committed", false }, { "conflicts", failed } });
    }
    ++this->writes;
    ++this->revision;
    const std::string id = body.value("id", "");
    for (const json& write : body.value("writes", json::array()))
        this->rows[write.at("key")] = { write.at("value"), this->revision, id, false };
    for (const json& key : body.value("deletes", json::array()))
        this->rows[key] = { nullptr, this->revision, id, true };
    return respond(200, { { "committed", true }, { "revision", this->revision } });
}

HttpResponse PlatformStandin::readRows(const HttpRequest& request)
{
    ++this->reads;
    const std::string kinds = "," + request.query("kinds").value_or("") + ",";
    const std::uint64_t after = std::strtoull(request.query("after").value_or("0").c_str(), nullptr, 10);
    json changed = json::array();
    for (const auto& [key, row] : this->rows) {
        const bool isAsked = kinds.find("," + key.substr(0, key.find('/')) + ",") != std::string::npos;
        if (isAsked && row.version > after)
            changed.push_back(this->encodeRow(key));
    }
    return respond(200, { { "revision", this->revision }, { "rows", changed } });
}

HttpResponse PlatformStandin::useObject(const HttpRequest& request, const std::string& key)
{
    if (request.method == HttpMethod::Put) {
        ++this->writes;
        this->objects[key] = request.body;
        return respond(200, json::object());
    }
    ++this->reads;
    auto found = this->objects.find(key);
    if (found == this->objects.end())
        return respond(404, json::object());
    return { .status = 200, .contentType = "application/octet-stream", .headers = {}, .body = found->second };
}

HttpResponse PlatformStandin::changeHost(const HttpRequest& request, const std::string& name)
{
    if (request.method == HttpMethod::Delete)
        this->hosts.erase(name);
    else
        this->hosts[name] = json::parse(request.body, nullptr, false);
    this->loop.after(this->options.listLag, [this, snapshot = this->hosts] {
        if (this->faults.active() != Fault::FreezeList)
            this->listedHosts = snapshot;
    });
    return respond(200, json::object());
}

HttpResponse PlatformStandin::listHosts() const
{
    json list = json::array();
    for (const auto& [name, host] : this->listedHosts)
        list.push_back(host);
    return respond(200, { { "hosts", list } });
}

HttpResponse PlatformStandin::statistics() const
{
    return respond(200, { { "writes", this->writes }, { "reads", this->reads }, { "conflicts", this->conflicts }, { "rows", this->rows.size() }, { "revision", this->revision } });
}

std::uint64_t PlatformStandin::versionOf(const std::string& key) const
{
    auto found = this->rows.find(key);
    return found == this->rows.end() || found->second.isDeleted ? 0 : found->second.version;
}

json PlatformStandin::encodeRow(const std::string& key) const
{
    auto found = this->rows.find(key);
    if (found == this->rows.end() || found->second.isDeleted)
        return { { "key", key }, { "version", 0 }, { "value", nullptr } };
    return { { "key", key }, { "version", found->second.version }, { "transaction", found->second.transaction }, { "value", found->second.value } };
}

} // namespace dragonflytray
