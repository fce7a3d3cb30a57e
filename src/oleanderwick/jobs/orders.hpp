#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "table.hpp"

namespace oleanderwick::jobs
{

/** @brief Start of a run. */
struct StartOrder {
    std::string worker;
    std::string address;
    TaskName task;
    std::int64_t run{0};
    std::string spec;
    std::int64_t deadlineMs{0}; /**< End of the lease on the worker's clock. */
    std::string checkpoint;
    std::string ticket;
};

/** @brief Stop of a run. */
struct StopOrder {
    std::string worker;
    std::string address;
    TaskName task;
    std::int64_t run{0};
};

/** @brief Change of the share of time for which a run may work. */
struct PaceOrder {
    std::string worker;
    std::string address;
    TaskName task;
    std::int64_t run{0};
    std::int64_t percent{100};
};

/** @brief Look at a worker that may lengthen its lease. */
struct HoldOrder {
    std::string worker;
    std::string address;
    std::int64_t deadlineMs{0}; /**< End of the lease on the worker's clock; 0 to leave it. */
    std::int64_t ackedEnd{0};
    std::int64_t waitMs{0}; /**< How long the worker may wait for an end. */
};

/** @brief Question to the advice service. */
struct AdviceOrder {
    StepName step;
    std::vector<std::string> workers;
};

/** @brief Orders that came up since they were last taken. */
struct Orders {
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
    std::vector<AdviceOrder> questions;
};

/** @brief State of a job that is to be stored. */
struct SaveOrder {
    std::string job;
    std::uint64_t version{0};
    JobRecord record;
};

/** @brief What a pool has and is asked for. */
struct PoolLoad {
    std::int64_t workers{0}; /**< Open workers. */
    std::int64_t capacity{0}; /**< Thousandths of a core that they have. */
    std::int64_t continuous{0}; /**< Thousandths of a core of continuous tasks, running and waiting. */
    std::int64_t unplaced{0}; /**< Continuous tasks that wait for a worker. */
    std::int64_t running{0}; /**< Thousandths of a core of other tasks that run, of jobs that can meet their objective. */
    std::int64_t waiting{0}; /**< Thousandths of a core of other tasks that could start, of jobs that can meet their objective. */
    std::int64_t runningLate{0}; /**< Like `running`, of jobs that miss their objective. */
    std::int64_t waitingLate{0}; /**< Like `waiting`, of jobs that miss it. */
    std::int64_t arriving{0}; /**< Thousandths of a core that would keep up with the jobs of the last moments. */
    std::int64_t leastWorkers{0}; /**< Workers over which tasks that must be apart have to be spread. */

    [[nodiscard]] bool operator==(const PoolLoad &) const = default;
};

/** @brief Line for the log about a decision. */
struct Decision {
    std::string event;
    std::string job; /**< Job or task that it is about; may be empty. */
    std::string worker; /**< Worker that it is about; may be empty. */
    std::string detail; /**< Inputs, as key=value pairs. */
};

/** @brief How a worker answered the start of a run. */
enum class StartAnswer : std::uint8_t {
    Started,
    NoRoom,
    Fenced, /**< The worker has seen a newer owner. */
    Outdated, /**< The worker has seen this run, or a newer one, end. */
    TooLate, /**< The lease was over when the order arrived. */
    NoTicket, /**< The ticket is missing or has run out. */
    Unhealthy, /**< The worker refused and did nothing. */
    OtherIncarnation,
    Invalid, /**< The worker cannot read the order. */
    NotSent, /**< Nothing reached the worker. */
    Unknown, /**< No answer; it may have been done, or may be done later. */
};

/**
 * @brief Gives the name of an answer.
 * @param answer Answer to name.
 * @return Name in snake case.
 */
[[nodiscard]] std::string_view toText(StartAnswer answer) noexcept;

} // namespace oleanderwick::jobs
