#pragma once

// A thread with one duty and a name that shows in debuggers and process listings.
//
// Example:
//
//     DutyThread telemetry({ .name = "telemetry" }, [&] { serveTelemetry(inbox); });

#include <functional>
#include <string>
#include <thread>

namespace dragonflytray {

// DutyThread runs one function on its own thread and joins it when destroyed. The owner must make
// the function return first, usually by closing the ring that it reads.
class DutyThread {
public:
    struct Options {
        std::string name; // at most 15 characters are shown by the system
    };

    DutyThread(Options options, std::function<void()> duty);
    ~DutyThread();

    DutyThread(const DutyThread&) = delete;
    DutyThread& operator=(const DutyThread&) = delete;

    // join() waits until the duty has returned. May be called more than once.
    void join();

private:
    std::thread thread;
};

} // namespace dragonflytray
