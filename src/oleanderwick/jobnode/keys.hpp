#pragma once

#include <string>

namespace oleanderwick::jobnode::keys
{

/** @name Keys of the coordination store
 * Submitted jobs and cancellations share a prefix, so that the owner needs only one watch for both.
 */
/** @{ */
inline const std::string jobRequestPrefix = "q/"; /**< Submitted jobs and cancellations. */
inline const std::string jobPrefix = "q/j/"; /**< Submitted job, by id. */
inline const std::string cancelPrefix = "q/c/"; /**< Cancellation markers, by job id. */
inline const std::string statePrefix = "s/"; /**< Progress of a job, by id; written by the owner only. */
inline const std::string wavePrefix = "m/"; /**< Progress of a maintenance wave, by number; written by the owner only. */
inline const std::string owner = "own/scheduler"; /**< Name and lease of the owner; the key is bound to this lease. */
inline const std::string ownerPrefix = "own/";
inline const std::string usedWorkers = "use/workers"; /**< Workers that may have active runs; written by the owner only. */
inline const std::string commandedInstances = "use/instances"; /**< Instances with recent commands of the owner; written before the commands are sent. */
inline const std::string pending = "stat/pending"; /**< Number of waiting jobs by queue; written by the owner only. */
/** @} */

} // namespace oleanderwick::jobnode::keys
