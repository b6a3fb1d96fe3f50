#include "story/job_story.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr long waitOfNote = 500; // milliseconds; quick jobs have about as much to spare
    constexpr std::array<std::string_view, 7> changeEvents { "leadership-taken", "leadership-begun", "cell-reconciled", "leadership-lost", "store-lost", "store-regained", "write-retried" };

    bool isEarlier(const LogLine& a, const LogLine& b)
    {
        return a.time < b.time;
    }

    long countOf(const std::vector<LogLine>& lines, std::string_view event, std::string_view outcome = {})
    {
        return std::count_if(lines.begin(), lines.end(), [&](const LogLine& line) { return line.event == event && (outcome.empty() || line.outcome == outcome); });
    }

    std::string number(long value, const char* what)
    {
        return std::to_string(value) + " " + what;
    }

} // namespace

JobStory::JobStory(std::string job)
    : job(std::move(job))
{
}

void JobStory::add(const std::string& host, std::string_view text)
{
    if (text.find_first_not_of(" \t\r") == std::string_view::npos)
        return;
    auto line = parseLogLine(host, text);
    if (!line) {
        ++this->faults[line.error()];
        return;
    }
    if (line->outcome == "summed")
        ++this->summed[line->event];
    else if (this->isOwn(*line))
        this->own.push_back(std::move(*line));
    else if (std::find(changeEvents.begin(), changeEvents.end(), line->event) != changeEvents.end())
        this->changes.push_back(std::move(*line));
}

bool JobStory::isOwn(const LogLine& line) const
{
    return line.id == this->job || line.id.starts_with(this->job + ".");
}

std::vector<LogLine> JobStory::ownLines() const
{
    std::vector<LogLine> lines = this->own;
    std::stable_sort(lines.begin(), lines.end(), &isEarlier);
    return lines;
}

std::vector<LogLine> JobStory::lines() const
{
    std::vector<LogLine> lines = this->ownLines();
    if (lines.empty())
        return lines;
    const std::string first = lines.front().time;
    const std::string last = lines.back().time;
    std::copy_if(this->changes.begin(), this->changes.end(), std::back_inserter(lines), [&](const LogLine& line) { return line.time >= first && line.time <= last; });
    std::stable_sort(lines.begin(), lines.end(), &isEarlier);
    return lines;
}

long JobStory::longestAge(std::string_view event) const
{
    long longest = 0;
    for (const LogLine& line : this->own) {
        if (line.event == event)
            longest = std::max(longest, line.ageMilliseconds);
    }
    return longest;
}

StoryCause JobStory::cause() const
{
    struct Rule {
        StoryCause cause;
        bool isMet;
    };
    const std::vector<LogLine> lines = this->lines();
    const auto count = [&](std::string_view event, std::string_view outcome = {}) { return countOf(lines, event, outcome); };
    const bool isAccepted = count("job-accepted") + count("task-started") > 0;
    const long repeated = count("task-lost") + count("task-stopped") + count("task-ended", "failed") + count("task-ended", "lease-expired");
    const auto isSlow = [](const LogLine& line) { return line.event == "task-paced" && line.outcome != "100"; };
    const std::array rules {
        Rule { StoryCause::Refused, !isAccepted && count("job-refused") > 0 },
        Rule { StoryCause::Unclear, !isAccepted && count("job-unclear") > 0 },
        Rule { StoryCause::Failed, count("job-failed") > 0 },
        Rule { StoryCause::Cancelled, count("job-cancelled") > 0 },
        Rule { StoryCause::NotRecorded, count("job-completed") > 0 && count("write-retried") > 0 },
        Rule { StoryCause::LeaderChanged, isAccepted && count("leadership-taken") > 0 },
        Rule { StoryCause::RunsRepeated, repeated > 0 },
        Rule { StoryCause::Slowed, std::any_of(this->own.begin(), this->own.end(), isSlow) },
        Rule { StoryCause::WaitedForRoom, count("task-started") > 0 && this->longestAge("task-started") >= waitOfNote },
        Rule { StoryCause::InTime, count("job-completed") > 0 },
    };
    const auto* met = std::find_if(rules.begin(), rules.end(), [](const Rule& rule) { return rule.isMet; });
    return met == rules.end() ? StoryCause::NotKnown : met->cause;
}

std::vector<std::string> JobStory::remarks() const
{
    std::vector<std::string> remarks;
    for (const auto& entry : lineFaultNames) {
        if (this->faults[entry.value] > 0)
            remarks.push_back(number(this->faults[entry.value], "lines can't be read: ") + std::string(entry.name));
    }
    for (const auto& [event, times] : this->summed)
        remarks.push_back("lines of " + event + " were summed " + number(times, "times; some of this job may be missing"));
    const std::vector<LogLine> lines = this->ownLines();
    const auto started = std::find_if(lines.begin(), lines.end(), [](const LogLine& line) { return line.event == "task-ended"; });
    const bool isEndedBeforeAccepted = started != lines.end() && std::any_of(started, lines.end(), [](const LogLine& line) { return line.event == "job-accepted" && line.outcome == "committed"; });
    if (isEndedBeforeAccepted)
        remarks.push_back("the clocks of the hosts differ: a task ends before its job is accepted; the order of lines is not to be trusted");
    return remarks;
}

} // namespace dragonflytray
