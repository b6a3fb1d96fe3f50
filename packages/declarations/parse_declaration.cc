#include "declarations/parse_declaration.h"

#include "yaml/yaml.h"
#include <set>

namespace dragonflytray {

namespace {

    constexpr double bytesPerMegabit = 125000;
    constexpr double maximumSeconds = 30.0 * 24 * 3600;

    constexpr std::size_t nameLimit = 64; // characters
    constexpr double countLimit = 1e9;
    constexpr double maximumMegabits = 1e6;

    // checkName() reports characters that paths, metrics and keys of the table could not carry.
    void checkName(YamlMap& map, const std::string& key, const std::string& name)
    {
        const bool isLegal = name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") == std::string::npos;
        if (!isLegal || name.size() > nameLimit)
            map.addFinding(key, "the name `" + name.substr(0, nameLimit) + "` is not allowed", "up to 64 letters, digits, `.`, `_` and `-`");
    }

    Duration secondsToDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    // UniqueNames reports names that stand twice in one list.
    class UniqueNames {
    public:
        std::string read(YamlMap& map)
        {
            std::string name = map.text("name");
            checkName(map, "name", name);
            if (!name.empty() && !this->seen.insert(name).second)
                map.addFinding("name", "the name `" + name + "` stands twice in this list");
            return name;
        }

    private:
        std::set<std::string> seen;
    };

    Objective readObjective(YamlMap map)
    {
        Objective objective;
        objective.tailLatency = map.number("tailLatency", { .maximum = countLimit, .fallback = 1 });
        objective.throughput = map.number("throughput", { .maximum = countLimit, .fallback = 1 });
        objective.evictions = map.number("evictions", { .maximum = countLimit, .fallback = 1 });
        if (objective.tailLatency + objective.throughput + objective.evictions <= 0)
            map.addFinding({}, "the weights of `objective` are all zero", "give at least one weight above zero");
        map.finish();
        return objective;
    }

    std::vector<RegionDeclaration> readRegions(YamlMap& root)
    {
        std::vector<RegionDeclaration> regions;
        UniqueNames names;
        std::set<std::string> placed;
        for (YamlMap& map : root.maps("regions", true)) {
            RegionDeclaration region;
            region.name = RegionName(names.read(map));
            for (std::string& dataCentre : map.texts("dataCentres", true)) {
                checkName(map, "dataCentres", dataCentre);
                if (!placed.insert(dataCentre).second)
                    map.addFinding("dataCentres", "the data centre `" + dataCentre + "` stands twice", "each data centre belongs to one region");
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
            team.requestsInFlight = static_cast<std::size_t>(map.number("requestsInFlight", { .maximum = countLimit, .fallback = 0, .isWhole = true }));
            team.processors = map.number("processors", { .maximum = countLimit, .fallback = 0 });
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
            service.idempotency = map.choice("idempotency", idempotencyNames, Idempotency::NonIdempotent);
            service.deadline = std::chrono::milliseconds(static_cast<long long>(map.number("deadlineMilliseconds", { .minimum = 1, .maximum = maximumSeconds * 1000, .fallback = 2000 })));
            service.queueLimit = static_cast<std::size_t>(map.number("queueLimit", { .minimum = 1, .maximum = 100000, .fallback = 256, .isWhole = true }));
            service.retryShare = map.number("retryShare", { .minimum = 0, .maximum = 1, .fallback = 0.1 });
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
            batchClass.runTime = secondsToDuration(map.number("runSeconds", { .minimum = 0.001, .maximum = maximumSeconds, .fallback = 600 }));
            batchClass.attemptLimit = static_cast<std::uint32_t>(map.number("attemptLimit", { .minimum = 1, .maximum = 100, .fallback = 5, .isWhole = true }));
            map.finish();
            classes.push_back(std::move(batchClass));
        }
        return classes;
    }

    std::vector<WorkersDeclaration> readWorkers(YamlMap& root, const Declaration& declaration)
    {
        std::vector<WorkersDeclaration> workers;
        std::set<DataCentreName> seen;
        for (YamlMap& map : root.maps("workers")) {
            WorkersDeclaration entry;
            entry.dataCentre = DataCentreName(map.text("dataCentre"));
            entry.hasGuards = map.flag("guards", true);
            if (!entry.dataCentre.isEmpty() && !declaration.findRegionOf(entry.dataCentre))
                map.addFinding("dataCentre", "the data centre `" + entry.dataCentre.value() + "` belongs to no region");
            if (!entry.dataCentre.isEmpty() && !seen.insert(entry.dataCentre).second)
                map.addFinding("dataCentre", "the data centre `" + entry.dataCentre.value() + "` stands twice in this list");
            map.finish();
            workers.push_back(std::move(entry));
        }
        return workers;
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
    declaration.linkBytesPerSecond = bytesPerMegabit * link.number("megabitsPerSecond", { .maximum = maximumMegabits, .fallback = 30 });
    link.finish();
    declaration.regions = readRegions(root);
    declaration.teams = readTeams(root);
    declaration.services = readServices(root);
    declaration.batchClasses = readBatchClasses(root);
    declaration.workers = readWorkers(root, declaration);
    root.finish();
    if (!findings.isEmpty())
        return tl::unexpected(std::move(findings));
    return declaration;
}

} // namespace dragonflytray
