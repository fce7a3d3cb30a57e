#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "../core/core.hpp"
#include "load_figures.hpp"
#include "return_schedule.hpp"

namespace oleanderwick::admission
{

/** @brief Parameters of the decision on submitted jobs. */
struct JobAdmissionPolicy {
    double lateBoundFactor{3.0}; /**< Multiple of the objective after which an answer has no use. */
    std::size_t nodes{1}; /**< Number of nodes that take submissions. */

    [[nodiscard]] bool operator==(const JobAdmissionPolicy &) const = default;
};

/** @brief Submitted job, as far as the decision depends on it. */
struct JobRequest {
    std::string id;
    std::string queue;
    std::string team;
    double criticalPathMs{0.0}; /**< Estimated duration of the critical path. */
    double objectiveMs{0.0}; /**< Latency objective, counted from the first submission. */
    std::int64_t firstRefusedMs{0}; /**< Unix time of the first refusal; 0 for a job that was not refused. */
};

/** @brief Decision on a submitted job with what it was decided from. */
struct AdmissionDecision {
    enum class Verdict : std::uint8_t {
        Accept,
        BeyondRate, /**< The team is beyond its rate and its share has no room. */
        TooLate, /**< Even a job within the rate can't end in time to be of use. */
    };
    Verdict verdict{Verdict::Accept};
    std::int64_t retryAfterS{0}; /**< Time until the caller should return, in seconds; only set for a refusal. */
    bool isStale{false}; /**< The figures say overloaded, but are too old to refuse anything. */
    std::int64_t ageMs{0}; /**< Age of the figures in milliseconds. */
    ShareFigures share; /**< Figures of the team and queue. */

    [[nodiscard]] bool operator==(const AdmissionDecision &) const = default;
};

/** @brief Decides on each submitted job from the published load figures; without I/O, not thread-safe. */
class JobAdmission
{
public:
    /**
     * @brief Creates the object without figures: everything is accepted.
     * @param policy Parameters of the decision.
     */
    explicit JobAdmission(const JobAdmissionPolicy &policy);

    /**
     * @brief Replaces the figures.
     * @param figures Figures that were received.
     * @param now Current time of the monotonic clock.
     */
    void setFigures(LoadFigures figures, core::TimePoint now);

    /** @brief Drops the figures, as when their record was removed. */
    void clear();

    /**
     * @brief Returns the age of the figures.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     * @return Larger of the time since they were received and since they were written, in milliseconds; 0 without figures or after the end of an overload.
     */
    [[nodiscard]] std::int64_t ageMs(core::TimePoint now, std::int64_t wallMs) const noexcept;

    /**
     * @brief Checks whether figures are too old to refuse anything.
     * @param ageMs Age in milliseconds.
     * @return True above 3 s.
     */
    [[nodiscard]] static bool isStale(std::int64_t ageMs) noexcept;

    /**
     * @brief Checks whether jobs of a team on a queue may be refused, so that the time of their first refusal matters.
     * @param queue Name of the queue.
     * @param team Name of the team.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     * @return False if each job is accepted.
     */
    [[nodiscard]] bool mayRefuse(const std::string &queue, const std::string &team, core::TimePoint now, std::int64_t wallMs) const;

    /**
     * @brief Decides on a job; a refusal takes a place in the order of return.
     * @param request Job.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     * @return The decision.
     */
    [[nodiscard]] AdmissionDecision decide(const JobRequest &request, core::TimePoint now, std::int64_t wallMs);

private:
    JobAdmissionPolicy m_policy;
    std::optional<LoadFigures> m_figures;
    core::TimePoint m_receivedAt;
    ReturnSchedule m_schedule;
};

} // namespace oleanderwick::admission
