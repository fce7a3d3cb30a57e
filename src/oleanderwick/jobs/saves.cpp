#include "scheduler.hpp"

#include <algorithm>

namespace oleanderwick::jobs
{

void Scheduler::recordSaved(const std::string &id, std::uint64_t version, bool stored)
{
    JobEntry *entry = findEntry(id);
    if (entry == nullptr) {
        return;
    }
    entry->savingVersion = 0;
    if (stored) {
        entry->savedVersion = std::max(entry->savedVersion, version);
        entry->storedState = entry->savingState;
    }
    if (entry->savedVersion < entry->version) {
        addUnsaved(*entry);
    }
}

void Scheduler::handleSaved(const std::string &job, std::uint64_t version, bool stored)
{
    recordSaved(job, version, stored);
    advanceAllAcks();
}

void Scheduler::handleSaved(const std::vector<SaveRequest> &saves, bool stored)
{
    for (const SaveRequest &request : saves) {
        recordSaved(request.job, request.version, stored);
    }
    advanceAllAcks();
}

std::vector<SaveRequest> Scheduler::takeSaves(std::size_t maxEntries)
{
    std::vector<SaveRequest> saves;
    constexpr std::size_t maxEntriesPerSave = 3;
    std::size_t entries = 0;
    while (entries + maxEntriesPerSave <= maxEntries && !m_unsaved.empty()) {
        const std::pair<const std::uint64_t, std::string> first = *(m_unsavedEnds.empty() ? m_unsaved : m_unsavedEnds).begin();
        const std::string &id = first.second;
        m_unsavedEnds.erase(first.first);
        m_unsaved.erase(first.first);
        JobEntry *entry = findEntry(id);
        if (entry == nullptr || entry->savingVersion != 0) {
            continue;
        }
        entry->unsavedNumber = 0;
        entry->savingVersion = entry->version;
        entry->savingState = entry->state;
        SaveRequest save{id, entry->version, JobRecord{entry->state, entry->endedMs, {}, entry->nextOccurrence}, entry->job.queue, false};
        save.leavesQueue = entry->storedState == JobState::Queued && entry->state != JobState::Queued;
        entries += save.storeEntries();
        if (!isFinal(entry->state)) {
            for (const std::pair<const std::int64_t, Occurrence> &occurrence : entry->occurrences) {
                std::vector<std::vector<TaskRecord>> &steps = save.record.occurrences[occurrence.first];
                for (const StepState &step : occurrence.second.steps) {
                    std::vector<TaskRecord> &tasks = steps.emplace_back();
                    for (const Task &task : step.tasks) {
                        tasks.push_back(task.record);
                    }
                }
            }
        }
        saves.push_back(std::move(save));
    }
    return saves;
}

bool Scheduler::hasUnsaved() const noexcept
{
    return !m_unsaved.empty();
}

bool Scheduler::hasUnsavedEnd() const noexcept
{
    return !m_unsavedEnds.empty();
}

void Scheduler::markChanged(JobEntry &entry)
{
    ++entry.version;
    if (entry.savingVersion == 0) {
        addUnsaved(entry);
    }
}

void Scheduler::addUnsaved(JobEntry &entry)
{
    if (entry.unsavedNumber == 0) {
        entry.unsavedNumber = ++m_lastUnsaved;
        m_unsaved[entry.unsavedNumber] = entry.job.id;
    }
    if (isFinal(entry.state)) {
        m_unsavedEnds[entry.unsavedNumber] = entry.job.id;
    }
}

} // namespace oleanderwick::jobs
