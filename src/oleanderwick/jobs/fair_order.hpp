#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "candidate_order.hpp"
#include "job_estimates.hpp"
#include "worker_health.hpp"
#include "worker_index.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Order by weighted max-min of the teams' shares in pools that are full; that of `SlackOrder` in the others.
 *
 * A pool is full if its ready tasks can't all be packed into its free room. Its candidates come by priority, then by class (timely
 * within the rate of the team, timely beyond it, late). In a class, jobs that were passed over for longer than half of their objective
 * come first, oldest first; then the team with the lowest (share + debt) / weight, or the oldest if late. A job is passed over when
 * its turn came, it did not fit, and another one that came later was started. Inside a team the order is that of `SlackOrder`.
 */
class FairOrder final : public CandidateOrder
{
public:
    /** @brief Objects that take part; they must outlive this one. */
    struct Collaborators {
        StateTable &state;
        const LoadMeter &loads;
        const JobEstimates &estimates;
        const WorkerHealth &health;
        WorkerIndex &index;
    };

    /**
     * @brief Creates the strategy for one owner's term.
     * @param collaborators Objects that take part.
     */
    explicit FairOrder(const Collaborators &collaborators);

    void arrange(std::vector<Candidate> candidates, core::TimePoint now) override;
    [[nodiscard]] const Candidate *next() override;

private:
    /** Class of a candidate; lower values are placed first. */
    enum class JobClass : std::uint8_t {
        WithinRate, /**< Can meet its objective, within the rate of its team. */
        BeyondRate, /**< Can meet its objective, beyond the rate of its team. */
        Late,
    };

    struct TeamQueue {
        std::deque<const Candidate *> candidates;
        double level{0.0}; /**< (share + debt) / weight. */
    };

    /** Candidates of one priority and class. */
    struct Group {
        std::deque<const Candidate *> passedOver; /**< Oldest first. */
        std::map<std::string, TeamQueue> teams;
        std::deque<const Candidate *> late; /**< Oldest first. */
    };

    /** Ready tasks of a step that neither a limit nor a label excludes. */
    struct Demand {
        Resources each;
        std::int64_t count{0};
        std::string label;
    };

    struct PoolDemand {
        std::vector<Demand> steps;
        std::map<std::string, fairness::Amounts> waiting; /**< Demand of the steps by team. */
    };

    struct FullPool {
        std::map<std::pair<std::int64_t, JobClass>, Group> groups;
        std::vector<const Candidate *> failed; /**< Candidates whose turn came in this placement and that did not fit. */
    };

    [[nodiscard]] std::map<std::string, PoolDemand> measureDemands(const std::vector<Candidate> &candidates) const;
    [[nodiscard]] bool fitsFreeRoom(const std::string &pool, std::vector<Demand> &steps) const;
    [[nodiscard]] double weightOf(const std::string &team) const;
    [[nodiscard]] double levelOf(const std::string &pool, const std::string &team) const;
    /** Updates the debts in a pool. @param demand Its demands if it is full, otherwise null. */
    void updateDebts(const std::string &pool, const PoolDemand *demand);
    void queueCandidates();
    [[nodiscard]] const Candidate *take(FullPool &pool);
    [[nodiscard]] std::int64_t startableTasks(const Candidate &candidate) const;
    /** Records what became of the candidate that `next` returned last. */
    void settleLast();

    Collaborators m_with;
    SlackOrder m_slackOrder;
    core::TimePoint m_now;
    std::vector<Candidate> m_sequence; /**< Candidates in the order of `SlackOrder`. */
    std::size_t m_next{0};
    std::map<std::string, FullPool> m_fullPools;
    std::map<std::string, core::TimePoint> m_passedOverSince; /**< By job. */
    const Candidate *m_last{nullptr};
    std::int64_t m_lastStartable{0};
};

} // namespace oleanderwick::jobs
