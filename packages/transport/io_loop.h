#pragma once

// One event loop, run by one duty thread.

#include "base/base.h"
#include <functional>
#include <memory>

namespace dragonflytray {

// IoLoop waits for sockets, timers and posted functions. post() and stop() are thread-safe; everything
// else belongs to the thread that runs the loop.
class IoLoop {
public:
    struct Internals;

    IoLoop();
    ~IoLoop();
    IoLoop(const IoLoop&) = delete;
    IoLoop& operator=(const IoLoop&) = delete;

    // run() serves events until stop() is called.
    void run();

    // stop() makes run() return soon. What is posted afterwards is dropped.
    void stop();

    // restart() lets run() be called again after stop().
    void restart();

    // post() runs `action` on the loop's thread.
    void post(std::function<void()> action);

    // after() runs `action` on the loop's thread once `delay` has passed.
    void after(Duration delay, std::function<void()> action);

    // internals() is for this library's own sources.
    Internals& internals() { return *this->implementation; }

private:
    std::unique_ptr<Internals> implementation;
};

// drainOnWake() makes `loop` call `handler` for each message of `ring`. Call it before the first push.
template <typename Message, typename Handler>
void drainOnWake(IoLoop& loop, BoundedRing<Message>& ring, Handler handler)
{
    ring.setWake([&loop, &ring, handler = std::move(handler)] {
        loop.post([&ring, handler] {
            while (auto message = ring.tryPop())
                handler(std::move(*message));
        });
    });
}

} // namespace dragonflytray
