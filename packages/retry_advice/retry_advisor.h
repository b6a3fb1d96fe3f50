#pragma once

// When a refused caller should come back.
//
// It answers this load: the store is silent for seconds, and every submission of that time is refused. Callers that are all told the
// same time return in a burst to a store that has just recovered, and callers that are told a time before the end of the outage use up
// their few attempts. Callers are therefore told the expected end of the outage, and are spread from there over time slots, at the rate
// at which a host can serve them. It also spreads the callers that a host refuses for its own limits while the store answers.

#include "model/model.h"
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace dragonflytray {

// AdviceReason is why a caller has to come back.
enum class AdviceReason {
    StoreUnavailable, // for an outage, or for this call alone
    TooManyCalls, // wait for the store
    NotReady, // this host has not read everything yet that it needs
    LimitReached, // a limit that holds for minutes
};

inline constexpr NameTable adviceReasonNames { std::to_array<NameEntry<AdviceReason>>({
    { AdviceReason::StoreUnavailable, "store-unavailable" },
    { AdviceReason::TooManyCalls, "too-many-calls" },
    { AdviceReason::NotReady, "not-ready" },
    { AdviceReason::LimitReached, "limit-reached" },
}) };
static_assert(adviceReasonNames.isWhole(AdviceReason::LimitReached));

using AdviceCounts = EnumArray<AdviceReason, std::uint64_t, adviceReasonNames.size()>;

// The range of the urgency of a queue. A larger number counts as leastUrgent.
inline constexpr int mostUrgent = 0;
inline constexpr int leastUrgent = 3;

// RetryAdvisor knows the outages of the store as one host has seen them, and how many callers it has told to return in each coming
// slot. Pure: the time is passed in, and must not go back. Not thread-safe. After a restart nothing is known: callers are told one
// second, or longer as the outage gets older.
class RetryAdvisor {
public:
    struct Options {
        Duration longestRetryAfter { 0 }; // no advice is longer; not less than `resolution`
        Duration resolution { std::chrono::seconds(1) }; // advice is a multiple of it, as callers are told whole seconds
        Duration slot { std::chrono::milliseconds(500) };
        double returnsPerSecond { 20 }; // of one host; some tens of hosts share partitions that take some hundred transactions per second each
        std::size_t maxOutages { 16 }; // remembered; bounds memory
    };

    explicit RetryAdvisor(Options options);

    // Commands.

    // storeLost() begins an outage, unless one has begun. storeRegained() ends it and remembers how long it took.
    void storeLost(Instant now);
    void storeRegained(Instant now);

    // advise() returns the time after which a caller of a queue with this urgency should come back, and counts the caller. The time is
    // the first one at which the cause should be over and the slot has room for that urgency. If no slot up to longestRetryAfter has
    // room, it is the one with the fewest callers. Linear in longestRetryAfter / resolution.
    Duration advise(AdviceReason reason, int urgency, Instant now);

    // Queries.

    // expectedEnd() returns when the store should answer again; `now` if it does. Of the earlier outages, those count that took longer
    // than this one has taken yet: the middle one of them tells the end. Linear in maxOutages.
    Instant expectedEnd(Instant now) const;

    // told() is the number of callers that were advised, and longestAdvice() the longest advice, since the start of the process.
    const AdviceCounts& told() const { return this->counts; }
    Duration longestAdvice() const { return this->longest; }

private:
    using EarliestReturn = Instant (RetryAdvisor::*)(Instant) const;
    static const std::array<EarliestReturn, adviceReasonNames.size()> earliestReturns;

    Instant earliestRetry(Instant now) const;
    Instant latestRetry(Instant now) const { return now + this->options.longestRetryAfter; }

    // roundedUp() returns a multiple of the resolution, from one up to longestRetryAfter.
    Duration roundedUp(Duration time) const;
    std::int64_t slotAt(Instant time) const { return time.time_since_epoch() / this->options.slot; }
    std::size_t callersAt(Instant time) const;
    std::size_t roomFor(int urgency) const;

    Options options;
    std::optional<Instant> lostAt;
    std::deque<Duration> outages; // that have ended, oldest first
    std::map<std::int64_t, std::size_t> callersBySlot; // told to return in it; no past slots
    AdviceCounts counts;
    Duration longest { 0 };
};

} // namespace dragonflytray
