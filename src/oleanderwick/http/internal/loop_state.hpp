#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace oleanderwick::http::internal
{

/** @brief Asio's side of a loop. */
struct LoopState {
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
};

} // namespace oleanderwick::http::internal
