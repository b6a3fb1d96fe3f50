#include "declarations/diff_declarations.h"

#include <iomanip>
#include <limits>
#include <sstream>

namespace dragonflytray {

namespace {

    constexpr double bytesPerMegabit = 125000;

    using Values = std::map<std::string, std::string>;

    std::string formatNumber(double value)
    {
        std::ostringstream stream;
        stream << std::setprecision(std::numeric_limits<double>::digits10) << value;
        return stream.str();
    }

    std::string formatNames(const std::vector<DataCentreName>& names)
    {
        std::string text;
        for (const DataCentreName& name : names)
            text += (text.empty() ? "" : ", ") + name.value();
        return text;
    }

    void addTeam(Values& values, const TeamDeclaration& team)
    {
        const std::string path = "teams/" + team.name.value() + "/";
        values[path + "weight"] = formatNumber(team.weight);
        values[path + "requestsInFlight"] = std::to_string(team.requestsInFlight);
        values[path + "processors"] = formatNumber(team.processors);
    }

    void addService(Values& values, const ServiceDeclaration& service)
    {
        const std::string path = "services/" + service.name.value() + "/";
        values[path + "idempotency"] = idempotencyNames.nameOf(service.idempotency);
        values[path + "deadlineMilliseconds"] = std::to_string(toMilliseconds(service.deadline));
        values[path + "queueLimit"] = std::to_string(service.queueLimit);
        values[path + "retryShare"] = formatNumber(service.retryShare);
    }

    void addBatchClass(Values& values, const BatchClassDeclaration& batchClass)
    {
        const std::string path = "batchClasses/" + batchClass.name.value() + "/";
        values[path + "processors"] = formatNumber(batchClass.need.processors);
        values[path + "memoryGigabytes"] = formatNumber(batchClass.need.memoryGigabytes);
        values[path + "accelerators"] = std::to_string(batchClass.need.accelerators);
        values[path + "runSeconds"] = formatNumber(toSeconds(batchClass.runTime));
        values[path + "attemptLimit"] = std::to_string(batchClass.attemptLimit);
    }

    Values flatten(const Declaration& declaration)
    {
        Values values;
        values["customer"] = declaration.customer;
        values["objective/tailLatency"] = formatNumber(declaration.objective.tailLatency);
        values["objective/throughput"] = formatNumber(declaration.objective.throughput);
        values["objective/evictions"] = formatNumber(declaration.objective.evictions);
        values["link/megabitsPerSecond"] = formatNumber(declaration.linkBytesPerSecond / bytesPerMegabit);
        for (const RegionDeclaration& region : declaration.regions)
            values["regions/" + region.name.value() + "/dataCentres"] = formatNames(region.dataCentres);
        for (const TeamDeclaration& team : declaration.teams)
            addTeam(values, team);
        for (const ServiceDeclaration& service : declaration.services)
            addService(values, service);
        for (const BatchClassDeclaration& batchClass : declaration.batchClasses)
            addBatchClass(values, batchClass);
        for (const WorkersDeclaration& workers : declaration.workers)
            values["workers/" + workers.dataCentre.value() + "/guards"] = workers.hasGuards ? "on" : "off";
        return values;
    }

} // namespace

std::vector<DeclarationChange> diffDeclarations(const Declaration& before, const Declaration& after)
{
    std::vector<DeclarationChange> changes;
    const Values old = flatten(before);
    const Values wanted = flatten(after);
    Values paths = old;
    paths.insert(wanted.begin(), wanted.end());
    for (const auto& [path, ignored] : paths) {
        const auto left = old.find(path);
        const auto right = wanted.find(path);
        if (left == old.end())
            changes.push_back({ DeclarationChangeKind::Added, path, "", right->second });
        else if (right == wanted.end())
            changes.push_back({ DeclarationChangeKind::Removed, path, left->second, "" });
        else if (left->second != right->second)
            changes.push_back({ DeclarationChangeKind::Changed, path, left->second, right->second });
    }
    return changes;
}

std::string describeChange(const DeclarationChange& change)
{
    const std::string arrow = change.kind == DeclarationChangeKind::Changed ? " -> " : "";
    return std::string(declarationChangeKindNames.nameOf(change.kind)) + " " + change.path + ": " + change.before + arrow + change.after;
}

std::string canonicalForm(const Declaration& declaration)
{
    std::string text;
    for (const auto& [path, value] : flatten(declaration))
        text.append(path).append(": ").append(value).append("\n");
    return text;
}

} // namespace dragonflytray
