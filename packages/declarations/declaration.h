#pragma once

// Declaration is what operators want: services, batch classes, teams and the hosts that these may
// use. It is applied as a whole and immutable afterwards.
//
// Example:
//
//     const ServiceDeclaration* service = declaration.findService(ServiceName("loan-desk"));

#include "model/model.h"
#include <map>
#include <vector>

namespace dragonflytray {

// ServiceDeclaration describes one latency-critical service.
struct ServiceDeclaration {
    ServiceName name;
    Idempotency idempotency { Idempotency::NonIdempotent }; // of requests that do not say
    Duration deadline { std::chrono::seconds(2) }; // of requests that do not say
    std::size_t queueLimit { 256 }; // requests waiting in one entry host
    double retryShare { 0.1 }; // retries allowed for each success
};

// BatchClassDeclaration describes one kind of batch work.
struct BatchClassDeclaration {
    BatchClassName name;
    Capacity need; // of a job that does not say
    Duration runTime { std::chrono::minutes(10) };
    std::uint32_t attemptLimit { 5 };
};

// TeamDeclaration gives one team its weight and quotas.
struct TeamDeclaration {
    TeamName name;
    double weight { 1 }; // share of slots under contention
    std::size_t requestsInFlight { 0 }; // over all entry hosts; 0: no limit
    double processors { 0 }; // cores of batch work; 0: no limit
};

// RegionDeclaration names the data centres of one region.
struct RegionDeclaration {
    RegionName name;
    std::vector<DataCentreName> dataCentres;
};

// WorkersDeclaration says how the workers of one data centre may be used.
struct WorkersDeclaration {
    DataCentreName dataCentre;
    bool hasGuards { true }; // runners refuse what is over their slots
};

// Objective weighs what a deployment cares for; the weights need not add up to one.
struct Objective {
    double tailLatency { 1 };
    double throughput { 1 };
    double evictions { 1 };
};

// Declaration is one whole checked file. Immutable once parsed, so safe to share between threads.
struct Declaration {
    std::string customer;
    Objective objective;
    double linkBytesPerSecond { 3.75e6 }; // between regions, for the system's own use
    std::vector<RegionDeclaration> regions;
    std::vector<TeamDeclaration> teams;
    std::vector<ServiceDeclaration> services;
    std::vector<BatchClassDeclaration> batchClasses;
    std::vector<WorkersDeclaration> workers;

    // The find functions return nothing for an unknown name. Linear in the size of the list.
    const TeamDeclaration* findTeam(const TeamName& name) const;
    const ServiceDeclaration* findService(const ServiceName& name) const;
    const BatchClassDeclaration* findBatchClass(const BatchClassName& name) const;
    const RegionDeclaration* findRegionOf(const DataCentreName& name) const;
};

// DeclarationInForce is a declaration with the version under which it was accepted.
struct DeclarationInForce {
    ConfigurationVersion version { 0 };
    std::shared_ptr<const Declaration> declaration;
};

} // namespace dragonflytray
