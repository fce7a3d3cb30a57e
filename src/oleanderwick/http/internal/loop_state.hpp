#pragma once

#include <memory>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "deadlines.hpp"

namespace oleanderwick::http::internal
{

struct Repeater;

/** @brief Asio's side of a loop. */
struct LoopState {
    /** Declared before the context: the owners of timers are destroyed with its handlers. */
    Deadlines deadlines;
    boost::asio::io_context context{1};
    std::vector<std::shared_ptr<Repeater>> repeaters;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
};

} // namespace oleanderwick::http::internal
