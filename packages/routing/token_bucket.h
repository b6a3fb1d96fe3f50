#pragma once

// A token bucket on the time that its caller tells.
//
// Example:
//
//     TokenBucket link({ .tokensPerSecond = 3.75e6, .capacity = 3.75e6 });
//     if (link.hasTokens(now, bytes))
//         link.spend(bytes);

#include "base/base.h"
#include <algorithm>

namespace dragonflytray {

// TokenBucket limits a rate and allows a burst. Not thread-safe; constant time.
class TokenBucket {
public:
    struct Options {
        double tokensPerSecond { 1 }; // tokens that come with time
        double capacity { 1 }; // tokens kept at most
    };

    explicit TokenBucket(Options options)
        : options(options)
        , tokens(options.capacity)
    {
    }

    // hasTokens() says whether `wanted` tokens, or the whole capacity if that is less, are there at `now`.
    bool hasTokens(Instant now, double wanted)
    {
        this->refill(now);
        return this->tokens >= std::min(wanted, this->options.capacity);
    }

    // spend() takes tokens, also more than there are: the debt delays the next ones.
    void spend(double amount) { this->tokens -= amount; }

    // add() gives tokens up to the capacity.
    void add(double amount) { this->tokens = std::min(this->options.capacity, this->tokens + amount); }

    // reconfigure() changes rate and capacity and keeps the tokens that fit.
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
