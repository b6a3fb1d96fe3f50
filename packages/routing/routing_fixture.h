#pragma once

// The fixture shared by the tests of `Routing`.
//
// Example:
//
//     TEST_CASE_METHOD(RoutingFixture, "SubmitRequest_freeSlot_isSentAtOnce")
//     {
//         CHECK(this->submit("a").size() == 1);
//     }

#include "routing/routing.h"

namespace dragonflytray {

// RoutingFixture is one entry host with one service on two runners of two slots each, and a queue of two.
struct RoutingFixture {
    Routing::Options options { .self = HostName("e1"), .dataCentre = DataCentreName("dc1"), .shouldClaim = false };
    Routing routing { this->options };
    Instant now { std::chrono::seconds(100) };
    std::uint64_t nextToken { 0 };
    std::shared_ptr<const Declaration> declaration;

    RoutingFixture()
    {
        Declaration declaration;
        declaration.teams = { { .name = TeamName("desk") } };
        declaration.services = { { .name = ServiceName("checks"), .queueLimit = 2 } };
        this->declaration = std::make_shared<Declaration>(declaration);
        this->routing.handle(ChangeConfiguration { { 1, this->declaration } }, this->now);
        this->setRunners({ "r1", "r2" });
    }

    // setRunners() replaces the list of hosts by these runners.
    RoutingEffects setRunners(const std::vector<std::string>& names)
    {
        std::vector<Host> hosts;
        for (const std::string& name : names)
            hosts.push_back(this->makeRunner(name));
        return this->routing.handle(ChangeHosts { hosts }, this->now);
    }

    // advanceAndTick() advances the clock and handles one tick.
    RoutingEffects advanceAndTick(Duration elapsed)
    {
        this->now += elapsed;
        return this->routing.handle(RoutingTick {}, this->now);
    }

    Host makeRunner(const std::string& name) const
    {
        Host host;
        host.name = HostName(name);
        host.kind = HostKind::Runner;
        host.dataCentre = DataCentreName("dc1");
        host.service = ServiceName("checks");
        host.slots = 2;
        return host;
    }

    Request makeRequest(const std::string& id, Idempotency idempotency) const
    {
        Request request;
        request.id = RequestId(id);
        request.team = TeamName("desk");
        request.service = ServiceName("checks");
        request.idempotency = idempotency;
        request.deadline = this->now + std::chrono::seconds(1);
        return request;
    }

    RoutingEffects submit(const Request& request)
    {
        return this->routing.handle(SubmitRequest { ReplyToken(++this->nextToken), request }, this->now);
    }

    RoutingEffects submit(const std::string& id, Idempotency idempotency = Idempotency::NonIdempotent)
    {
        return this->submit(this->makeRequest(id, idempotency));
    }

    // restart() starts the entry host again with the current `options`.
    void restart()
    {
        this->routing = Routing(this->options);
        this->routing.handle(ChangeConfiguration { { 1, this->declaration } }, this->now);
        this->setRunners({ "r1", "r2" });
    }
};

} // namespace dragonflytray
