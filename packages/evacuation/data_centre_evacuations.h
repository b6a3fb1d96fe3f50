#pragma once

// The data centres that the operator has asked to evacuate, as a host has read them from the store.
//
// It answers two loads: a data centre whose workers must not get more work, and one that comes back with all of its capacity free at
// once while a backlog waits. Tasks that are started at one moment end at one moment, and its workers may still be slow after their
// start, so that such a data centre fills up over a few seconds.

#include "model/model.h"
#include <map>
#include <vector>

namespace dragonflytray {

// EvacuationChange is one change of a request, as stored.
struct EvacuationChange {
    DataCentreName dataCentre;
    bool isEvacuated { false }; // false: the request was withdrawn
    RowVersion version { 0 }; // of the change
};

// EvacuationsDelivered is what a read of the requests has brought.
struct EvacuationsDelivered {
    std::vector<EvacuationChange> changes;
    bool isWhole { false }; // `changes` names every request that exists; all others were withdrawn
    RowVersion revision { 0 }; // of the store; all changes up to this version have been delivered
};

// EvacuationTransition is a request that has come into effect here, or a withdrawal.
struct EvacuationTransition {
    EvacuationChange change;
    Duration duration { 0 }; // of a withdrawal: for how long the request was in effect here
};

// DataCentreEvacuations keeps the requests. Pure: the time is passed in. Not thread-safe. A host that restarts reads all requests
// again; until then it must not start tasks.
class DataCentreEvacuations {
public:
    struct Options {
        Duration refillTime { std::chrono::seconds(3) }; // after a withdrawal, until workers are filled up to their whole capacity
        double minFillShare { 0.25 }; // of a worker's capacity, that may be used at once after a withdrawal
    };

    explicit DataCentreEvacuations(Options options)
        : options(options)
    {
    }

    // Commands.

    // follow() applies what a read has brought, in any order of reads, and returns what has changed by it. Linear in the changes and
    // the requests.
    std::vector<EvacuationTransition> follow(const EvacuationsDelivered& delivered, Instant now);

    // Queries.

    // isEvacuated() returns true if no task may be started on workers of the data centre.
    bool isEvacuated(const DataCentreName& dataCentre) const;

    // fillShare() returns the share of a worker's capacity that may be in use when a task is started there: 1, or less for a while
    // after a withdrawal.
    double fillShare(const DataCentreName& dataCentre, Instant now) const;

    // restrictsStarts() returns true if some data centre is evacuated or fills up again.
    bool restrictsStarts(Instant now) const;

    // inEffect() returns the requests that exist, by data centre. count() is their number.
    std::vector<EvacuationChange> inEffect() const;
    std::size_t count() const;

private:
    struct Request {
        bool isEvacuated { false };
        RowVersion version { 0 };
        Instant changedAt; // here
    };

    void apply(const EvacuationChange& change, Instant now, std::vector<EvacuationTransition>& transitions);

    Options options;
    std::map<DataCentreName, Request> requests; // withdrawn ones too, so that a late read does not bring them back
};

} // namespace dragonflytray
