#include "save_queue.hpp"

#include <algorithm>
#include <utility>

namespace oleanderwick::jobs
{

SaveQueue::SaveQueue(StateTable &state)
    : m_state{state}
{
}

void SaveQueue::markChanged(JobEntry &entry)
{
    ++entry.version;
    if (entry.savingVersion == 0) {
        add(entry);
    }
}

void SaveQueue::add(JobEntry &entry)
{
    if (entry.unsavedNumber == 0) {
        entry.unsavedNumber = ++m_lastNumber;
        m_unsaved[entry.unsavedNumber] = entry.job.id;
    }
    if (isFinal(entry.state)) {
        m_unsavedEnds[entry.unsavedNumber] = entry.job.id;
    }
}

std::vector<SaveRequest> SaveQueue::take(std::size_t maxEntries)
{
    std::vector<SaveRequest> saves;
    constexpr std::size_t maxEntriesPerSave = 3;
    std::size_t entries = 0;
    while (entries + maxEntriesPerSave <= maxEntries && !m_unsaved.empty()) {
        const std::pair<const std::uint64_t, std::string> first = *(m_unsavedEnds.empty() ? m_unsaved : m_unsavedEnds).begin();
        m_unsavedEnds.erase(first.first);
        m_unsaved.erase(first.first);
        JobEntry *entry = m_state.findJob(first.second);
        if (entry == nullptr || entry->savingVersion != 0) {
            continue;
        }
        entry->unsavedNumber = 0;
        entry->savingVersion = entry->version;
        entry->savingState = entry->state;
        saves.push_back(makeRequest(*entry));
        entries += saves.back().storeEntries();
    }
    return saves;
}

SaveRequest SaveQueue::makeRequest(const JobEntry &entry)
{
    SaveRequest save{entry.job.id,
                     entry.version,
                     JobRecord{entry.state, entry.endedMs, {}, entry.nextOccurrence, entry.yields, entry.reason, entry.job.team},
                     entry.job.queue,
                     false};
    save.leavesQueue = entry.storedState == JobState::Queued && entry.state != JobState::Queued;
    if (isFinal(entry.state)) {
        return save;
    }
    for (const std::pair<const std::int64_t, Occurrence> &occurrence : entry.occurrences) {
        std::vector<std::vector<TaskRecord>> &steps = save.record.occurrences[occurrence.first];
        for (std::size_t index = 0; index < occurrence.second.steps.size(); ++index) {
            const StepState &step = occurrence.second.steps[index];
            std::vector<TaskRecord> &tasks = steps.emplace_back();
            if (step.remaining == 0 && step.tasks.empty()) {
                tasks.assign(static_cast<std::size_t>(entry.job.steps[index].count), TaskRecord{true, {}, 1, {}});
            }
            for (const Task &task : step.tasks) {
                tasks.push_back(task.record);
            }
        }
    }
    return save;
}

void SaveQueue::handleSaved(const std::string &id, std::uint64_t version, bool stored)
{
    JobEntry *entry = m_state.findJob(id);
    if (entry == nullptr) {
        return;
    }
    entry->savingVersion = 0;
    if (stored) {
        entry->savedVersion = std::max(entry->savedVersion, version);
        entry->storedState = entry->savingState;
    }
    if (entry->savedVersion < entry->version) {
        add(*entry);
    }
}

bool SaveQueue::hasUnsaved() const noexcept
{
    return !m_unsaved.empty();
}

bool SaveQueue::hasUnsavedEnd() const noexcept
{
    return !m_unsavedEnds.empty();
}

} // namespace oleanderwick::jobs
