#pragma once

// The calls to one worker that wait for a connection, in the order of what they protect: stops, then starts, then changes of
// speed. It answers calls that come faster than the worker takes them.
//
// Example:
//
//     CallLane<TaskCall> lane({ .maxInFlight = 4 });
//     lane.push(CallImportance::Stop, run, std::move(call));
//     while (auto next = lane.next())
//         send(std::move(*next));
//     ...
//     lane.ended();

#include "base/base.h"
#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

namespace dragonflytray {

// CallImportance orders the calls of a lane; the first one is sent first.
enum class CallImportance {
    Stop, // frees room, and protects what runs elsewhere
    Start,
    Speed, // of a run; a newer one replaces one that waits
};

inline constexpr NameTable callImportanceNames { std::to_array<NameEntry<CallImportance>>({
    { CallImportance::Stop, "stop" },
    { CallImportance::Start, "start" },
    { CallImportance::Speed, "speed" },
}) };
static_assert(callImportanceNames.isWhole(CallImportance::Speed));

// CallLane holds calls about runs that `Key` identifies. Not thread-safe.
template <typename Key, typename Call>
class CallLane {
public:
    struct Options {
        std::size_t maxInFlight { 4 };
        std::size_t maxWaiting { 256 }; // of each importance
    };

    explicit CallLane(Options options)
        : options(options)
    {
    }

    // push() adds a call. It returns the call that is dropped for it, if any: a change of speed of the same run that waits, or
    // `call` itself if the lane is full. Linear in the changes of speed that wait, else constant.
    std::optional<Call> push(CallImportance importance, const Key& key, Call call)
    {
        std::deque<Entry>& queue = this->waiting[indexOf(importance)];
        if (importance == CallImportance::Speed) {
            for (Entry& entry : queue) {
                if (entry.first == key)
                    return std::exchange(entry.second, std::move(call));
            }
        }
        if (queue.size() >= this->options.maxWaiting)
            return call;
        queue.emplace_back(key, std::move(call));
        return std::nullopt;
    }

    // next() removes and returns the call to send now, and counts it as in flight; nothing if none waits or too many are in flight.
    std::optional<Call> next()
    {
        if (this->inFlight >= this->options.maxInFlight)
            return std::nullopt;
        for (std::deque<Entry>& queue : this->waiting) {
            if (queue.empty())
                continue;
            std::optional<Call> call(std::move(queue.front().second));
            queue.pop_front();
            ++this->inFlight;
            return call;
        }
        return std::nullopt;
    }

    // ended() reports that a call of next() is not in flight any more.
    void ended() { --this->inFlight; }

    // isIdle() says whether no call waits or is in flight.
    bool isIdle() const
    {
        for (const std::deque<Entry>& queue : this->waiting) {
            if (!queue.empty())
                return false;
        }
        return this->inFlight == 0;
    }

private:
    using Entry = std::pair<Key, Call>;

    Options options;
    std::array<std::deque<Entry>, callImportanceNames.size()> waiting;
    std::size_t inFlight { 0 };
};

} // namespace dragonflytray
