#include "crash_attribution.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** A run that has lasted this long does not crash its worker by itself. */
constexpr core::Duration harmlessAge = std::chrono::seconds{10};
/** Workers that crash later than this after a start are more likely to have another cause. */
constexpr core::Duration likelyAge = std::chrono::seconds{1};
/** The second crash right after a start, one of them with no other job started at the same time, can hardly have another cause. */
constexpr std::int64_t crashesForVerdict = 2;
/** Without such a crash, the task has at least been among the last started each time. */
constexpr std::int64_t ambiguousCrashesForVerdict = 4;
/** Members of a gang are always started together, so that waiting for better evidence would cost more workers. */
constexpr std::int64_t gangCrashesForVerdict = 3;
/** A task that crashes its workers only after a while is found on trial, where it is alone; until then others are blamed. */
constexpr std::int64_t crashesForVerdictAlone = 4;
/** A task is taken for the cause only if it would be on the crashed workers by coincidence with at most this probability. */
const double maxLogCoincidence = std::log(1e-6);
/** A task that was often on crashed workers, though never among the last to begin, is tried alone at this probability. */
const double maxLogCoincidenceForTrial = std::log(1e-3);
constexpr std::int64_t unlikelyCrashesForTrial = 3;
/** Assumed age of a run at a crash that a previous owner has recorded. */
constexpr core::Duration recordedAge = std::chrono::milliseconds{50};
/** Silence of a listed worker after which it counts as unreachable rather than as crashed and restarted. */
constexpr core::Duration unreachableAfter = std::chrono::seconds{1};

} // namespace internal

CrashAttribution::CrashAttribution(const Collaborators &collaborators, core::TimePoint termStart)
    : m_with{collaborators}
    , m_startedAt{termStart}
{
}

CrashAttribution::Suspect CrashAttribution::makeSuspect(const TaskName &name, const Task &task, core::TimePoint endedBy)
{
    const bool confirmed = task.phase == TaskPhase::Running || task.phase == TaskPhase::Stopping;
    return Suspect{name, task.run, std::max(endedBy - task.startedAt, core::Duration::zero()), confirmed};
}

std::vector<CrashAttribution::Suspect> CrashAttribution::suspectsOn(const Worker &worker, core::TimePoint endedBy)
{
    const core::TimePoint end = worker.unresponsive ? std::min(worker.silentSince, endedBy) : endedBy;
    std::vector<Suspect> suspects;
    for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
        const Task *task = m_with.state.findTask(run.first).task;
        if (task != nullptr && task->startedAt < endedBy) {
            suspects.push_back(makeSuspect(run.first, *task, end));
        }
    }
    return suspects;
}

void CrashAttribution::addDoubt(const Worker &worker, const Suspect &suspect, core::TimePoint now)
{
    Task *task = m_with.state.findTask(suspect.task).task;
    if (task != nullptr && !worker.mayEndAsPlanned()) {
        const bool delays = suspect.age <= internal::likelyAge;
        m_doubts[worker.entry.id].push_back(Doubt{suspect, now, delays});
        task->doubts += delays ? 1 : 0;
        task->suspectedAt = now;
    }
    m_with.output.logDecision(
        "run_doubted", toText(suspect.task), worker.entry.id, absl::StrCat("run=", suspect.run, " age_ms=", core::milliseconds(suspect.age)));
}

void CrashAttribution::stopDelaying(Doubt &doubt)
{
    Task *task = m_with.state.findTask(doubt.suspect.task).task;
    if (doubt.delays && task != nullptr) {
        --task->doubts;
        m_with.state.requestPlacement();
    }
    doubt.delays = false;
}

void CrashAttribution::clearDoubts(const std::string &worker)
{
    const auto doubts = m_doubts.find(worker);
    if (doubts == m_doubts.end()) {
        return;
    }
    for (Doubt &doubt : doubts->second) {
        stopDelaying(doubt);
    }
    m_doubts.erase(doubts);
}

void CrashAttribution::handleListed(const std::string &worker, core::TimePoint requestedAt)
{
    const auto doubts = m_doubts.find(worker);
    if (doubts == m_doubts.end()) {
        return;
    }
    for (Doubt &doubt : doubts->second) {
        if (requestedAt - doubt.since >= internal::unreachableAfter) {
            stopDelaying(doubt);
        }
    }
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
        for (Doubt &doubt : doubts->second) {
            stopDelaying(doubt);
            suspects.push_back(std::move(doubt.suspect));
        }
        m_doubts.erase(doubts);
    }
    m_with.output.logDecision(
        "worker_crashed", "", worker, absl::StrCat("detected_by=", std::string{detectedBy}, " runs=", known, " in_doubt=", suspects.size() - known));
    if (suspects.empty()) {
        return;
    }
    // A run whose start was not confirmed may have been commanded after the crash.
    const auto youngest = std::min_element(suspects.begin(), suspects.end(), [](const Suspect &left, const Suspect &right) {
        return std::pair{!left.confirmed, left.age} < std::pair{!right.confirmed, right.age};
    });
    const core::Duration simultaneousAge = youngest->age + simultaneousStarts;
    const auto isOtherJob = [job = youngest->task.job](const Suspect &suspect) {
        return suspect.task.job != job;
    };
    std::map<TaskName, core::Duration> ages;
    for (const Suspect &suspect : suspects) {
        ages.emplace(suspect.task, suspect.age);
    }
    const Worker *crashed = m_with.state.findWorker(worker);
    Circumstances circumstances;
    circumstances.pool = crashed == nullptr ? std::string{} : crashed->entry.pool;
    m_history.add(circumstances.pool, std::move(ages), now);
    circumstances.alone = std::none_of(suspects.begin(), suspects.end(), isOtherJob);
    for (const Suspect &suspect : suspects) {
        circumstances.amongLast = suspect.age <= std::min(simultaneousAge, internal::likelyAge);
        circumstances.likely = suspect.confirmed && circumstances.amongLast;
        // Also for a start that was not confirmed: it was isolated from those before it, whether or not they were.
        circumstances.sole = std::none_of(suspects.begin(), suspects.end(), [&suspect](const Suspect &other) {
            return other.task.job != suspect.task.job && other.age <= suspect.age + simultaneousStarts;
        });
        if (suspect.age <= internal::harmlessAge) {
            recordEvidence(worker, suspect, circumstances, now);
        }
    }
}

void CrashAttribution::recordIdleCrash(const Worker &worker, core::TimePoint now)
{
    m_with.output.logDecision("worker_crashed", "", worker.entry.id, "detected_by=worker_ended runs=0 in_doubt=0");
    m_history.add(worker.entry.pool, {}, now);
}

void CrashAttribution::recordEvidence(const std::string &worker, const Suspect &suspect, const Circumstances &circumstances, core::TimePoint now)
{
    const TaskReference reference = m_with.state.findTask(suspect.task);
    if (reference.task == nullptr || reference.task->record.done || isFinal(reference.entry->state)) {
        return;
    }
    Task &task = *reference.task;
    std::vector<std::int64_t> &runs = task.record.crashedRuns;
    if (std::find(runs.begin(), runs.end(), suspect.run) != runs.end()) {
        return;
    }
    task.suspectedAt = now;
    if (suspect.confirmed && suspect.age > 2 * CrashHistory::promptAge) {
        clearPromptCrashes(*reference.entry, task);
    }
    task.crashAges.push_back(suspect.age);
    task.soleCrashes += circumstances.sole && circumstances.amongLast ? 1 : 0;
    if (circumstances.likely) {
        runs.push_back(suspect.run);
        m_with.saves.markChanged(*reference.entry);
        task.evidenceVersion = reference.entry->version;
    } else if (circumstances.amongLast) {
        ++task.unconfirmedCrashes;
    } else {
        ++task.unlikelyCrashes;
    }
    const Coincidence coincidence = coincidenceOf(reference, suspect.task, circumstances.pool, now);
    task.onTrial = task.unlikelyCrashes >= internal::unlikelyCrashesForTrial && coincidence.logAll <= internal::maxLogCoincidenceForTrial;
    m_with.output.logDecision("crash_suspected",
                              toText(suspect.task),
                              worker,
                              absl::StrCat("run=",
                                           suspect.run,
                                           " age_ms=",
                                           core::milliseconds(suspect.age),
                                           " alone=",
                                           circumstances.alone ? 1 : 0,
                                           " sole=",
                                           circumstances.sole ? 1 : 0,
                                           " crashes=",
                                           runs.size(),
                                           " unlikely=",
                                           task.unlikelyCrashes,
                                           " unconfirmed=",
                                           task.unconfirmedCrashes,
                                           " log_prompt=",
                                           std::llround(coincidence.logPrompt),
                                           " log_all=",
                                           std::llround(coincidence.logAll)));
    if (isGuilty(reference, suspect.task, circumstances.alone, coincidence)) {
        m_guilty.insert(suspect.task);
        m_history.explain(suspect.task);
    }
}

CrashAttribution::Coincidence CrashAttribution::coincidenceOf(const TaskReference &reference,
                                                              const TaskName &name,
                                                              const std::string &pool,
                                                              core::TimePoint now) const
{
    std::vector<core::Duration> ages = reference.task->crashAges;
    ages.insert(ages.end(), static_cast<std::size_t>(reference.task->inheritedCrashes), internal::recordedAge);
    const std::map<std::string, Worker> &workers = std::as_const(m_with.state).workers();
    const std::ptrdiff_t count = std::count_if(workers.begin(), workers.end(), [&pool](const std::pair<const std::string, Worker> &item) {
        return item.second.registered && item.second.entry.pool == pool;
    });
    const CrashHistory::Circumstances circumstances{pool, static_cast<std::size_t>(count), now - m_startedAt};
    return {m_history.logCoincidence(CrashHistory::Scope::Prompt, name, ages, circumstances, now),
            m_history.logCoincidence(CrashHistory::Scope::All, name, ages, circumstances, now)};
}

bool CrashAttribution::isGuilty(const TaskReference &reference, const TaskName &name, bool alone, const Coincidence &coincidence)
{
    const std::int64_t crashes = StateTable::countRuns(reference, name, &TaskRecord::crashedRuns);
    const std::int64_t withUnconfirmed = crashes + reference.task->unconfirmedCrashes;
    const std::int64_t ambiguousLimit = reference.step->gang ? internal::gangCrashesForVerdict : internal::ambiguousCrashesForVerdict;
    const bool isSole = reference.task->soleCrashes > 0;
    const bool isDistinct = isSole && (crashes >= internal::crashesForVerdict || (crashes > 0 && withUnconfirmed > internal::crashesForVerdict));
    const bool isPrompt = coincidence.logPrompt <= internal::maxLogCoincidence && (isDistinct || crashes >= ambiguousLimit);
    // What else ran on the workers may be the cause of late crashes, so that only a task that was alone can be told from it.
    const bool isLate =
        coincidence.logAll <= internal::maxLogCoincidence && alone && withUnconfirmed + reference.task->unlikelyCrashes >= internal::crashesForVerdictAlone;
    return isPrompt || isLate;
}

void CrashAttribution::handleProgress(const TaskReference &reference, const TaskName &name, core::TimePoint now)
{
    Task &task = *reference.task;
    const core::Duration age = now - task.startedAt;
    const bool isLate = task.unlikelyCrashes > 0 && age > internal::harmlessAge;
    const bool isPrompt = (!task.record.crashedRuns.empty() || task.unconfirmedCrashes > 0) && age > internal::likelyAge;
    if (task.percent <= 0 || (!isLate && !isPrompt)) {
        return;
    }
    m_with.output.logDecision(
        "suspicion_cleared",
        toText(name),
        task.worker,
        absl::StrCat("run=", task.run, " crashes=", task.record.crashedRuns.size(), " unlikely=", task.unlikelyCrashes, " age_ms=", core::milliseconds(age)));
    if (isPrompt) {
        clearPromptCrashes(*reference.entry, task);
    }
    if (isLate) {
        task.unlikelyCrashes = 0;
        task.crashAges.clear();
        task.onTrial = false;
    }
}

void CrashAttribution::clearPromptCrashes(JobEntry &entry, Task &task)
{
    if (!task.record.crashedRuns.empty()) {
        task.record.crashedRuns.clear();
        m_with.saves.markChanged(entry);
    }
    // Crashes that came later after a start stay on record.
    std::erase_if(task.crashAges, [](core::Duration age) {
        return age <= CrashHistory::promptAge;
    });
    task.soleCrashes = 0;
    task.unconfirmedCrashes = 0;
    task.inheritedCrashes = 0;
    task.unlikelyCrashes = static_cast<std::int64_t>(task.crashAges.size());
}

void CrashAttribution::advance(core::TimePoint now, std::int64_t wallMs)
{
    for (const TaskName &name : std::exchange(m_guilty, {})) {
        const TaskReference reference = m_with.state.findTask(name);
        if (reference.task != nullptr && !isFinal(reference.entry->state)) {
            const std::int64_t crashes = StateTable::countRuns(reference, name, &TaskRecord::crashedRuns);
            m_with.jobs.fail(*reference.entry, absl::StrCat("task ", toText(name), " crashed ", crashes, " workers"), wallMs, now);
        }
    }
}

} // namespace oleanderwick::jobs
