#pragma once

// A named thread that runs one duty. The name appears in debuggers and process listings.
//
// Example:
//
//     DutyThread telemetry({ .name = "telemetry" }, [&] { serveTelemetry(inbox); });

#include <functional>
#include <string>
#include <thread>

namespace dragonflytray {

// DutyThread runs one function on its own thread and joins the thread in its destructor. Before that the owner
// must make the function return, usually by closing the ring that it reads; otherwise the destructor blocks.
class DutyThread {
public:
    struct Options {
        std::string name; // the operating system shows the first 15 characters
    };

    DutyThread(Options options, std::function<void()> duty);
    ~DutyThread();

    DutyThread(const DutyThread&) = delete;
    DutyThread& operator=(const DutyThread&) = delete;

    // join() blocks until the duty has returned. May be called repeatedly, but from one thread at a time.
    void join();

private:
    std::thread thread;
};

} // namespace dragonflytray
