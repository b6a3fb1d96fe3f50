#include "declarations/parse_declaration.h"

#include "yaml/yaml.h"
#include <set>

namespace dragonflytray {

namespace {

    constexpr double bytesPerMegabit = 125000;
    constexpr double maxDurationSeconds = 30.0 * 24 * 3600; // 30 days

    constexpr std::size_t maxNameLength = 64; // characters
    constexpr double maxCount = 1e9; // also of weights
    constexpr double maxLinkMegabitsPerSecond = 1e6;

    // checkName() reports a name that is too long or has characters that aren't safe in paths, metric labels
    // and keys of the table.
    void checkName(YamlMap& map, const std::string& key, const std::string& name)
    {
        const bool isLegal = name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") == std::string::npos;
        if (!isLegal || name.size() > maxNameLength)
            map.addFinding(key, "the name `" + name.substr(0, maxNameLength) + "` is not allowed", "up to 64 letters, digits, `.`, `_` and `-`");
    }

    Duration secondsToDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    // UniqueNames reads the names of the items of one list and reports duplicates.
    class UniqueNames {
    public:
        std::string read(YamlMap& map)
        {
            std::string name = map.text("name");
            checkName(map, "name", name);
            if (!name.empty() && !this->seenNames.insert(name).second)
                map.addFinding("name", "the name `" + name + "` appears twice in this list");
            return name;
        }

    private:
        std::set<std::string> seenNames;
    };

    Objective readObjective(YamlMap map)
    {
        Objective objective;
        objective.tailLatency = map.number("tailLatency", { .maximum = maxCount, .fallback = 1 });
        objective.throughput = map.number("throughput", { .maximum = maxCount, .fallback = 1 });
        objective.evictions = map.number("evictions", { .maximum = maxCount, .fallback = 1 });
        if (objective.tailLatency + objective.throughput + objective.evictions <= 0)
            map.addFinding({}, "the weights of `objective` are all zero", "give at least one weight above zero");
        map.finish();
        return objective;
    }

    std::vector<RegionDeclaration> readRegions(YamlMap& root)
    {
        std::vector<RegionDeclaration> regions;
        UniqueNames names;
        std::set<std::string> assignedDataCentres;
        for (YamlMap& map : root.maps("regions", true)) {
            RegionDeclaration region;
            region.name = RegionName(names.read(map));
            for (std::string& dataCentre : map.texts("dataCentres", true)) {
                checkName(map, "dataCentres", dataCentre);
                if (!assignedDataCentres.insert(dataCentre).second)
                    map.addFinding("dataCentres", "the data centre `" + dataCentre + "` appears twice", "each data centre belongs to one region");
                region.dataCentres.emplace_back(std::move(dataCentre));
            }
            map.finish();
            regions.push_back(std::move(region));
        }
        return regions;
    }

    std::vector<TeamDeclaration> readTeams(YamlMap& root)
    {
        std::vector<TeamDeclaration> teams;
        UniqueNames names;
        for (YamlMap& map : root.maps("teams", true)) {
            TeamDeclaration team;
            team.name = TeamName(names.read(map));
            team.weight = map.number("weight", { .minimum = 0.01, .maximum = 1000, .fallback = 1 });
            team.maxRequestsInFlight = static_cast<std::size_t>(map.number("requestsInFlight", { .maximum = maxCount, .fallback = 0, .isWhole = true }));
            team.maxProcessors = map.number("processors", { .maximum = maxCount, .fallback = 0 });
            map.finish();
            teams.push_back(std::move(team));
        }
        return teams;
    }

    std::vector<ServiceDeclaration> readServices(YamlMap& root)
    {
        std::vector<ServiceDeclaration> services;
        UniqueNames names;
        for (YamlMap& map : root.maps("services")) {
            ServiceDeclaration service;
            service.name = ServiceName(names.read(map));
            service.defaultIdempotency = map.choice("idempotency", idempotencyNames, Idempotency::NonIdempotent);
            service.defaultDeadline = std::chrono::milliseconds(static_cast<long long>(map.number("deadlineMilliseconds", { .minimum = 1, .maximum = maxDurationSeconds * 1000, .fallback = 2000 })));
            service.queueLimit = static_cast<std::size_t>(map.number("queueLimit", { .minimum = 1, .maximum = 100000, .fallback = 256, .isWhole = true }));
            service.retryRatio = map.number("retryShare", { .minimum = 0, .maximum = 1, .fallback = 0.1 });
            map.finish();
            services.push_back(std::move(service));
        }
        return services;
    }

    std::vector<BatchClassDeclaration> readBatchClasses(YamlMap& root)
    {
        std::vector<BatchClassDeclaration> classes;
        UniqueNames names;
        for (YamlMap& map : root.maps("batchClasses")) {
            BatchClassDeclaration batchClass;
            batchClass.name = BatchClassName(names.read(map));
            batchClass.need.processors = map.number("processors", { .minimum = 0.01, .maximum = 4096 });
            batchClass.need.memoryGigabytes = map.number("memoryGigabytes", { .minimum = 0.01, .maximum = 65536 });
            batchClass.need.accelerators = static_cast<int>(map.number("accelerators", { .maximum = 64, .fallback = 0, .isWhole = true }));
            batchClass.defaultRunTime = secondsToDuration(map.number("runSeconds", { .minimum = 0.001, .maximum = maxDurationSeconds, .fallback = 600 }));
            batchClass.attemptLimit = static_cast<std::uint32_t>(map.number("attemptLimit", { .minimum = 1, .maximum = 100, .fallback = 5, .isWhole = true }));
            map.finish();
            classes.push_back(std::move(batchClass));
        }
        return classes;
    }

    std::vector<WorkersDeclaration> readWorkers(YamlMap& root, const Declaration& declaration)
    {
        std::vector<WorkersDeclaration> workers;
        std::set<DataCentreName> seenDataCentres;
        for (YamlMap& map : root.maps("workers")) {
            WorkersDeclaration entry;
            entry.dataCentre = DataCentreName(map.text("dataCentre"));
            entry.hasGuards = map.flag("guards", true);
            if (!entry.dataCentre.isEmpty() && !declaration.findRegionOf(entry.dataCentre))
                map.addFinding("dataCentre", "the data centre `" + entry.dataCentre.value() + "` belongs to no region");
            if (!entry.dataCentre.isEmpty() && !seenDataCentres.insert(entry.dataCentre).second)
                map.addFinding("dataCentre", "the data centre `" + entry.dataCentre.value() + "` appears twice in this list");
            map.finish();
            workers.push_back(std::move(entry));
        }
        return workers;
    }

    // A name that no region lists is no finding: an evacuated data centre may leave the regions before this list.
    std::vector<DataCentreName> readEvacuatedDataCentres(YamlMap& root)
    {
        static const std::string key = "evacuatedDataCentres";
        std::vector<DataCentreName> dataCentres;
        std::set<std::string> seenNames;
        for (std::string& name : root.texts(key)) {
            checkName(root, key, name);
            if (name.empty())
                root.addFinding(key, "a name in `" + key + "` is empty");
            else if (!seenNames.insert(name).second)
                root.addFinding(key, "the data centre `" + name + "` appears twice in this list");
            dataCentres.emplace_back(std::move(name));
        }
        return dataCentres;
    }

} // namespace

tl::expected<Declaration, Findings> parseDeclaration(const std::string& text, const std::string& file)
{
    Findings findings;
    YamlMap root = YamlMap::parse(text, file, findings);
    if (!findings.isEmpty())
        return tl::unexpected(std::move(findings));
    Declaration declaration;
    declaration.customer = root.text("customer");
    declaration.objective = readObjective(root.map("objective"));
    YamlMap link = root.map("link");
    declaration.linkBytesPerSecond = bytesPerMegabit * link.number("megabitsPerSecond", { .maximum = maxLinkMegabitsPerSecond, .fallback = 30 });
    link.finish();
    declaration.regions = readRegions(root);
    declaration.teams = readTeams(root);
    declaration.services = readServices(root);
    declaration.batchClasses = readBatchClasses(root);
    declaration.workers = readWorkers(root, declaration);
    declaration.evacuatedDataCentres = readEvacuatedDataCentres(root);
    root.finish();
    if (!findings.isEmpty())
        return tl::unexpected(std::move(findings));
    return declaration;
}

} // namespace dragonflytray
