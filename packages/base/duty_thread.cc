#include "base/duty_thread.h"

#include <pthread.h>

namespace dragonflytray {

namespace {

    constexpr std::size_t maxThreadNameLength = 15; // characters; the limit of Linux without the terminating zero

    void runWithThreadName(const std::string& name, const std::function<void()>& duty)
    {
        pthread_setname_np(pthread_self(), name.substr(0, maxThreadNameLength).c_str());
        duty();
    }

} // namespace

DutyThread::DutyThread(Options options, std::function<void()> duty)
    : thread([name = std::move(options.name), duty = std::move(duty)] { runWithThreadName(name, duty); })
{
}

DutyThread::~DutyThread()
{
    this->join();
}

void DutyThread::join()
{
    if (this->thread.joinable())
        this->thread.join();
}

} // namespace dragonflytray
