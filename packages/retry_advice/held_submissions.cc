#include "retry_advice/held_submissions.h"

namespace dragonflytray {

void HeldSubmissions::hold(const HeldSubmission& submission)
{
    this->release(submission.job);
    this->submissions.emplace(submission.job, submission);
    this->byImportance.emplace(submission.urgency, submission.answerBy, submission.job);
    this->byTime.emplace(submission.answerBy, submission.job);
}

void HeldSubmissions::release(const JobId& job)
{
    const auto found = this->submissions.find(job);
    if (found == this->submissions.end())
        return;
    this->byImportance.erase({ found->second.urgency, found->second.answerBy, job });
    this->byTime.erase({ found->second.answerBy, job });
    this->submissions.erase(found);
}

std::vector<JobId> HeldSubmissions::takeHopeless(Instant nextTry)
{
    std::vector<JobId> hopeless;
    while (!this->byTime.empty() && this->isHopeless(this->byTime.begin()->first, nextTry)) {
        hopeless.push_back(this->byTime.begin()->second);
        this->release(hopeless.back());
    }
    return hopeless;
}

std::vector<JobId> HeldSubmissions::takeDue(Instant now, std::size_t limit)
{
    std::vector<JobId> due;
    for (auto next = this->byImportance.begin(); next != this->byImportance.end() && due.size() < limit; ++next) {
        const JobId& job = std::get<JobId>(*next);
        if (this->submissions.at(job).notBefore <= now)
            due.push_back(job);
    }
    for (const JobId& job : due)
        this->release(job);
    return due;
}

} // namespace dragonflytray
