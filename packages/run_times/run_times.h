#pragma once

// Observed run times of tasks, by which callers' estimates are corrected.
//
// It answers estimates that are wrong by a factor of up to about two, always in the same direction for one kind of task, so that jobs
// get an objective and a place in the order that their run times don't justify. A few tasks of a kind take several times as long as
// the others and say nothing about these, so that quantiles are kept instead of means.
//
// Example:
//
//     RunTimes runTimes({});
//     const RunTimeKey key { .queue = "urgent", .step = 0, .image = "render" };
//     runTimes.record(key, took, now);
//     const Duration expected = runTimes.expected(key, step.estimate);

#include "base/base.h"
#include <array>
#include <compare>
#include <map>
#include <optional>
#include <string>

namespace dragonflytray {

// RunTimeKey names a kind of tasks.
struct RunTimeKey {
    std::string queue;
    std::uint32_t step { 0 }; // index in the job
    std::string image; // program of the task; may be empty

    auto operator<=>(const RunTimeKey&) const = default;
};

// RunTimes keeps the run times of tasks that have ended as done. Pure: the time is passed in. Not thread-safe. A key takes about half
// a kilobyte. Nothing is stored: a new leader goes by the callers' estimates until it has observed Options::minObservations runs.
class RunTimes {
public:
    struct Options {
        std::size_t maxKeys { 256 }; // of several kinds of tasks in each of some tens of queues; together 150 KB of a host with 160 MB
        std::uint32_t minObservations { 16 }; // of a key, before they count; the tenth of the runs that is left out at each end has one then
        std::uint32_t maxObservations { 512 }; // of a key, after which all of them count half, so that recent ones prevail
        double leastShare { 0.1 }; // of the runs, that may be shorter than an estimate that is kept
        double mostShare { 0.9 }; // the same, that are not longer
        double maxCorrection { 2 }; // factor by which estimates are wrong; a larger one would be a task of another size under the same key
    };

    explicit RunTimes(Options options)
        : options(options)
    {
    }

    // Commands.

    // record() adds the run time of a task that has ended as done. A new key replaces the one that was recorded least recently when
    // there are Options::maxKeys. Logarithmic in the keys; linear for a new one.
    void record(const RunTimeKey& key, Duration duration, Instant now);

    // clear() drops everything.
    void clear() { this->entries.clear(); }

    // Queries. Logarithmic in the keys.

    // expected() returns the run time to expect of a task. The caller's estimate prevails while too few runs are observed and
    // wherever it is within the usual run times of the key, from Options::leastShare to mostShare of the runs; otherwise it is
    // moved to the nearest of these, but by no more than Options::maxCorrection. Without an estimate (0) it is the median, or 0.
    Duration expected(const RunTimeKey& key, Duration estimate) const;

    // quantile() returns the run time that a share of the runs does not exceed, within a tenth; nothing while too few are observed.
    std::optional<Duration> quantile(const RunTimeKey& key, double share) const;

    // size() returns the number of keys.
    std::size_t size() const { return this->entries.size(); }

private:
    static constexpr std::size_t bucketsPerDoubling = 4;
    static constexpr std::size_t bucketCount = 27 * bucketsPerDoubling; // from a millisecond to a day and a half

    struct Entry {
        std::array<std::uint32_t, bucketCount> counts {}; // of run times by their logarithm
        std::uint32_t total { 0 };
        Instant lastRecordedAt {};
    };

    static std::size_t bucketOf(Duration duration);
    static Duration middleOf(std::size_t bucket);
    static void halve(Entry& entry);
    void makeRoom();

    Options options;
    std::map<RunTimeKey, Entry> entries;
};

} // namespace dragonflytray
