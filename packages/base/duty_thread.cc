#include "base/duty_thread.h"

#include <pthread.h>

namespace dragonflytray {

namespace {

    constexpr std::size_t threadNameLimit = 15; // characters, without the terminating zero

    void runNamed(const std::string& name, const std::function<void()>& duty)
    {
        pthread_setname_np(pthread_self(), name.substr(0, threadNameLimit).c_str());
        duty();
    }

} // namespace

DutyThread::DutyThread(Options options, std::function<void()> duty)
    : thread([name = std::move(options.name), duty = std::move(duty)] { runNamed(name, duty); })
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
