// A leader that is too small for its fleet must find hosts that deliver for it, and go on without those that fail.

#include "dispatch/dispatch.h"

#include <catch2/catch.hpp>
#include <set>

namespace dragonflytray {

namespace {

    const DataCentreName here("dc-1");
    const DataCentreName there("dc-2");

    struct AgentChoiceFixture {
        static constexpr std::size_t workerCount = 90;

        Instant now { std::chrono::hours(1) };
        AgentChoice choice { { .self = HostName("leader"), .linkMegabits = 2, .processorShare = 0.069, .workersPerAgent = 32 } };

        AgentChoiceFixture()
        {
            this->addHost("leader", here, 2);
            for (int number = 0; number < 5; ++number) {
                this->addHost("here-" + std::to_string(number), here, 2);
                this->addHost("there-" + std::to_string(number), there, 2);
            }
            this->choice.workersCounted({ { here, workerCount }, { there, workerCount } });
        }

        void addHost(const std::string& name, const DataCentreName& dataCentre, double linkMegabits)
        {
            const AgentCandidate candidate { .host = HostName(name), .dataCentre = dataCentre, .endpoint = { name, 7000 }, .linkMegabits = linkMegabits, .processorShare = 0.069 };
            this->choice.hostChanged(candidate.host, &candidate);
        }

        std::string agentOf(const DataCentreName& dataCentre, std::size_t worker)
        {
            const AgentCandidate* agent = this->choice.agentFor(dataCentre, "w" + std::to_string(worker), this->now);
            return agent ? agent->host.value() : std::string();
        }

        std::set<std::string> agents(const DataCentreName& dataCentre)
        {
            std::set<std::string> names;
            for (std::size_t worker = 0; worker < workerCount; ++worker)
                names.insert(this->agentOf(dataCentre, worker));
            return names;
        }
    };

} // namespace

TEST_CASE_METHOD(AgentChoiceFixture, "AgentChoice_workersTakeAllOfLargeHostsProcessor_delegates", "[dispatch]")
{
    this->choice = AgentChoice({ .self = HostName("leader"), .linkMegabits = 200, .processorShare = 0.5 });
    this->choice.workersCounted({ { here, 270 }, { there, 270 } });
    CHECK(this->choice.isDelegating());
}

TEST_CASE_METHOD(AgentChoiceFixture, "AgentChoice_leaderTooSmall_agentsAreNearTheWorkersAndNotTheLeader", "[dispatch]")
{
    CHECK(this->choice.isDelegating());
    CHECK(this->agents(here).size() == 3);
    CHECK_FALSE(this->agents(here).contains("leader"));
    for (const std::string& agent : this->agents(there))
        CHECK(agent.starts_with("there-"));
}

TEST_CASE_METHOD(AgentChoiceFixture, "AgentChoice_leaderLargeEnough_deliversItself", "[dispatch]")
{
    this->choice = AgentChoice({ .self = HostName("leader"), .linkMegabits = 200, .processorShare = 0.5 });
    this->addHost("here-1", here, 2);
    this->choice.workersCounted({ { here, workerCount } });
    CHECK_FALSE(this->choice.isDelegating());
    CHECK(this->agents(here) == std::set<std::string> { "" });
}

TEST_CASE_METHOD(AgentChoiceFixture, "AgentChoice_linkNotKnown_deliversItself", "[dispatch]")
{
    this->choice = AgentChoice({ .self = HostName("leader") });
    this->choice.workersCounted({ { here, workerCount } });
    CHECK_FALSE(this->choice.isDelegating());
}

TEST_CASE_METHOD(AgentChoiceFixture, "AgentChoice_largerHosts_areChosenFirst", "[dispatch]")
{
    this->addHost("large-1", here, 200);
    this->addHost("large-2", here, 200);
    CHECK(this->agents(here).contains("large-1"));
    CHECK(this->agents(here).contains("large-2"));
}

TEST_CASE_METHOD(AgentChoiceFixture, "AgentChoice_agentFails_onlyItsWorkersMoveAndItReturnsLater", "[dispatch]")
{
    const std::string failed = this->agentOf(here, 0);
    const std::set<std::string> agents = this->agents(here);
    std::vector<std::string> before;
    for (std::size_t worker = 0; worker < workerCount; ++worker)
        before.push_back(this->agentOf(here, worker));
    this->choice.agentFailed({ failed, 7000 }, this->now);
    CHECK_FALSE(this->agents(here).contains(failed));
    for (std::size_t worker = 0; worker < workerCount; ++worker) {
        const std::string agent = this->agentOf(here, worker);
        CHECK((before[worker] == failed || agent == before[worker] || !agents.contains(agent)));
    }
    this->now += std::chrono::seconds(3);
    CHECK(this->agentOf(here, 0) == failed);
}

TEST_CASE_METHOD(AgentChoiceFixture, "AgentChoice_everyAgentOfDataCentreFails_leaderDeliversItself", "[dispatch]")
{
    for (int number = 0; number < 5; ++number)
        this->choice.agentFailed({ "here-" + std::to_string(number), 7000 }, this->now);
    CHECK(this->agentOf(here, 0).empty());
    CHECK_FALSE(this->agentOf(there, 0).empty());
}

TEST_CASE_METHOD(AgentChoiceFixture, "AgentChoice_agentFailsAgainAndAgain_isTriedLessOftenAndReported", "[dispatch]")
{
    const Endpoint endpoint { "here-1", 7000 };
    for (int count = 0; count < 6; ++count) {
        this->choice.agentFailed(endpoint, this->now);
        this->now += std::chrono::seconds(31);
    }
    CHECK(this->choice.failedSince(this->now - std::chrono::minutes(2)) == std::vector { HostName("here-1") });
    this->choice.agentAnswered(endpoint);
    CHECK(this->choice.failedSince(this->now).empty());
}

} // namespace dragonflytray
