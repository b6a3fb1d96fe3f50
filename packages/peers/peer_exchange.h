#pragma once

// Sends heartbeats, share reports and share grants to other entry hosts and takes theirs, on one completion
// queue run by one duty.
//
// Example:
//
//     PeerExchange exchange({ .endpoint = { "127.0.0.1", 0 } }, [&](PeerMessage message) { ... });
//     auto bound = exchange.start();
//     exchange.run(); // until stop()

#include "membership/membership.h"
#include "shares/shares.h"
#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace dragonflytray {

// PeerMessage is what other entry hosts say.
using PeerMessage = std::variant<PeerHeartbeat, ShareReport, ShareGrant>;

// PeerExchange is both ends of the protocol between entry hosts. post() and stop() are thread-safe;
// everything else belongs to the thread that calls run().
class PeerExchange {
public:
    struct Options {
        Endpoint endpoint; // port 0: any free port
        Duration timeout { std::chrono::seconds(1) }; // of one message
        Duration keepaliveTime { std::chrono::seconds(5) }; // of silence before a connection is probed
        Duration keepaliveTimeout { std::chrono::seconds(2) }; // without an answer the connection is dropped
    };
    using Heard = std::function<void(PeerMessage)>;

    PeerExchange(Options options, Heard heard);
    ~PeerExchange();

    // start() listens; the bound endpoint, or a sentence that says why not. Call it before run().
    tl::expected<Endpoint, std::string> start();

    // run() serves events until stop() is called.
    void run();

    // stop() ends run() once incoming calls are cancelled and outgoing ones have ended. What is posted or sent
    // after it is dropped, like a message to an unreachable peer.
    void stop();

    // post() runs `action` on the thread of run().
    void post(std::function<void()> action);

    // send() sends one heartbeat; a failure is silence. What was sent last is also the answer to the
    // heartbeats of others.
    void send(const SendHeartbeat& message);

    // Both send one message; a failure is silence.
    void send(const SendShareReport& message);
    void send(const SendShareGrant& message);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace dragonflytray
