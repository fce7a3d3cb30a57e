#pragma once

#include <cstdint>
#include <vector>

#include "candidate.hpp"
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
 * @brief Order by priority, then jobs in progress before other ones that can meet their objective, then late ones; by slack among these.
 *
 * Unsound tasks come with the late ones. In an overloaded pool, jobs that have not started come newest first. Continuous tasks come before all others, late
 * ones oldest first.
 */
class SlackOrder final : public CandidateOrder
{
public:
    /**
     * @brief Creates the strategy.
     * @param loads Says which pools are overloaded; must outlive this object.
     */
    explicit SlackOrder(const LoadMeter &loads);

    void arrange(std::vector<Candidate> candidates, core::TimePoint now) override;
    [[nodiscard]] const Candidate *next() override;

private:
    /** Rank of a job within its priority; lower values are placed first. */
    enum class Rank : std::uint8_t {
        InProgress, /**< Has started and can meet its latency objective. */
        Timely, /**< Can meet its latency objective. */
        Late, /**< Will miss its latency objective. */
    };

    struct Ranked {
        Candidate candidate;
        std::int64_t priority;
        Rank rank;
        double sortKey; /**< Sort key within a priority and rank; lower values are placed first. */
    };

    [[nodiscard]] static Ranked rank(const Candidate &candidate, bool overloaded);

    const LoadMeter &m_loads;
    std::vector<Ranked> m_ranked;
    std::size_t m_next{0};
};

} // namespace oleanderwick::jobs
