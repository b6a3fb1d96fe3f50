#pragma once

// Sends heartbeats to other entry hosts and answers theirs, on one completion queue run by one duty.
//
// Example:
//
//     PeerExchange exchange({ .endpoint = { "127.0.0.1", 0 } }, [&](PeerHeartbeat heartbeat) { ... });
//     auto bound = exchange.start();
//     exchange.run(); // until stop()

#include "membership/membership.h"
#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace dragonflytray {

// PeerExchange is both ends of the protocol between entry hosts. post() and stop() are thread-safe;
// everything else belongs to the thread that calls run().
class PeerExchange {
public:
    struct Options {
        Endpoint endpoint; // port 0: any free port
        Duration timeout { std::chrono::seconds(1) }; // of one heartbeat
    };
    using Heard = std::function<void(PeerHeartbeat)>;

    PeerExchange(Options options, Heard heard);
    ~PeerExchange();

    // start() listens; the bound endpoint, or a sentence that says why not. Call it before run().
    tl::expected<Endpoint, std::string> start();

    // run() serves events until stop() is called.
    void run();

    // stop() ends run() once calls in progress are cancelled.
    void stop();

    // post() runs `action` on the thread of run().
    void post(std::function<void()> action);

    // send() sends one heartbeat; a failure is silence. What was sent last is also the answer to the
    // heartbeats of others.
    void send(const SendHeartbeat& message);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace dragonflytray
