#pragma once

// What came back of a load run, stream by stream. Latencies count from the moment at which a request was
// due, so that a load that falls behind does not hide slow answers.
//
// Example:
//
//     LoadReport report;
//     report.add("quick", { .end = LoadEnd::Answered, .latency = std::chrono::milliseconds(3) });
//     std::cout << report.text();

#include "model/model.h"
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dragonflytray {

// LoadEnd is how one request of a run ended.
enum class LoadEnd {
    Answered,
    NotRun,
    Unknown,
    NoAnswer, // no HTTP answer at all
    Mismatched, // an answer to another request, or not whole
};

inline constexpr NameTable loadEndNames { std::to_array<NameEntry<LoadEnd>>({
    { LoadEnd::Answered, "answered" },
    { LoadEnd::NotRun, "not-run" },
    { LoadEnd::Unknown, "unknown" },
    { LoadEnd::NoAnswer, "no-answer" },
    { LoadEnd::Mismatched, "mismatched" },
}) };
static_assert(loadEndNames.isWhole(LoadEnd::Mismatched));

// LoadResult is the end of one request. `reason` is empty for an answer.
struct LoadResult {
    LoadEnd end { LoadEnd::NoAnswer };
    Duration latency { 0 };
    std::string reason;
};

// StreamReport sums up one stream.
struct StreamReport {
    std::size_t sent { 0 };
    EnumArray<LoadEnd, std::size_t, loadEndNames.size()> ends;
    std::map<std::string, std::size_t> reasons;
    std::vector<Duration> latencies; // of answers only
    Duration length { 0 };

    // quantile() is the latency below which the share `q` of the answers lies; 0 without answers.
    Duration quantile(double q) const;

    // goodput() is answers a second.
    double goodput() const;
};

// LoadReport holds the reports of all streams of a run. Not thread-safe.
class LoadReport {
public:
    // declare() names a stream and the time for which it sends.
    void declare(const std::string& stream, Duration length);

    // add() counts one result.
    void add(const std::string& stream, LoadResult result);

    // find() is the report of one stream, or nothing.
    const StreamReport* find(const std::string& stream) const;

    // total() is the number of results so far.
    std::size_t total() const { return this->count; }

    // text() is a table for a person; json() the same for a program.
    std::string text() const;
    nlohmann::json json() const;

private:
    std::map<std::string, StreamReport> streams;
    std::size_t count { 0 };
};

} // namespace dragonflytray
