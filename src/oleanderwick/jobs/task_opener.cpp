#include "task_opener.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include <absl/strings/str_cat.h>

#include "job_estimates.hpp"

namespace oleanderwick::jobs
{

namespace internal
{

/** Run numbers left out for each task after a change of owner: the previous owner may have used them without storing it. */
constexpr std::int64_t skippedRunNumbers = 8;
/** Limit on the open tasks of a step that wait for a start. */
constexpr std::int64_t openAhead = 512;
/** Examining a job is linear in its tasks, and there may be as many deferred jobs as are accepted. */
constexpr core::Duration examinationPerDeferredJob = std::chrono::microseconds{20};
constexpr core::Duration maxDeferredInterval = std::chrono::milliseconds{50};

/** Unix time in milliseconds from which an occurrence may start; 0 for a job that does not repeat. */
std::int64_t dueMs(const Job &job, std::int64_t occurrence)
{
    return job.repeatCount > 0 ? job.firstRunMs + occurrence * job.intervalMs : 0;
}

/** Number of occurrences that are due, of a job that repeats. */
std::int64_t countDue(const Job &job, std::int64_t wallMs)
{
    const std::int64_t passed = job.intervalMs > 0 ? (wallMs - job.firstRunMs) / job.intervalMs + 1 : job.repeatCount;
    return std::clamp<std::int64_t>(passed, 0, job.repeatCount);
}

} // namespace internal

TaskOpener::TaskOpener(const Collaborators &collaborators, std::int64_t maxOpenTasks)
    : m_with{collaborators}
    , m_openTasks{maxOpenTasks}
{
}

OpenTaskFigures TaskOpener::figures() const noexcept
{
    return {m_openTasks.count(), static_cast<std::int64_t>(m_deferred.size())};
}

void TaskOpener::add(JobEntry &entry, const JobRecord *record)
{
    if (record != nullptr) {
        for (const std::pair<const std::int64_t, std::vector<std::vector<TaskRecord>>> &saved : record->occurrences) {
            openOccurrence(entry, saved.first, &saved.second);
        }
    }
    m_unopened.insert(entry.job.id);
}

void TaskOpener::handleTaskDone(const TaskName &name)
{
    m_done.insert(name);
}

void TaskOpener::handleStepDone(const JobEntry &entry)
{
    m_unopened.insert(entry.job.id);
}

void TaskOpener::remove(const JobEntry &entry)
{
    m_openTasks.remove(entry.job.team, entry.openTasks);
}

void TaskOpener::openOccurrence(JobEntry &entry, std::int64_t number, const std::vector<std::vector<TaskRecord>> *records)
{
    Occurrence &occurrence = entry.occurrences[number];
    occurrence.dueMs = internal::dueMs(entry.job, number);
    for (std::size_t index = 0; index < entry.job.steps.size(); ++index) {
        StepState &state = occurrence.steps.emplace_back();
        state.remaining = static_cast<std::size_t>(entry.job.steps[index].count);
        if (records != nullptr && index < records->size()) {
            restoreTasks(entry, state, (*records)[index]);
        }
        occurrence.remainingSteps += state.remaining > 0 ? 1 : 0;
    }
}

void TaskOpener::restoreTasks(JobEntry &entry, StepState &state, const std::vector<TaskRecord> &records)
{
    const std::size_t count = std::min(records.size(), state.remaining);
    const std::size_t done =
        static_cast<std::size_t>(std::count_if(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), [](const TaskRecord &record) {
            return record.done;
        }));
    state.remaining -= done;
    if (state.remaining == 0) {
        return;
    }
    std::size_t known = count;
    while (known > 0 && records[known - 1] == TaskRecord{}) {
        --known;
    }
    for (std::size_t index = 0; index < known; ++index) {
        if (records[index].done) {
            state.tasks.appendClosed();
            continue;
        }
        openTasks(entry, state, index + 1);
        Task &task = state.tasks[index];
        const std::int64_t skipped = task.record.lastRun;
        task.record = records[index];
        task.record.lastRun += skipped;
        task.inheritedCrashes = static_cast<std::int64_t>(task.record.crashedRuns.size());
    }
}

void TaskOpener::openTasks(JobEntry &entry, StepState &state, std::size_t count)
{
    const std::size_t before = state.tasks.size();
    while (state.tasks.size() < count) {
        state.tasks.append().record.lastRun = entry.predatesTerm ? internal::skippedRunNumbers : 0;
    }
    const std::int64_t opened = static_cast<std::int64_t>(count - before);
    entry.openTasks += opened;
    m_openTasks.add(entry.job.team, opened);
    m_with.state.requestPlacement();
}

bool TaskOpener::openReadySteps(JobEntry &entry, Occurrence &occurrence)
{
    bool hadRoom = true;
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
        const Step &step = entry.job.steps[index];
        StepState &state = occurrence.steps[index];
        const std::int64_t unopened = state.unopenedTasks(step);
        const std::int64_t waiting = state.waitingTasks(step);
        if (unopened == 0 || (!step.gang && waiting > internal::openAhead / 2) || !JobEstimates::isStepReady(entry.job, occurrence, index)) {
            continue;
        }
        const std::int64_t wanted = step.gang ? unopened : std::min(unopened, internal::openAhead - waiting);
        std::int64_t opened = std::min(wanted, m_openTasks.roomFor(entry.job.team));
        if (step.gang && opened < wanted) {
            opened = 0;
        }
        if (opened > 0) {
            openTasks(entry, state, state.tasks.size() + static_cast<std::size_t>(opened));
        }
        hadRoom = hadRoom && opened == wanted;
    }
    return hadRoom;
}

bool TaskOpener::openDueOccurrences(JobEntry &entry, std::int64_t wallMs)
{
    const std::int64_t before = entry.nextOccurrence;
    entry.deferredOccurrences = 0;
    bool hasUnfinished = std::any_of(entry.occurrences.begin(), entry.occurrences.end(), [](const std::pair<const std::int64_t, Occurrence> &occurrence) {
        return occurrence.second.remainingSteps > 0;
    });
    while (entry.nextOccurrence < entry.job.occurrenceCount() && internal::dueMs(entry.job, entry.nextOccurrence) <= wallMs) {
        if (hasUnfinished && m_openTasks.roomFor(entry.job.team) == 0) {
            entry.deferredOccurrences = internal::countDue(entry.job, wallMs) - entry.nextOccurrence;
            break;
        }
        openOccurrence(entry, entry.nextOccurrence, nullptr);
        (void)openReadySteps(entry, entry.occurrences.at(entry.nextOccurrence));
        hasUnfinished = true;
        ++entry.nextOccurrence;
    }
    if (before != entry.nextOccurrence && entry.job.repeatCount > 0) {
        m_with.saves.markChanged(entry);
    }
    return entry.deferredOccurrences == 0;
}

bool TaskOpener::openJob(JobEntry &entry, core::TimePoint now, std::int64_t wallMs)
{
    bool hadRoom = openDueOccurrences(entry, wallMs);
    for (std::pair<const std::int64_t, Occurrence> &occurrence : entry.occurrences) {
        hadRoom = (occurrence.second.remainingSteps == 0 || openReadySteps(entry, occurrence.second)) && hadRoom;
    }
    if (!hadRoom && !hasStartableTask(entry, now) && !openOneTask(entry) && entry.deferredOccurrences > 0) {
        openOccurrence(entry, entry.nextOccurrence, nullptr);
        ++entry.nextOccurrence;
        --entry.deferredOccurrences;
        m_with.saves.markChanged(entry);
        (void)openOneTask(entry);
    }
    return hadRoom;
}

bool TaskOpener::hasStartableTask(const JobEntry &entry, core::TimePoint now)
{
    for (const std::pair<const std::int64_t, Occurrence> &occurrence : entry.occurrences) {
        for (const StepState &step : occurrence.second.steps) {
            const bool isStartable = step.remaining > 0 && std::any_of(step.tasks.begin(), step.tasks.end(), [now](const Task &task) {
                                         return task.mayStart(now);
                                     });
            if (isStartable) {
                return true;
            }
        }
    }
    return false;
}

bool TaskOpener::openOneTask(JobEntry &entry)
{
    for (std::pair<const std::int64_t, Occurrence> &occurrence : entry.occurrences) {
        for (std::size_t index = 0; index < occurrence.second.steps.size(); ++index) {
            const Step &step = entry.job.steps[index];
            StepState &state = occurrence.second.steps[index];
            if (state.unopenedTasks(step) == 0 || !JobEstimates::isStepReady(entry.job, occurrence.second, index)) {
                continue;
            }
            if (!step.gang || mayHold(entry.job.pool, step)) {
                openTasks(entry, state, step.gang ? static_cast<std::size_t>(step.count) : state.tasks.size() + 1);
                return true;
            }
        }
    }
    return false;
}

bool TaskOpener::mayHold(const std::string &pool, const Step &step) const
{
    Resources capacity;
    for (const std::pair<const std::string, Worker> &worker : std::as_const(m_with.state).workers()) {
        if (worker.second.registered && worker.second.entry.pool == pool) {
            capacity = capacity + worker.second.entry.capacity;
        }
    }
    const Resources each = StateTable::demandOf(step);
    return fits(Resources{each.cpu * step.count, each.memory * step.count, each.gpu * step.count}, capacity);
}

bool TaskOpener::openReported(JobEntry &entry, const TaskName &name)
{
    const Step &step = entry.job.steps[name.step];
    if (isFinal(entry.state) || name.occurrence >= entry.job.occurrenceCount() || name.index >= static_cast<std::size_t>(step.count)) {
        return false;
    }
    if (name.occurrence >= entry.nextOccurrence) {
        m_with.output.logDecision("occurrence_reported", entry.job.id, "", absl::StrCat("occurrence=", name.occurrence, " next=", entry.nextOccurrence));
        while (entry.nextOccurrence <= name.occurrence) {
            openOccurrence(entry, entry.nextOccurrence, nullptr);
            ++entry.nextOccurrence;
        }
        m_unopened.insert(entry.job.id);
        m_with.saves.markChanged(entry);
    }
    const auto occurrence = entry.occurrences.find(name.occurrence);
    if (occurrence == entry.occurrences.end()) {
        return false;
    }
    StepState &state = occurrence->second.steps[name.step];
    if (state.remaining == 0 || name.index < state.tasks.size()) {
        return false;
    }
    openTasks(entry, state, step.gang ? static_cast<std::size_t>(step.count) : name.index + 1);
    return true;
}

void TaskOpener::advance(core::TimePoint now, std::int64_t wallMs)
{
    const core::Duration interval = internal::examinationPerDeferredJob * static_cast<std::int64_t>(m_deferred.size());
    if (now - m_deferredExaminedAt >= std::min(interval, internal::maxDeferredInterval)) {
        m_deferredExaminedAt = now;
        m_unopened.insert(m_deferred.begin(), m_deferred.end());
    }
    closeDone();
    for (auto id = m_unopened.begin(); id != m_unopened.end();) {
        JobEntry *entry = m_with.state.findJob(*id);
        const bool isOpen = entry != nullptr && !isFinal(entry->state);
        const bool hadRoom = !isOpen || openJob(*entry, now, wallMs);
        if (hadRoom) {
            m_deferred.erase(*id);
        } else if (m_deferred.insert(*id).second) {
            m_with.output.logDecision("job_deferred", *id, "", absl::StrCat("team=", entry->job.team, " open_tasks=", m_openTasks.count()));
        }
        id = isOpen && hadRoom && hasUnopened(*entry) ? std::next(id) : m_unopened.erase(id);
    }
}

bool TaskOpener::hasUnopened(const JobEntry &entry)
{
    if (entry.nextOccurrence < entry.job.occurrenceCount()) {
        return true;
    }
    return std::any_of(entry.occurrences.begin(), entry.occurrences.end(), [&entry](const std::pair<const std::int64_t, Occurrence> &item) {
        const Occurrence &occurrence = item.second;
        for (std::size_t index = 0; occurrence.remainingSteps > 0 && index < occurrence.steps.size(); ++index) {
            const bool isPartlyOpen = occurrence.steps[index].unopenedTasks(entry.job.steps[index]) > 0;
            if (isPartlyOpen && JobEstimates::isStepReady(entry.job, occurrence, index)) {
                return true;
            }
        }
        return false;
    });
}

void TaskOpener::closeDone()
{
    std::erase_if(m_done, [this](const TaskName &name) {
        const TaskReference reference = m_with.state.findTask(name);
        if (reference.task == nullptr || isFinal(reference.entry->state)) {
            return true;
        }
        if (reference.task->isActive()) {
            return false;
        }
        JobEntry &entry = *reference.entry;
        StepState &state = entry.occurrences.at(name.occurrence).steps[name.step];
        const bool isOver = state.remaining == 0 && state.activeTasks == 0;
        const std::int64_t closed = isOver ? state.tasks.clear() : state.tasks.close(name.index);
        entry.openTasks -= closed;
        m_openTasks.remove(entry.job.team, closed);
        return true;
    });
}

} // namespace oleanderwick::jobs
