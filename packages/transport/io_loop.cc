#include "transport/io_loop.h"

#include "transport/internal/io_loop_internals.h"
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflytray {

IoLoop::IoLoop()
    : implementation(std::make_unique<Internals>())
{
}

IoLoop::~IoLoop() = default;

void IoLoop::run()
{
    this->implementation->context.run();
}

void IoLoop::stop()
{
    this->implementation->context.stop();
}

void IoLoop::restart()
{
    this->implementation->context.restart();
}

void IoLoop::post(std::function<void()> action)
{
    boost::asio::post(this->implementation->context, std::move(action));
}

void IoLoop::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->implementation->context, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
        if (!error)
            action();
    });
}

} // namespace dragonflytray
