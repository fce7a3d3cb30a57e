#pragma once

/** @file
 * @brief Queue with fair shares for teams, measured run times, and the decision on submitted jobs with the load figures that it uses.
 */

#include "fair_queue.hpp"
#include "fwd.hpp"
#include "job_admission.hpp"
#include "load_figures.hpp"
#include "overload_control.hpp"
#include "return_schedule.hpp"
#include "run_times.hpp"
