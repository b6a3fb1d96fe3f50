#include "entry/entry_settings.h"

#include "settings/settings.h"
#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr NumberRule millisecondBounds { .minimum = 1, .maximum = 3.6e6 }; // an hour; no limit of a process is longer

    // Part of a worker's longest lease that is granted: shorter leases free the tasks of lost workers sooner,
    // longer ones outlast a change of leaders.
    constexpr double leasePart = 0.75;

    constexpr NumberRule changeLimitBounds { .minimum = 3000, .maximum = 3.6e6 }; // with less, a leader that is up to date would pause

    constexpr std::size_t fileDescriptors = 200; // reserved for files
    constexpr std::size_t leastConnections = 16;

    // Half of the other descriptors is for callers: a leader needs connections to hundreds of workers, to the store and to agents.
    constexpr std::size_t callerPart = 2;

    // A third of them is for calls through the agent: one waiting poll for each of hundreds of workers, and calls about runs.
    constexpr std::size_t agentPart = 3;

    // A host with 160 MB lets 2,560 callers connect; an idle connection takes less than 2 KiB.
    constexpr std::size_t connectionsPerMegabyte = 16;

    // Incomplete requests take an eighth of the memory at most: with a copy of a body while it grows, less than a quarter.
    constexpr std::size_t receivePart = 8;
    constexpr std::size_t largestReceiveBudget = 32 << 20;

    constexpr NumberRule retryAfterBounds { .minimum = 1000, .maximum = 60'000 }; // callers are told whole seconds, and none waits for a minute

    std::vector<DataCentrePlace> readDataCentres(YamlMap& map)
    {
        std::vector<DataCentrePlace> places;
        for (YamlMap& entry : map.maps("dataCentres", true)) {
            places.push_back({ DataCentreName(entry.text("name")), RegionName(entry.text("region")) });
            entry.finish();
        }
        return places;
    }

    void readAdmission(YamlMap map, EntrySettings& settings)
    {
        settings.sharesCapacity = map.flag("shares", settings.sharesCapacity);
        settings.refusesHopeless = map.flag("refusesHopeless", settings.refusesHopeless);
        map.finish();
    }

    void readEntry(YamlMap map, EntrySettings& settings)
    {
        settings.callers = readEndpoint(map, "callers", Presence::Required);
        settings.readiness = readEndpoint(map, "readiness", Presence::Required);
        settings.metrics = readEndpoint(map, "metrics", Presence::Optional);
        settings.store = readEndpoint(map, "store", Presence::Required);
        settings.agent = readEndpoint(map, "agent", Presence::Optional);
        settings.linkMegabits = map.number("linkMegabits", { .maximum = 1e6, .fallback = settings.linkMegabits });
        settings.dataCentres = readDataCentres(map);
        settings.leadershipScope = map.choice("leadershipScope", leadershipScopeNames, settings.leadershipScope);
        settings.processorShare = map.number("processorShare", { .maximum = 1024, .fallback = settings.processorShare });
        settings.connections = static_cast<std::size_t>(map.number("connections", { .minimum = 1, .maximum = 1e6, .fallback = static_cast<double>(settings.connections), .isWhole = true }));
        settings.descriptors = static_cast<std::size_t>(map.number("descriptors", { .minimum = 1, .maximum = 1e9, .fallback = 0, .isWhole = true }));
        settings.memoryMegabytes = static_cast<std::size_t>(map.number("memoryMegabytes", { .minimum = 1, .maximum = 1e9, .fallback = 0, .isWhole = true }));
        settings.leaseLimit = readMilliseconds(map, "leaseLimitMilliseconds", millisecondBounds, settings.leaseLimit);
        settings.stopTimeout = readMilliseconds(map, "stopTimeoutMilliseconds", millisecondBounds, settings.stopTimeout);
        settings.cancellationLimit = readMilliseconds(map, "cancellationLimitMilliseconds", changeLimitBounds, settings.cancellationLimit);
        settings.drainingLimit = readMilliseconds(map, "drainingLimitMilliseconds", changeLimitBounds, settings.drainingLimit);
        if (map.has("evacuationLimitMilliseconds"))
            settings.evacuationLimit = readMilliseconds(map, "evacuationLimitMilliseconds", changeLimitBounds, settings.evacuationLimit);
        if (map.has("longestRetryAfterMilliseconds"))
            settings.longestRetryAfter = readMilliseconds(map, "longestRetryAfterMilliseconds", retryAfterBounds, settings.longestRetryAfter);
        settings.learnsRunTimes = map.flag("learnsRunTimes", settings.learnsRunTimes);
        settings.judgesWorkers = map.flag("judgesWorkers", settings.judgesWorkers);
        if (map.has("admission"))
            readAdmission(map.map("admission"), settings);
        settings.shutdownLimit = readMilliseconds(map, "shutdownLimitMilliseconds", millisecondBounds, settings.shutdownLimit);
        map.finish();
    }

} // namespace

bool isEntrySettings(const std::string& text, const std::string& file)
{
    Findings findings;
    return YamlMap::parse(text, file, findings).has("entry");
}

tl::expected<EntrySettings, Findings> parseEntrySettings(const std::string& text, const std::string& file)
{
    Findings findings;
    YamlMap root = YamlMap::parse(text, file, findings);
    if (!findings.isEmpty())
        return tl::unexpected(std::move(findings));
    EntrySettings settings;
    settings.host = HostName(root.text("host"));
    settings.dataCentre = DataCentreName(root.text("dataCentre"));
    readEntry(root.map("entry", true), settings);
    settings.log = readLog(root.map("log"));
    root.finish();
    if (!findings.isEmpty())
        return tl::unexpected(std::move(findings));
    return settings;
}

CallerLimits callerLimits(const EntrySettings& settings)
{
    CallerLimits limits { .connections = settings.connections, .receiveBudget = largestReceiveBudget };
    if (settings.descriptors > 0) {
        const std::size_t others = settings.descriptors > fileDescriptors ? settings.descriptors - fileDescriptors : 0;
        limits.connections = std::min(limits.connections, std::max(others / callerPart, leastConnections));
    }
    if (settings.memoryMegabytes > 0) {
        limits.connections = std::min(limits.connections, std::max(settings.memoryMegabytes * connectionsPerMegabyte, leastConnections));
        limits.receiveBudget = std::min(limits.receiveBudget, (settings.memoryMegabytes << 20U) / receivePart);
    }
    return limits;
}

std::size_t agentConnections(const EntrySettings& settings)
{
    if (settings.descriptors == 0)
        return std::numeric_limits<std::size_t>::max();
    const std::size_t others = settings.descriptors > fileDescriptors ? settings.descriptors - fileDescriptors : 0;
    return std::max(others / agentPart, leastConnections);
}

Scheduler::Options schedulerOptions(const EntrySettings& settings)
{
    Scheduler::Options options {
        .self = settings.host,
        .home = settings.dataCentre,
        .dataCentres = settings.dataCentres,
        .scope = settings.leadershipScope,
        .processorShare = settings.processorShare,
        .ownEntry = { .dataCentre = settings.dataCentre, .agent = settings.agent, .linkMegabits = settings.linkMegabits, .processorShare = settings.processorShare },
    };
    options.dispatcher.agents = { .self = settings.host, .linkMegabits = settings.linkMegabits, .processorShare = settings.processorShare };
    options.dispatcher.processorShare = settings.processorShare;
    options.dispatcher.startWindow.targetDelay = options.dispatcher.startValidity / 2;
    options.dispatcher.fleet.maxLease = settings.leaseLimit;
    options.dispatcher.fleet.lease = std::chrono::duration_cast<Duration>(settings.leaseLimit * leasePart);
    options.dispatcher.stopTimeout = settings.stopTimeout;
    options.dispatcher.maxJobsViewAge = settings.cancellationLimit - options.dispatcher.startValidity;
    options.dispatcher.maxWorkersViewAge = settings.drainingLimit - options.dispatcher.startValidity;
    if (settings.evacuationLimit > Duration(0))
        options.dispatcher.maxEvacuationsViewAge = settings.evacuationLimit - options.dispatcher.startValidity;
    options.clientRequests.longestRetryAfter = settings.longestRetryAfter;
    options.dispatcher.learnsRunTimes = settings.learnsRunTimes;
    options.dispatcher.judgesWorkers = settings.judgesWorkers;
    options.dispatcher.sharesCapacity = settings.sharesCapacity;
    options.dispatcher.publishesForecast = settings.refusesHopeless;
    options.refusesHopeless = settings.refusesHopeless;
    // The rest of the limit is for an answer of the store that is lost, and its repetition.
    options.cancellationCheck.maxAge = options.dispatcher.maxJobsViewAge / 2;
    return options;
}

} // namespace dragonflytray
