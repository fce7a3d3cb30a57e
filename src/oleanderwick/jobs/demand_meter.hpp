#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "../admission/overload_control.hpp"
#include "job_estimates.hpp"
#include "load_meter.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Measures what each team demands of each queue, for the admission of further jobs. */
class DemandMeter
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param estimates Decides which work is late; must outlive this object.
     * @param loads Load of pools; must outlive this object.
     */
    DemandMeter(const StateTable &state, const JobEstimates &estimates, const LoadMeter &loads);

    /**
     * @brief Counts the arrival of a job; jobs that only have continuous or best-effort steps are left out.
     * @param job Job that was added and not restored.
     */
    void recordArrival(const Job &job);

    /**
     * @brief Measures the demand.
     *
     * Work counts as backlog until its job has missed its objective by more than the late bound; after that it doesn't delay other work.
     * @param lateBoundFactor Multiple of the objective after which an answer has no use.
     * @param wallMs Unix time in milliseconds.
     * @return Demand of all teams that had jobs in this term, and the load of the pools; the owner's own load is not set.
     */
    [[nodiscard]] admission::FleetDemand measure(double lateBoundFactor, std::int64_t wallMs) const;

private:
    /** Pool, queue and team. */
    using Name = std::tuple<std::string, std::string, std::string>;

    struct Arrivals {
        std::uint64_t jobs{0};
        double work{0.0}; /**< Core seconds. */
    };

    void addJob(const JobEntry &entry, double lateBoundFactor, std::int64_t wallMs, std::map<Name, double> &backlogs, admission::FleetDemand &demand) const;

    const StateTable &m_state;
    const JobEstimates &m_estimates;
    const LoadMeter &m_loads;
    std::map<Name, Arrivals> m_arrivals;
};

} // namespace oleanderwick::jobs
