#pragma once

// The specs of jobs that an agent keeps for a leader, so that each crosses once. Both ends hold one and add the same specs in the
// same order, so that the leader knows which the agent still has.
//
// Example:
//
//     SpecCache specs({ .maxBytes = 2 << 20 });
//     specs.add(job, spec);
//     if (const std::string* known = specs.find(job))
//         ...

#include "scheduling/job_types.h"
#include <deque>

namespace dragonflytray {

// SpecCache drops the oldest specs beyond its limit. Not thread-safe.
class SpecCache {
public:
    struct Options {
        std::size_t maxBytes { 2 << 20 };
        bool keepsText { true }; // false: find() returns an empty text
    };

    explicit SpecCache(Options options)
        : options(options)
    {
    }

    // add() adds the spec of a job; a job that is there stays where it is. Logarithmic in the specs.
    void add(const JobId& job, const std::string& spec)
    {
        if (!this->specs.emplace(job, this->options.keepsText ? spec : std::string()).second)
            return;
        this->order.emplace_back(job, spec.size());
        this->bytes += spec.size();
        while (this->bytes > this->options.maxBytes && this->order.size() > 1) {
            this->bytes -= this->order.front().second;
            this->specs.erase(this->order.front().first);
            this->order.pop_front();
        }
    }

    // find() returns the spec of a job, or null. Logarithmic in the specs.
    const std::string* find(const JobId& job) const
    {
        const auto found = this->specs.find(job);
        return found == this->specs.end() ? nullptr : &found->second;
    }

    void clear()
    {
        this->specs.clear();
        this->order.clear();
        this->bytes = 0;
    }

private:
    Options options;
    std::map<JobId, std::string> specs;
    std::deque<std::pair<JobId, std::size_t>> order; // with the size of each
    std::size_t bytes { 0 };
};

} // namespace dragonflytray
