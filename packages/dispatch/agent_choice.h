#pragma once

// The choice of the hosts that deliver a leader's orders to the workers of each data centre. A leader whose own link and processor
// suffice for all workers delivers everything itself; otherwise the largest hosts of each data centre do, each for a share of its
// workers. It answers a fleet that is too large for the host that leads it.
//
// Agents only carry orders out: permissions, epochs and numbers of runs are the leader's. A lost agent is a lost connection.
//
// Example:
//
//     AgentChoice choice({ .self = HostName("entry-1"), .linkMegabits = 20, .processorShare = 0.069 });
//     choice.hostChanged(HostName("entry-2"), candidate);
//     choice.workersCounted({ { dataCentre, 90 } });
//     if (const AgentCandidate* agent = choice.agentFor(dataCentre, worker, now))
//         ...

#include "model/model.h"
#include <map>
#include <string>
#include <vector>

namespace dragonflytray {

// AgentCandidate is a host that can deliver orders of a leader.
struct AgentCandidate {
    HostName host;
    DataCentreName dataCentre;
    Endpoint endpoint; // where it takes orders
    double linkMegabits { 0 }; // a second
    double processorShare { 0 }; // of a core

    bool operator==(const AgentCandidate&) const = default;
};

// AgentChoice chooses among the candidates. Not thread-safe.
class AgentChoice {
public:
    struct Options {
        HostName self; // never an agent of its own
        double linkMegabits { 0 }; // of this host; 0: not known, so that it delivers everything itself
        double processorShare { 1 };
        double minLinkPerWorker { 0.1 }; // megabits a second, with which a host delivers to all workers itself
        double minProcessorPerWorker { 0.001 }; // of a core, for delivery and decisions, with which it does so
        std::size_t workersPerAgent { 96 }; // a spec crosses once for each agent
        Duration cooldown { std::chrono::seconds(2) }; // after a failure, doubled with each further one
        Duration maxCooldown { std::chrono::seconds(30) };
    };

    explicit AgentChoice(Options options);

    // hostChanged() sets or removes a candidate.
    void hostChanged(const HostName& host, const AgentCandidate* candidate);

    // workersCounted() sets the number of workers in each data centre.
    void workersCounted(std::map<DataCentreName, std::size_t> counts);

    // agentFailed() excludes the host at `endpoint` for a while; agentAnswered() ends that. Linear in the candidates.
    void agentFailed(const Endpoint& endpoint, Instant now);
    void agentAnswered(const Endpoint& endpoint);

    // agentFor() returns the agent for a worker, or null if the leader delivers to it itself. Workers keep their agent while it is
    // chosen. Linear in the agents of the data centre, and in all candidates after a change.
    const AgentCandidate* agentFor(const DataCentreName& dataCentre, const std::string& worker, Instant now);

    // isDelegating() says whether this host is too small for all workers.
    bool isDelegating() const;

    // failedSince() returns the candidates that have failed at every attempt since `time` or before.
    std::vector<HostName> failedSince(Instant time) const;

private:
    struct Candidate {
        AgentCandidate host;
        Instant failedSince; // zero: the last attempt did not fail
        Instant excludedUntil;
        Duration nextCooldown { 0 };
    };

    void choose(Instant now);

    Options options;
    std::map<HostName, Candidate> candidates;
    std::map<DataCentreName, std::size_t> workers;
    std::map<DataCentreName, std::vector<const Candidate*>> chosen;
    bool isChoiceDue { true };
    Instant nextChoiceAt; // when an exclusion ends
};

} // namespace dragonflytray
