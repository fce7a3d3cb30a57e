#pragma once

#include <memory>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "deadlines.hpp"

namespace oleanderwick::http::internal
{

struct PeriodicTimer;

/** @brief Asio objects of a loop. */
struct LoopState {
    /** Declared before the context, because destroying the context's handlers destroys timers that refer to the deadlines. */
    Deadlines deadlines;
    boost::asio::io_context context{1};
    std::vector<std::shared_ptr<PeriodicTimer>> periodicTimers;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
};

} // namespace oleanderwick::http::internal
