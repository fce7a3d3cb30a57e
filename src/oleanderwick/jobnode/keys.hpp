#pragma once

#include <string>

namespace oleanderwick::jobnode::keys
{

/** @name Keys of the coordination store
 * What the owner has to hear of stands under one prefix, so that one watch is enough.
 */
/** @{ */
inline const std::string intake = "q/"; /**< Submitted jobs and cancellations. */
inline const std::string jobs = "q/j/"; /**< Job as submitted, by id. */
inline const std::string cancels = "q/c/"; /**< Marks of cancelled jobs, by id. */
inline const std::string states = "s/"; /**< Progress of jobs, by id; written by the owner only. */
inline const std::string waves = "m/"; /**< Progress of maintenance waves, by number; written by the owner only. */
inline const std::string owner = "own/scheduler"; /**< Name of the owner, bound to its lease. */
inline const std::string ownerPrefix = "own/";
inline const std::string usedWorkers = "use/workers"; /**< Workers that may run something; written by the owner only. */
inline const std::string orderedInstances = "use/instances"; /**< Instances that the owner ordered of late; written before the order is sent. */
inline const std::string pending = "stat/pending"; /**< Waiting jobs by queue; written by the owner only. */
/** @} */

} // namespace oleanderwick::jobnode::keys
