#include "crash_attribution.hpp"

#include <iterator>
#include <utility>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

CrashAttribution::CrashAttribution(StateTable &state, SchedulerOutput &output)
    : m_state{state}
    , m_output{output}
{
}

std::vector<CrashAttribution::Suspect> CrashAttribution::suspectsOn(const Worker &worker, core::TimePoint startedBefore)
{
    std::vector<Suspect> suspects;
    for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
        const Task *task = m_state.findTask(run.first).task;
        if (task != nullptr && task->startedAt < startedBefore) {
            suspects.push_back(Suspect{run.first, run.second, task->startedAt});
        }
    }
    return suspects;
}

void CrashAttribution::addDoubt(const std::string &worker, const Suspect &suspect, core::TimePoint now)
{
    m_doubts[worker].push_back(suspect);
    m_output.logDecision(
        "run_doubted", toText(suspect.task), worker, absl::StrCat("run=", suspect.run, " age_ms=", core::milliseconds(now - suspect.startedAt)));
}

void CrashAttribution::clearDoubts(const std::string &worker)
{
    m_doubts.erase(worker);
}

bool CrashAttribution::hasDoubts(const std::string &worker) const
{
    return m_doubts.contains(worker);
}

void CrashAttribution::recordCrash(const std::string &worker, std::vector<Suspect> suspects, std::string_view detectedBy, core::TimePoint now)
{
    const std::size_t known = suspects.size();
    const auto doubts = m_doubts.find(worker);
    if (doubts != m_doubts.end()) {
        suspects.insert(suspects.end(), std::make_move_iterator(doubts->second.begin()), std::make_move_iterator(doubts->second.end()));
        m_doubts.erase(doubts);
    }
    m_output.logDecision(
        "worker_crashed", "", worker, absl::StrCat("detected_by=", std::string{detectedBy}, " runs=", known, " in_doubt=", suspects.size() - known));
    for (const Suspect &suspect : suspects) {
        Task *task = m_state.findTask(suspect.task).task;
        if (task == nullptr) {
            continue;
        }
        ++task->crashes;
        m_output.logDecision("crash_suspected",
                             toText(suspect.task),
                             worker,
                             absl::StrCat("run=", suspect.run, " age_ms=", core::milliseconds(now - suspect.startedAt), " crashes=", task->crashes));
    }
}

} // namespace oleanderwick::jobs
