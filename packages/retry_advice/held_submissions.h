#pragma once

// The order in which submissions with an unclear write are tried again.
//
// It answers this load: the writes of many submissions end without a result when the store falls silent, and all of their callers wait
// when it answers again. The store can't take all writes at once, so that the urgent queues come first, and then the callers whose time
// ends first. A caller for whom a try would come too late is told so at once.

#include "model/model.h"
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace dragonflytray {

// HeldSubmission is a job whose submission is to be written again.
struct HeldSubmission {
    JobId job;
    int urgency { 0 }; // of its queue; 0 is the most urgent
    Instant answerBy; // when the first of its callers must be answered
    Instant notBefore; // of the next try
};

// HeldSubmissions keeps submissions between two tries. Pure: the time is passed in. Not thread-safe. Commands other than takeDue()
// are logarithmic in the number of submissions, for each one that they handle.
class HeldSubmissions {
public:
    struct Options {
        Duration shortestTry { std::chrono::milliseconds(100) }; // a write takes up to 60 ms between regions, and some in the store
    };

    explicit HeldSubmissions(Options options)
        : options(options)
    {
    }

    // Commands.

    // hold() adds a submission, or replaces that of the same job.
    void hold(const HeldSubmission& submission);

    // release() removes the submission of a job, if there is one.
    void release(const JobId& job);

    // takeHopeless() removes and returns the submissions with a caller that could not be answered in time if the next try began at
    // `nextTry`.
    std::vector<JobId> takeHopeless(Instant nextTry);

    // takeDue() removes and returns up to `limit` submissions that may be tried now, the most important first. Linear in the number
    // of submissions that wait for `notBefore`.
    std::vector<JobId> takeDue(Instant now, std::size_t limit);

    // Queries.

    std::size_t size() const { return this->submissions.size(); }

    // isHopeless() returns true if a caller could not be answered in time by a try that begins at `nextTry`.
    bool isHopeless(Instant answerBy, Instant nextTry) const { return answerBy < nextTry + this->options.shortestTry; }

private:
    Options options;
    std::map<JobId, HeldSubmission> submissions;
    std::set<std::tuple<int, Instant, JobId>> byImportance;
    std::set<std::pair<Instant, JobId>> byTime; // answerBy
};

} // namespace dragonflytray
