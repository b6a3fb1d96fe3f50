#pragma once

// The desired configuration that an operator declares in one file: regions, teams, services, batch
// classes and the workers of each data centre. A declaration is applied as a whole.
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
    Idempotency defaultIdempotency { Idempotency::NonIdempotent }; // of requests that don't state it
    Duration defaultDeadline { std::chrono::seconds(2) }; // of requests without a deadline, from their arrival
    std::size_t queueLimit { 256 }; // requests that may wait in one entry host
    double retryRatio { 0.1 }; // retries that each successful request adds to the retry budget
};

// BatchClassDeclaration holds the defaults and limits of one class of batch jobs.
struct BatchClassDeclaration {
    BatchClassName name;
    Capacity need; // resources of a job that requests none
    Duration defaultRunTime { std::chrono::minutes(10) }; // expected run time of a job that declares none
    std::uint32_t attemptLimit { 5 }; // failed attempts after which a job is marked as failed
};

// TeamDeclaration holds the scheduling weight and the quotas of one team.
struct TeamDeclaration {
    TeamName name;
    double weight { 1 }; // relative share of the runners' slots under contention
    std::size_t maxRequestsInFlight { 0 }; // over all entry hosts; 0: no limit
    double maxProcessors { 0 }; // cores in use by batch jobs; 0: no limit
};

// RegionDeclaration lists the data centres of one region.
struct RegionDeclaration {
    RegionName name;
    std::vector<DataCentreName> dataCentres;
};

// WorkersDeclaration holds the properties of the workers of one data centre.
struct WorkersDeclaration {
    DataCentreName dataCentre;
    bool hasGuards { true }; // runners reject requests beyond their number of slots
};

// Objective weighs the goals of a deployment against each other. Only the ratios of the weights count;
// they need not add up to one.
struct Objective {
    double tailLatency { 1 }; // of services
    double throughput { 1 }; // of batch jobs
    double evictions { 1 }; // of batch tasks, to be avoided
};

// Declaration is the content of one validated file. It isn't changed after parsing and may be shared
// between threads.
struct Declaration {
    std::string customer;
    Objective objective;
    double linkBytesPerSecond { 3.75e6 }; // that the system itself may send between regions
    std::vector<RegionDeclaration> regions;
    std::vector<TeamDeclaration> teams;
    std::vector<ServiceDeclaration> services;
    std::vector<BatchClassDeclaration> batchClasses;
    std::vector<WorkersDeclaration> workers;
    std::vector<DataCentreName> evacuatedDataCentres; // also names that no region lists

    // The find functions return nullptr for an unknown name; findRegionOf() looks up the region of a data
    // centre. They take linear time, and the pointer is valid as long as the declaration.
    const TeamDeclaration* findTeam(const TeamName& name) const;
    const ServiceDeclaration* findService(const ServiceName& name) const;
    const BatchClassDeclaration* findBatchClass(const BatchClassName& name) const;
    const RegionDeclaration* findRegionOf(const DataCentreName& name) const;

    // isEvacuated() returns true if `name` is on the list of evacuated data centres, where no job is started and to
    // whose runners no request is sent. Linear in the list.
    bool isEvacuated(const DataCentreName& name) const;
};

// DeclarationInForce is the active declaration with the version under which it was committed.
struct DeclarationInForce {
    ConfigurationVersion version { 0 };
    std::shared_ptr<const Declaration> declaration;
};

} // namespace dragonflytray
