#pragma once

// The settings of a scheduler daemon, read from a YAML file and checked as a whole.
//
// Example:
//
//     auto settings = parseEntrySettings(text, "entry-1.yaml");
//     if (!settings)
//         std::cerr << settings.error().text();

#include "scheduling/scheduling.h"
#include "telemetry/telemetry.h"
#include <tl/expected.hpp>

namespace dragonflytray {

// EntrySettings is what the process knows before it has spoken to anyone.
struct EntrySettings {
    HostName host;
    DataCentreName dataCentre;
    Endpoint callers;
    Endpoint readiness;
    Endpoint metrics; // port 0: not served
    Endpoint store;
    Endpoint agent; // where orders of leaders on other hosts are taken; port 0: nowhere
    double linkMegabits { 0 }; // of this host, a second; 0: not known
    std::vector<DataCentrePlace> dataCentres;
    LeadershipScope leadershipScope { LeadershipScope::Whole };
    double processorShare { 1 }; // of a core
    std::size_t connections { 2000 }; // from callers at a time
    std::size_t descriptors { 0 }; // that the process may open; 0: not known
    std::size_t memoryMegabytes { 0 }; // of the process; 0: not known
    Duration leaseLimit { std::chrono::seconds(6) }; // a worker shortens longer leases to it
    Duration stopTimeout { std::chrono::milliseconds(400) }; // of a worker's stop
    Duration cancellationLimit { std::chrono::seconds(3) }; // from the answer to a cancellation to the last start of a task of the job
    Duration drainingLimit { std::chrono::seconds(3) }; // from the entry of a draining worker to the last start on it
    Duration evacuationLimit { 0 }; // from the answer to an evacuation of a data centre to the last start there; 0: there are none
    Duration longestRetryAfter { 0 }; // that a refused caller is told; 0: always a second, and submissions with an unclear write are not tried again
    bool learnsRunTimes { false }; // run times of tasks correct callers' estimates
    bool judgesWorkers { false }; // workers that do worse than their peers get less work
    bool sharesCapacity { false }; // among queues of one priority
    bool refusesHopeless { false }; // jobs that would miss their late limit even in the best case
    Duration shutdownLimit { std::chrono::seconds(6) }; // between SIGTERM and SIGKILL
    LogOptions log;
};

// parseEntrySettings() is the checked settings of `text`, or every finding with its place in `file`. Pure.
tl::expected<EntrySettings, Findings> parseEntrySettings(const std::string& text, const std::string& file);

// isEntrySettings() says whether `text` is meant for a scheduler daemon: it has a map `entry`.
bool isEntrySettings(const std::string& text, const std::string& file);

// CallerLimits is what callers may take of the process.
struct CallerLimits {
    std::size_t connections { 0 };
    std::size_t receiveBudget { 0 }; // bytes of all incomplete requests
};

// callerLimits() derives the limits on callers from the descriptors and the memory of the process, as far as they are known. Pure.
CallerLimits callerLimits(const EntrySettings& settings);

// agentConnections() is how many connections to workers the process opens for leaders on other hosts. Pure.
std::size_t agentConnections(const EntrySettings& settings);

// schedulerOptions() is what the decisions need of the settings.
Scheduler::Options schedulerOptions(const EntrySettings& settings);

} // namespace dragonflytray
