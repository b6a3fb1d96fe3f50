#include "retry_advice/retry_advisor.h"

#include <algorithm>
#include <iterator>

namespace dragonflytray {

namespace {

    // Part of a slot that callers of each urgency may fill, so that those who are refused later but are more urgent still find room in
    // the first slots.
    constexpr std::array<double, leastUrgent + 1> slotShares { 1, 0.75, 0.5, 0.25 };

} // namespace

const std::array<RetryAdvisor::EarliestReturn, adviceReasonNames.size()> RetryAdvisor::earliestReturns {
    &RetryAdvisor::expectedEnd,
    &RetryAdvisor::earliestRetry,
    &RetryAdvisor::earliestRetry,
    &RetryAdvisor::latestRetry,
};

RetryAdvisor::RetryAdvisor(Options options)
    : options(options)
{
    require(options.resolution > Duration(0) && options.slot > Duration(0), "RetryAdvisor: resolution and slot must be positive");
    require(options.longestRetryAfter >= options.resolution, "RetryAdvisor: longestRetryAfter must not be less than the resolution");
}

void RetryAdvisor::storeLost(Instant now)
{
    if (!this->lostAt)
        this->lostAt = now;
}

void RetryAdvisor::storeRegained(Instant now)
{
    if (!this->lostAt)
        return;
    this->outages.push_back(now - *this->lostAt);
    this->lostAt.reset();
    if (this->outages.size() > this->options.maxOutages)
        this->outages.pop_front();
}

Instant RetryAdvisor::expectedEnd(Instant now) const
{
    if (!this->lostAt)
        return now;
    const Duration age = now - *this->lostAt;
    std::vector<Duration> longer;
    std::copy_if(this->outages.begin(), this->outages.end(), std::back_inserter(longer), [age](Duration outage) { return outage > age; });
    if (longer.empty()) {
        // The longest of n equally distributed values is exceeded by 1/n of it on average; this outage is one of them.
        const auto outageCount = static_cast<Duration::rep>(this->outages.size() + 1);
        return now + age / outageCount;
    }
    const auto middle = longer.begin() + static_cast<std::ptrdiff_t>(longer.size() / 2);
    std::nth_element(longer.begin(), middle, longer.end());
    return *this->lostAt + *middle;
}

Instant RetryAdvisor::earliestRetry(Instant now) const
{
    return std::max(this->expectedEnd(now), now + this->options.resolution);
}

Duration RetryAdvisor::roundedUp(Duration time) const
{
    const Duration resolution = this->options.resolution;
    const auto steps = (time + resolution - Duration(1)) / resolution;
    return std::clamp<Duration::rep>(steps, 1, this->options.longestRetryAfter / resolution) * resolution;
}

std::size_t RetryAdvisor::callersAt(Instant time) const
{
    const auto found = this->callersBySlot.find(this->slotAt(time));
    return found == this->callersBySlot.end() ? 0 : found->second;
}

std::size_t RetryAdvisor::roomFor(int urgency) const
{
    const double share = slotShares[static_cast<std::size_t>(std::clamp(urgency, mostUrgent, leastUrgent))];
    const double room = this->options.returnsPerSecond * toSeconds(this->options.slot) * share;
    return std::max<std::size_t>(1, static_cast<std::size_t>(room));
}

Duration RetryAdvisor::advise(AdviceReason reason, int urgency, Instant now)
{
    this->callersBySlot.erase(this->callersBySlot.begin(), this->callersBySlot.lower_bound(this->slotAt(now)));
    const std::size_t room = this->roomFor(urgency);
    const Instant earliest = (this->*earliestReturns[indexOf(reason)])(now);
    Duration advice = this->roundedUp(earliest - now);
    for (Duration later = advice; this->callersAt(now + advice) >= room && later <= this->options.longestRetryAfter; later += this->options.resolution) {
        if (this->callersAt(now + later) < this->callersAt(now + advice))
            advice = later;
    }
    ++this->callersBySlot[this->slotAt(now + advice)];
    ++this->counts[reason];
    this->longest = std::max(this->longest, advice);
    return advice;
}

} // namespace dragonflytray
