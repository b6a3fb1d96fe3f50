#pragma once

// The Asio objects behind an IoLoop; for this library's own sources.

#include "transport/io_loop.h"
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace dragonflytray {

struct IoLoop::Internals {
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { this->context.get_executor() };
};

} // namespace dragonflytray
