#pragma once

// A token bucket rate limiter that gets the current time from its caller.
//
// Example:
//
//     TokenBucket link({ .tokensPerSecond = 3.75e6, .capacity = 3.75e6 });
//     if (link.hasTokens(now, bytes))
//         link.spend(bytes);

#include "base/base.h"
#include <algorithm>

namespace dragonflytray {

// TokenBucket limits a rate and allows bursts up to its capacity. It starts full. Constant time. Not thread-safe.
class TokenBucket {
public:
    struct Options {
        double tokensPerSecond { 1 }; // refill rate
        double capacity { 1 }; // most tokens that the bucket holds
    };

    explicit TokenBucket(Options options)
        : options(options)
        , tokens(options.capacity)
    {
    }

    // hasTokens() returns true if `wanted` tokens, or the whole capacity if that is less, are available at `now`.
    bool hasTokens(Instant now, double wanted)
    {
        this->refill(now);
        return this->tokens >= std::min(wanted, this->options.capacity);
    }

    // spend() removes tokens. The balance may become negative, which delays the next hasTokens().
    void spend(double amount) { this->tokens -= amount; }

    // add() adds tokens up to the capacity.
    void add(double amount) { this->tokens = std::min(this->options.capacity, this->tokens + amount); }

    // reconfigure() changes the rate and the capacity, and discards tokens above the new capacity.
    void reconfigure(Options next)
    {
        this->options = next;
        this->tokens = std::min(this->tokens, next.capacity);
    }

private:
    void refill(Instant now)
    {
        if (now > this->refilledAt)
            this->add(toSeconds(now - this->refilledAt) * this->options.tokensPerSecond);
        this->refilledAt = std::max(this->refilledAt, now);
    }

    Options options;
    double tokens;
    Instant refilledAt;
};

} // namespace dragonflytray
