#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "model.hpp"

namespace oleanderwick::jobs
{

/** @brief Where a task stands. */
enum class TaskPhase : std::uint8_t {
    Waiting, /**< Nothing of it runs anywhere. */
    Starting, /**< Its start was sent and not answered yet. */
    Uncertain, /**< Its start has no answer; it may run, now or later. */
    Running,
    Stopping, /**< Told to stop; still takes room. */
    Done,
};

/** @brief Task as the scheduler holds it. */
struct Task {
    TaskRecord record;
    TaskPhase phase{TaskPhase::Waiting};
    std::string worker; /**< Worker that it is on, unless it waits or is done. */
    std::int64_t run{0}; /**< Number of the run that is out. */
    core::TimePoint since; /**< Start of its phase. */
    core::TimePoint startedAt; /**< When its present run was ordered or adopted. */
    core::TimePoint notBefore; /**< Not started again before. */
    core::TimePoint progressAt; /**< When its progress last changed. */
    core::TimePoint orderedAt; /**< When a stop was last sent. */
    std::int64_t percent{0};
    std::int64_t figure{0};
    std::int64_t pace{100}; /**< Share of the time for which it may work. */
    core::TimePoint pacedAt; /**< When its pace was last changed. */
    bool stopAcknowledged{false}; /**< The worker has taken a stop of the present run. */

    /** @return True while something of it may run somewhere. */
    [[nodiscard]] bool isOut() const noexcept
    {
        return phase != TaskPhase::Waiting && phase != TaskPhase::Done;
    }

    /** @return True for a continuous task that does its full work. */
    [[nodiscard]] bool isAtWork() const noexcept
    {
        return phase == TaskPhase::Running && percent >= 100;
    }
};

/** @brief Tasks of one step in one occurrence. */
struct StepState {
    std::vector<Task> tasks;
    std::size_t remaining{0}; /**< Tasks that are not done. */
};

/** @brief One run of a job's steps. */
struct Occurrence {
    std::int64_t dueMs{0}; /**< Unix time before which nothing of it starts; 0 for at once. */
    std::vector<StepState> steps;
    std::size_t remainingSteps{0}; /**< Steps that are not done. */
};

/** @brief Job as the scheduler holds it. */
struct JobEntry {
    Job job;
    JobState state{JobState::Queued};
    std::int64_t endedMs{0};
    std::map<std::int64_t, Occurrence> occurrences; /**< Those that are due and not done. */
    std::int64_t nextOccurrence{0}; /**< First one that was not opened yet. */
    std::uint64_t version{0}; /**< Rises with each change that has to be stored. */
    std::uint64_t savedVersion{0}; /**< Newest version that is stored. */
    std::uint64_t savingVersion{0}; /**< Version that is being stored; 0 for none. */
    bool predatesTenure{false}; /**< A former owner may have started something of it. */
    std::int64_t outCount{0}; /**< Tasks that may run somewhere. */
    bool allSpeculative{false}; /**< Copies of any of its tasks do no harm. */
    double chainMs{0}; /**< Longest chain of work by the estimates. */
};

/** @brief End that is acknowledged once the job's change is stored. */
struct PendingEnd {
    std::int64_t number{0};
    std::string job;
    std::uint64_t version{0};
};

/** @brief Worker as the scheduler holds it. */
struct Worker {
    WorkerEntry entry;
    bool listed{false}; /**< The registry names it. */
    bool reported{false}; /**< It has shown its lists to this owner. */
    bool closed{false}; /**< Takes no new work because of maintenance. */
    bool maintenancePending{false}; /**< Is due in a wave that has not reached it. */
    std::int64_t incarnation{0};
    std::int64_t clockMs{0}; /**< Its clock at `clockAt`; 0 while unknown. */
    core::TimePoint clockAt;
    core::TimePoint leaseBound; /**< Nothing runs there after this, if no new lease is sent. */
    core::TimePoint seenAt; /**< Last answer. */
    core::TimePoint nextHold; /**< When to look at it next. */
    core::TimePoint quarantinedUntil;
    std::int64_t strikes{0}; /**< Failures in a row without a good end between. */
    core::TimePoint struckAt; /**< Last failure. */
    bool holdOut{false}; /**< A look is under way. */
    bool silent{false}; /**< Its last look had no answer. */
    Resources used;
    std::map<TaskName, std::int64_t> runs; /**< Tasks that are or may be on it, with their runs. */
    std::int64_t lastEnd{0}; /**< Highest number of an end that was taken in. */
    std::int64_t ackedEnd{0}; /**< Ends up to this one are durable. */
    std::int64_t sentAck{0}; /**< Ends up to this one were acknowledged to the worker. */
    std::deque<PendingEnd> pendingEnds;

    /** @return True if the registry names it, it answers, and nothing takes it out of service. */
    [[nodiscard]] bool isOpen() const noexcept
    {
        return listed && !closed && !silent && !entry.draining;
    }
};

/** @brief Step of an occurrence of a job. */
struct StepName {
    std::string job;
    std::int64_t occurrence{0};
    std::size_t step{0};

    [[nodiscard]] auto operator<=>(const StepName &) const = default;
};

/** @brief Answer of the advice service for one step. */
struct Advice {
    std::map<std::string, std::string> tickets; /**< Ticket by worker that may run the step. */
    std::map<std::string, core::TimePoint> askedFor; /**< Workers that were asked about, and until when the answer holds. */
    bool asking{false};
};

} // namespace oleanderwick::jobs
