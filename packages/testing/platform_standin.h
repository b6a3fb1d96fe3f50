#pragma once

// The platform's service in memory: a transactional table, an object store and a lagging host list.
//
// `POST /table/transactions`, `GET /table/rows?kinds=K,K&after=R`, `PUT|GET /objects/KEY`, `GET /hosts`,
// `PUT|DELETE /hosts/NAME` for tests, `POST /faults`, `GET /statistics`.

#include "testing/faults.h"
#include <map>
#include <nlohmann/json.hpp>

namespace dragonflytray {

// PlatformStandin serves one HTTP endpoint on one loop.
class PlatformStandin {
public:
    struct Options {
        Endpoint endpoint;
        Duration listLag { std::chrono::milliseconds(500) }; // a change of hosts shows this much later
    };

    PlatformStandin(IoLoop& loop, Options options);

    // start() listens; the bound endpoint, or a sentence that says why not.
    tl::expected<Endpoint, std::string> start() { return this->server.start(); }

private:
    struct Row {
        nlohmann::json value;
        std::uint64_t version { 0 };
        std::string transaction;
        bool isDeleted { false };
    };

    void take(HttpRequest request, std::shared_ptr<HttpReply> reply);
    HttpResponse route(const HttpRequest& request);
    HttpResponse applyTransaction(const HttpRequest& request);
    HttpResponse readRows(const HttpRequest& request);
    HttpResponse useObject(const HttpRequest& request, const std::string& key);
    HttpResponse changeHost(const HttpRequest& request, const std::string& name);
    HttpResponse listHosts() const;
    HttpResponse statistics() const;
    std::uint64_t versionOf(const std::string& key) const;
    nlohmann::json encodeRow(const std::string& key) const;

    IoLoop& loop;
    Options options;
    FaultSwitch faults;
    HttpServer server;
    std::map<std::string, Row> rows;
    std::map<std::string, std::string> objects;
    std::map<std::string, nlohmann::json> hosts; // as they are
    std::map<std::string, nlohmann::json> listedHosts; // as the list shows them
    std::uint64_t revision { 0 };
    std::uint64_t writes { 0 };
    std::uint64_t reads { 0 };
    std::uint64_t conflicts { 0 };
};

} // namespace dragonflytray
