#pragma once

// The story of one job, from the lines of several hosts.

#include "story/log_line.h"
#include <map>
#include <vector>

namespace dragonflytray {

// StoryCause is the first of these that the lines show.
enum class StoryCause {
    Refused, // the job was not taken
    Unclear, // the store did not say whether it has the job
    Failed, // runs failed as often as the queue allows
    Cancelled,
    NotRecorded, // done, but the store did not take the end at once
    LeaderChanged, // another host began to lead in between
    RunsRepeated, // runs failed, were stopped or were lost
    Slowed, // runs were paced for the tasks beside them
    WaitedForRoom,
    InTime, // completed, with nothing of note
    NotKnown, // no line names the job, or none says how it ended
};

inline constexpr NameTable storyCauseNames { std::to_array<NameEntry<StoryCause>>({
    { StoryCause::Refused, "refused" },
    { StoryCause::Unclear, "unclear" },
    { StoryCause::Failed, "failed" },
    { StoryCause::Cancelled, "cancelled" },
    { StoryCause::NotRecorded, "not-recorded" },
    { StoryCause::LeaderChanged, "leader-changed" },
    { StoryCause::RunsRepeated, "runs-repeated" },
    { StoryCause::Slowed, "slowed" },
    { StoryCause::WaitedForRoom, "waited-for-room" },
    { StoryCause::InTime, "in-time" },
    { StoryCause::NotKnown, "not-known" },
}) };
static_assert(storyCauseNames.isWhole(StoryCause::NotKnown));

// JobStory collects lines in any order. Not thread-safe.
class JobStory {
public:
    explicit JobStory(std::string job);

    // add() takes one line of text that `host` wrote, whatever it is about.
    void add(const std::string& host, std::string_view text);

    // lines() are those of the job, and what changed around it between the first and the last, by time.
    std::vector<LogLine> lines() const;

    // cause() is why the job ended as it did, as far as the lines say.
    StoryCause cause() const;

    // remarks() say what weakens the story: lines that can't be read, lines that were summed, clocks that differ.
    std::vector<std::string> remarks() const;

private:
    bool isOwn(const LogLine& line) const;
    long longestAge(std::string_view event) const;
    std::vector<LogLine> ownLines() const;

    std::string job;
    std::vector<LogLine> own;
    std::vector<LogLine> changes; // of leaders and of the store
    std::map<std::string, long> summed; // lines left out, by event
    EnumArray<LineFault, long, lineFaultNames.size()> faults;
};

} // namespace dragonflytray
