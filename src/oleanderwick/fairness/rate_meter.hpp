#pragma once

#include <map>
#include <string>

#include "../core/core.hpp"

namespace oleanderwick::fairness
{

/**
 * @brief Token bucket for each team: tells jobs within the team's rate from jobs beyond it.
 *
 * A bucket is full at first. It holds at least one token, so that a team with a low rate can have a job within it.
 */
class RateMeter
{
public:
    /**
     * @brief Creates the meter without any team.
     * @param window Time whose tokens a bucket holds.
     */
    explicit RateMeter(core::Duration window);

    /**
     * @brief Takes a token for a job.
     * @param team Team of the job.
     * @param rate Rate of the team in jobs a second; 0 or less if none is set.
     * @param at Time of arrival; a time before the last one of the team counts as that one.
     * @return True if there was a token or the team has no rate.
     */
    [[nodiscard]] bool take(const std::string &team, double rate, core::TimePoint at);

    /**
     * @brief Says how many tokens a team had after its last job.
     * @param team Name of the team.
     * @return Number of tokens; 0 for a team that has had no job or no rate.
     */
    [[nodiscard]] double tokens(const std::string &team) const;

private:
    struct Bucket {
        double tokens{0.0};
        core::TimePoint filledAt;
    };

    core::Duration m_window;
    std::map<std::string, Bucket> m_buckets;
};

} // namespace oleanderwick::fairness
