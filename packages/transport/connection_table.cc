#include "transport/connection_table.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    // A response that fits into the kernel's buffers is written at once; one that takes longer is not being read.
    constexpr Duration unreadResponseAge = std::chrono::seconds(2);

    constexpr Duration shortageDuration = std::chrono::minutes(1);
    constexpr std::size_t shortageRoom = 16; // descriptors for other users

} // namespace

ConnectionTable::ConnectionTable(Options options)
    : options(options)
{
}

ConnectionId ConnectionTable::open(Instant now)
{
    const ConnectionId id { ++this->lastId };
    Entries& idle = this->phases[ConnectionPhase::Idle];
    idle.push_back({ .id = id, .phase = ConnectionPhase::Idle, .since = now });
    this->places.emplace(id, std::prev(idle.end()));
    return id;
}

void ConnectionTable::enter(ConnectionId id, ConnectionPhase phase, Instant now)
{
    const auto place = this->places.find(id);
    if (place == this->places.end())
        return;
    Entry& entry = *place->second;
    this->received -= std::exchange(entry.received, 0);
    Entries& to = this->phases[phase];
    to.splice(to.end(), this->phases[entry.phase], place->second);
    entry.phase = phase;
    entry.since = now;
}

void ConnectionTable::setReceived(ConnectionId id, std::size_t bytes)
{
    const auto place = this->places.find(id);
    if (place == this->places.end() || place->second->phase != ConnectionPhase::Receiving)
        return;
    this->received -= std::exchange(place->second->received, bytes);
    this->received += bytes;
}

void ConnectionTable::close(ConnectionId id)
{
    const auto place = this->places.find(id);
    if (place == this->places.end())
        return;
    this->received -= place->second->received;
    this->phases[place->second->phase].erase(place->second);
    this->places.erase(place);
}

void ConnectionTable::noteShortage(Instant now)
{
    this->shortageLimit = std::max(this->size(), shortageRoom + 1) - shortageRoom;
    this->shortageEnd = now + shortageDuration;
}

ConnectionCounts ConnectionTable::counts() const
{
    ConnectionCounts result {};
    for (const auto& [phase, name] : connectionPhaseNames)
        result[phase] = this->phases[phase].size();
    return result;
}

std::vector<ConnectionId> ConnectionTable::inPhaseSince(ConnectionPhase phase, Instant limit) const
{
    std::vector<ConnectionId> result;
    for (const Entry& entry : this->phases[phase]) {
        if (entry.since > limit)
            break;
        result.push_back(entry.id);
    }
    return result;
}

bool ConnectionTable::isFull(Instant now) const
{
    const bool isShort = this->shortageEnd && now < *this->shortageEnd;
    return this->size() >= (isShort ? std::min(this->shortageLimit, this->options.connectionLimit) : this->options.connectionLimit);
}

std::optional<ConnectionId> ConnectionTable::replaceable(Instant now) const
{
    if (const Entry* closing = this->oldestIn(ConnectionPhase::Closing))
        return closing->id;
    const Entry* idle = this->oldestIn(ConnectionPhase::Idle);
    const Entry* receiving = this->oldestIn(ConnectionPhase::Receiving);
    if (idle && (!receiving || idle->since <= receiving->since))
        return idle->id;
    if (receiving)
        return receiving->id;
    const Entry* responding = this->oldestIn(ConnectionPhase::Responding);
    if (responding && now >= responding->since + unreadResponseAge)
        return responding->id;
    return std::nullopt;
}

std::optional<ConnectionId> ConnectionTable::overBudget() const
{
    if (this->received <= this->options.receiveBudget)
        return std::nullopt;
    return this->oldestIn(ConnectionPhase::Receiving)->id;
}

const ConnectionTable::Entry* ConnectionTable::oldestIn(ConnectionPhase phase) const
{
    const Entries& entries = this->phases[phase];
    return entries.empty() ? nullptr : &entries.front();
}

} // namespace dragonflytray
