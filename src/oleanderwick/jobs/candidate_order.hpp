#pragma once

#include <cstdint>
#include <vector>

#include "candidate.hpp"
#include "job_estimates.hpp"
#include "load_meter.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Strategy that decides in which order the candidates of a placement get room.
 *
 * `StateTable` has every run that was placed before, so that an order may depend on what the candidates before have got.
 */
class CandidateOrder
{
public:
    virtual ~CandidateOrder() = default;

    /**
     * @brief Starts a placement.
     * @param candidates Candidates in the order of their jobs' names, those of a job one after the other.
     * @param now Current time of the monotonic clock.
     */
    virtual void arrange(std::vector<Candidate> candidates, core::TimePoint now) = 0;

    /** @return Candidate to be placed next, valid until the next call; null after the last one. */
    [[nodiscard]] virtual const Candidate *next() = 0;

protected:
    CandidateOrder() = default;
    CandidateOrder(const CandidateOrder &) = default;
    CandidateOrder &operator=(const CandidateOrder &) = default;
};

/**
 * @brief Order by priority, then by what a start now still gains for the caller.
 *
 * For a queue whose peaks exceed its pool for seconds. A late answer is worth little, but one that comes after the last moment at which it is of use
 * is worth nothing. So late jobs wait behind timely ones as long as they can afford to; those about to lose their use come first, within a part
 * of the pool, so that an overload doesn't make every job late. Jobs that have lost their use come last. Among timely jobs those in progress come
 * first, then those with the least slack; in an overloaded pool, jobs that have not started come newest first. Unsound tasks come with the late jobs.
 * Continuous tasks come before all others.
 */
class SlackOrder final : public CandidateOrder
{
public:
    /**
     * @brief Creates the strategy.
     * @param loads Says which pools are overloaded, and how much late work they run; must outlive this object.
     * @param estimates Says how long an answer is of use; must outlive this object.
     */
    SlackOrder(const LoadMeter &loads, const JobEstimates &estimates);

    void arrange(std::vector<Candidate> candidates, core::TimePoint now) override;
    [[nodiscard]] const Candidate *next() override;

private:
    /** Rank of a job within its priority; lower values are placed first. */
    enum class Rank : std::uint8_t {
        Rescue, /**< Is late and loses its use unless it starts soon. */
        InProgress, /**< Has started and can meet its latency objective. */
        Timely, /**< Can meet its latency objective. */
        Late, /**< Will miss its latency objective. */
        Expired, /**< Nobody will wait for its answer any more. */
    };

    struct Ranked {
        Candidate candidate;
        std::int64_t priority;
        Rank rank;
        double sortKey; /**< Sort key within a priority and rank; lower values are placed first. */
    };

    [[nodiscard]] Ranked rank(const Candidate &candidate, bool overloaded) const;
    [[nodiscard]] Ranked rankLate(const Candidate &candidate, std::int64_t priority) const;
    /** Ranks jobs as merely late that exceed the part of their pool that rescues may use. */
    void limitRescues();

    const LoadMeter &m_loads;
    const JobEstimates &m_estimates;
    std::vector<Ranked> m_ranked;
    std::size_t m_next{0};
};

} // namespace oleanderwick::jobs
