#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "candidate.hpp"
#include "spread_wait.hpp"
#include "ticket_table.hpp"
#include "wait_reason.hpp"
#include "worker_health.hpp"
#include "worker_index.hpp"

namespace oleanderwick::jobs
{

/** @brief Chooses the worker for a task: of those that can take it, the one with the lowest cost. */
class WorkerChooser
{
public:
    class Choices;

    /** Condition for a worker that gets a retry, from the strictest to none. */
    enum class RetryCondition : std::uint8_t {
        Proven, /**< Has proved sound, and the task has not failed on it. */
        Other, /**< The task has not failed on it. */
        Any,
    };

    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param tickets Tickets for steps; must outlive this object.
     * @param health Says which workers may get runs; must outlive this object.
     * @param index Workers that can take runs; must outlive this object.
     */
    WorkerChooser(const StateTable &state, const TicketTable &tickets, const WorkerHealth &health, WorkerIndex &index);

    /**
     * @brief Starts a placement.
     * @param now Current time of the monotonic clock.
     */
    void begin(core::TimePoint now);

    /**
     * @brief Chooses a worker for the next task of a step.
     * @param candidate Step of the task.
     * @param choices Empty for the first task of the step; the same object for its further ones, with a run placed on each worker chosen before.
     * @param now Current time of the monotonic clock.
     * @return The worker; null if none can take the task.
     */
    [[nodiscard]] Worker *choose(const Candidate &candidate, Choices &choices, core::TimePoint now);

    /**
     * @brief Chooses a worker for a task that has failed in this term: a proven one on which it has not failed.
     *
     * For a bounded time the task waits for room on such a worker if there is one in the pool; after that others are allowed. A continuous task
     * doesn't wait, but prefers workers on which it has not failed.
     * @param candidate Step of the task.
     * @param task The task, with workers in `Task::failedOn`.
     * @param now Current time of the monotonic clock.
     * @return The worker; null if none can take the task.
     */
    [[nodiscard]] Worker *chooseForRetry(const Candidate &candidate, const Task &task, core::TimePoint now);

    /**
     * @brief Chooses a worker for a suspect: one with no start of another job at the same time, with no other suspects, and few tasks.
     *
     * Reserves a worker if all of them have just got starts. A task that needs a trial waits for a bounded time for a worker without tasks.
     * @param candidate Step of the task.
     * @param index Index of the task.
     * @param now Current time of the monotonic clock.
     * @return The worker; null if none can take the task now.
     */
    [[nodiscard]] Worker *chooseForSuspect(const Candidate &candidate, std::size_t index, core::TimePoint now);

    /**
     * @brief Checks whether a worker can take a task of a step once it has room for it.
     * @param worker Worker to check.
     * @param candidate Step of the task.
     * @param now Current time of the monotonic clock.
     * @return True if nothing but room can be missing.
     */
    [[nodiscard]] bool isSuitable(const Worker &worker, const Candidate &candidate, core::TimePoint now) const;

    /**
     * @brief Determines what keeps a worker that can take runs from a task of a step.
     * @param worker Worker to check.
     * @param candidate Step of the task.
     * @param forSuspect The task may crash its worker.
     * @param now Current time of the monotonic clock.
     * @return The reason; `std::nullopt` if the worker can take the task now.
     */
    [[nodiscard]] std::optional<WaitReason> obstacleOf(const Worker &worker, const Candidate &candidate, bool forSuspect, core::TimePoint now) const;

private:
    /** Function that adds a cost to the sum of those before it; adding one by one keeps the rounding of equal sums equal. */
    using AddCost = double (WorkerChooser::*)(double cost, const Worker &worker, const Candidate &candidate) const;

    /** Cost that depends on the worker, for the steps to which it applies. */
    struct CostTerm {
        bool (*appliesTo)(const Step &step);
        AddCost add;
    };

    static constexpr std::size_t termCount = 8;

    struct Choice {
        Worker *worker;
        double cost; /**< Sum of the terms; costs have no unit. */
    };

    void list(const Candidate &candidate, Choices &choices, core::TimePoint now);
    /** Lists the workers that can take a task now; returns true if there is one that it is kept off only to spread the step. */
    bool examineWorkers(const Candidate &candidate, Choices &choices, core::TimePoint now);
    /** Returns the condition that a worker has to meet for a retry of the task; see `chooseForRetry`. */
    [[nodiscard]] RetryCondition retryCondition(const Candidate &candidate, const Task &task, core::TimePoint now) const;
    /** Returns the number of tasks on a worker that may crash it. */
    [[nodiscard]] std::int64_t countSuspects(const Worker &worker) const;
    /** Returns why not even the worker without runs would be able to take the task; `std::nullopt` if it would. */
    [[nodiscard]] std::optional<WaitReason> inabilityOf(const Worker &worker, const Candidate &candidate, core::TimePoint now) const;
    /** Returns why the worker can't take the task even with room for it; `std::nullopt` if it can. */
    [[nodiscard]] std::optional<WaitReason> unsuitabilityOf(const Worker &worker, const Candidate &candidate, core::TimePoint now) const;
    [[nodiscard]] bool canPlace(const Worker &worker, const Candidate &candidate, core::TimePoint now) const;
    [[nodiscard]] static bool meets(RetryCondition condition, const Worker &worker, const Task &task);
    [[nodiscard]] double costOf(const Worker &worker, const Candidate &candidate, const Choices &choices) const;

    [[nodiscard]] double addUsage(double cost, const Worker &worker, const Candidate &candidate) const;
    [[nodiscard]] double addOtherRack(double cost, const Worker &worker, const Candidate &candidate) const;
    [[nodiscard]] double addSplitRacks(double cost, const Worker &worker, const Candidate &candidate) const;
    [[nodiscard]] double addMaintenance(double cost, const Worker &worker, const Candidate &candidate) const;
    [[nodiscard]] double addSpread(double cost, const Worker &worker, const Candidate &candidate) const;
    [[nodiscard]] double addSharedLoss(double cost, const Worker &worker, const Candidate &candidate) const;
    [[nodiscard]] double addInterference(double cost, const Worker &worker, const Candidate &candidate) const;
    [[nodiscard]] double addFailures(double cost, const Worker &worker, const Candidate &candidate) const;

    static const std::array<CostTerm, termCount> costTerms;

    const StateTable &m_state;
    const TicketTable &m_tickets;
    const WorkerHealth &m_health;
    WorkerIndex &m_index;
    SpreadWait m_spreads;
};

/** @brief Workers that can take a task of a step; kept while the tasks of the step are placed, so that they are examined once for all of them. */
class WorkerChooser::Choices
{
    friend class WorkerChooser;

    std::vector<Choice> m_workers;
    std::size_t m_last{SIZE_MAX}; /**< Index of the worker chosen last. */
    bool m_listed{false};
    bool m_forSuspect{false}; /**< See `Worker::isOpenTo`. */
    std::array<AddCost, termCount> m_terms{}; /**< Terms that apply to the step; null after the last one. */
};

} // namespace oleanderwick::jobs
