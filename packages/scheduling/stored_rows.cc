#include "scheduling/stored_rows.h"

#include <algorithm>
#include <charconv>

namespace dragonflytray {

namespace {

    // Offset basis and prime of the 32-bit FNV-1a hash.
    constexpr std::uint32_t fnvOffsetBasis = 2166136261U;
    constexpr std::uint32_t fnvPrime = 16777619U;

    constexpr char rosterPartSeparator = '/';

    std::uint32_t hashOf(const std::string& text)
    {
        std::uint32_t hash = fnvOffsetBasis;
        for (const char character : text)
            hash = (hash ^ static_cast<unsigned char>(character)) * fnvPrime;
        return hash;
    }

} // namespace

void TaskCrashes::settle(std::uint64_t run)
{
    this->settledRun = std::max(this->settledRun, run);
    this->runs.erase(this->runs.begin(), this->runs.upper_bound(this->settledRun));
    this->provenRuns.erase(this->provenRuns.begin(), this->provenRuns.upper_bound(this->settledRun));
}

void TaskCrashes::merge(const TaskCrashes& other)
{
    this->runs.insert(other.runs.begin(), other.runs.end());
    this->provenRuns.insert(other.provenRuns.begin(), other.provenRuns.end());
    this->settle(other.settledRun);
}

std::uint32_t partitionOf(const StoredRowKey& key)
{
    if (key.kind == StoredRowKind::CellLease || key.kind == StoredRowKind::WorkerRoster)
        return leasePartition;
    return hashOf(key.name) % jobPartitions;
}

std::uint32_t rosterPartOf(const WorkerId& worker)
{
    return hashOf(worker.value()) % rosterParts;
}

StoredRowKey rosterKey(const RosterPart& part)
{
    return { StoredRowKind::WorkerRoster, part.cell.value() + rosterPartSeparator + std::to_string(part.number) };
}

std::optional<RosterPart> parseRosterKey(const StoredRowKey& key)
{
    const std::size_t separator = key.name.rfind(rosterPartSeparator);
    if (key.kind != StoredRowKind::WorkerRoster || separator == std::string::npos)
        return std::nullopt;
    const char* begin = key.name.data() + separator + 1;
    const char* end = key.name.data() + key.name.size();
    std::uint32_t number = rosterParts;
    const auto [rest, error] = std::from_chars(begin, end, number);
    if (error != std::errc() || rest != end || number >= rosterParts)
        return std::nullopt;
    return RosterPart { CellName(key.name.substr(0, separator)), number };
}

} // namespace dragonflytray
