#include "run_times/run_times.h"

#include <algorithm>
#include <cmath>

namespace dragonflytray {

std::size_t RunTimes::bucketOf(Duration duration)
{
    const double milliseconds = std::max(1000 * toSeconds(duration), 1.0);
    return std::min(static_cast<std::size_t>(std::log2(milliseconds) * bucketsPerDoubling), bucketCount - 1);
}

Duration RunTimes::middleOf(std::size_t bucket)
{
    const double milliseconds = std::exp2((static_cast<double>(bucket) + 0.5) / bucketsPerDoubling);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

void RunTimes::halve(Entry& entry)
{
    entry.total = 0;
    for (std::uint32_t& count : entry.counts) {
        count /= 2;
        entry.total += count;
    }
}

void RunTimes::makeRoom()
{
    const auto oldest = std::min_element(this->entries.begin(), this->entries.end(), [](const auto& a, const auto& b) { return a.second.lastRecordedAt < b.second.lastRecordedAt; });
    if (oldest != this->entries.end())
        this->entries.erase(oldest);
}

void RunTimes::record(const RunTimeKey& key, Duration duration, Instant now)
{
    if (this->entries.size() >= this->options.maxKeys && !this->entries.contains(key))
        this->makeRoom();
    Entry& entry = this->entries[key];
    if (entry.total >= this->options.maxObservations)
        halve(entry);
    ++entry.counts[bucketOf(duration)];
    ++entry.total;
    entry.lastRecordedAt = now;
}

std::optional<Duration> RunTimes::quantile(const RunTimeKey& key, double share) const
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || found->second.total < this->options.minObservations)
        return std::nullopt;
    const Entry& entry = found->second;
    const auto rank = std::max(static_cast<std::uint32_t>(std::ceil(share * entry.total)), 1U);
    std::uint32_t sum = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < bucketCount; ++bucket) {
        sum += entry.counts[bucket];
        if (sum >= rank)
            break;
    }
    return middleOf(bucket);
}

Duration RunTimes::expected(const RunTimeKey& key, Duration estimate) const
{
    if (estimate == Duration(0))
        return this->quantile(key, 0.5).value_or(Duration(0));
    const auto least = this->quantile(key, this->options.leastShare);
    if (!least)
        return estimate;
    const Duration usual = std::clamp(estimate, *least, *this->quantile(key, this->options.mostShare));
    const auto shortest = std::chrono::duration_cast<Duration>(estimate / this->options.maxCorrection);
    const auto longest = std::chrono::duration_cast<Duration>(estimate * this->options.maxCorrection);
    return std::clamp(usual, shortest, longest);
}

} // namespace dragonflytray
