#include "declarations/diff_declarations.h"

#include <iomanip>
#include <limits>
#include <sstream>

namespace dragonflytray {

namespace {

    constexpr double bytesPerMegabit = 125000;

    using ValuesByPath = std::map<std::string, std::string>;

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

    void addTeam(ValuesByPath& values, const TeamDeclaration& team)
    {
        const std::string path = "teams/" + team.name.value() + "/";
        values[path + "weight"] = formatNumber(team.weight);
        values[path + "requestsInFlight"] = std::to_string(team.maxRequestsInFlight);
        values[path + "processors"] = formatNumber(team.maxProcessors);
    }

    void addService(ValuesByPath& values, const ServiceDeclaration& service)
    {
        const std::string path = "services/" + service.name.value() + "/";
        values[path + "idempotency"] = idempotencyNames.nameOf(service.defaultIdempotency);
        values[path + "deadlineMilliseconds"] = std::to_string(toMilliseconds(service.defaultDeadline));
        values[path + "queueLimit"] = std::to_string(service.queueLimit);
        values[path + "retryShare"] = formatNumber(service.retryRatio);
    }

    void addBatchClass(ValuesByPath& values, const BatchClassDeclaration& batchClass)
    {
        const std::string path = "batchClasses/" + batchClass.name.value() + "/";
        values[path + "processors"] = formatNumber(batchClass.need.processors);
        values[path + "memoryGigabytes"] = formatNumber(batchClass.need.memoryGigabytes);
        values[path + "accelerators"] = std::to_string(batchClass.need.accelerators);
        values[path + "runSeconds"] = formatNumber(toSeconds(batchClass.defaultRunTime));
        values[path + "attemptLimit"] = std::to_string(batchClass.attemptLimit);
    }

    // flatten() maps the path of each value to its text, in the units of the file.
    ValuesByPath flatten(const Declaration& declaration)
    {
        ValuesByPath values;
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
        for (const DataCentreName& name : declaration.evacuatedDataCentres)
            values["evacuatedDataCentres/" + name.value()] = "evacuated";
        return values;
    }

} // namespace

std::vector<DeclarationChange> diffDeclarations(const Declaration& before, const Declaration& after)
{
    std::vector<DeclarationChange> changes;
    const ValuesByPath oldValues = flatten(before);
    const ValuesByPath newValues = flatten(after);
    ValuesByPath paths = oldValues;
    paths.insert(newValues.begin(), newValues.end());
    for (const auto& [path, ignored] : paths) {
        const auto oldValue = oldValues.find(path);
        const auto newValue = newValues.find(path);
        if (oldValue == oldValues.end())
            changes.push_back({ DeclarationChangeKind::Added, path, "", newValue->second });
        else if (newValue == newValues.end())
            changes.push_back({ DeclarationChangeKind::Removed, path, oldValue->second, "" });
        else if (oldValue->second != newValue->second)
            changes.push_back({ DeclarationChangeKind::Changed, path, oldValue->second, newValue->second });
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
