#pragma once

#include <string>

namespace oleanderwick::jobnode::keys
{

/** @name Keys of the coordination store */
/** @{ */
inline const std::string jobPrefix = "q/j/"; /**< Submitted job, by id. */
inline const std::string cancelPrefix = "q/c/"; /**< Cancellation markers, by job id; watched on their own, so that they never wait behind jobs. */
inline const std::string refusalPrefix = "q/r/"; /**< Refused jobs, by id; bound to a lease, which outlives delayed writes of submissions. */
inline const std::string withdrawnPrefix =
    "q/w/"; /**< Jobs that were cancelled without being stored, by team and id; bound to a lease, which outlives delayed submissions. */
inline const std::string statePrefix = "s/"; /**< Progress of a job, by id; written by the owner only. */
inline const std::string wavePrefix = "m/"; /**< Progress of a maintenance wave, by number; written by the owner only. */
inline const std::string owner = "own/scheduler"; /**< Name, lease and address of the owner; the key is bound to this lease. */
inline const std::string ownerPrefix = "own/";
inline const std::string usedWorkers = "use/workers"; /**< Workers that may have active runs; written by the owner only. */
inline const std::string commandedInstances = "use/instances"; /**< Instances with recent commands of the owner; written before the commands are sent. */
inline const std::string loadFigures = "pub/load"; /**< Load figures; written by the owner only, while the fleet is overloaded. */
inline const std::string publishedPrefix = "pub/";
inline const std::string queuedPrefix = "w/"; /**< Markers of jobs without a started task, by queue and id; created together with the job. */
/** @} */

/**
 * @brief Builds the prefix of a queue's markers.
 * @param queue Name of the queue.
 * @return Prefix; a marker's key adds the id of the job.
 */
[[nodiscard]] inline std::string queuedPrefixOf(const std::string &queue)
{
    return queuedPrefix + queue + "/";
}

/**
 * @brief Builds the key of the record that a team has cancelled a job that is not stored.
 * @param team Name of the team; empty on queues that are open to all.
 * @param id Id of the job.
 * @return The key; a team's record does not concern the jobs of other teams with the same id.
 */
[[nodiscard]] inline std::string withdrawnKeyOf(const std::string &team, const std::string &id)
{
    return withdrawnPrefix + team + "/" + id;
}

} // namespace oleanderwick::jobnode::keys
