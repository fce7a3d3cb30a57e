#include "codec.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"

namespace oleanderwick::jobs
{

namespace internal
{

using nlohmann::json;

/** Limits the memory that a single step of a stored job can make the scheduler allocate, in tasks. */
constexpr std::int64_t maxTasksPerStep = 100'000;

json toJson(const Step &step)
{
    return json::array({step.count,
                        step.each.cpu,
                        step.each.memory,
                        step.each.gpu,
                        step.estimateMs,
                        step.after,
                        step.savesProgress,
                        step.gang,
                        step.sameRack,
                        step.speculative,
                        step.continuous,
                        step.bestEffort,
                        step.requiredLabel,
                        step.affinityRack,
                        step.maxPerWorker,
                        step.image,
                        step.targetMs,
                        step.maxUnavailable});
}

Step toStep(const json &row)
{
    Step step;
    std::size_t column = 0;
    const auto next = [&row, &column](auto &field) {
        row.at(column).get_to(field);
        ++column;
    };
    next(step.count);
    next(step.each.cpu);
    next(step.each.memory);
    next(step.each.gpu);
    next(step.estimateMs);
    next(step.after);
    next(step.savesProgress);
    next(step.gang);
    next(step.sameRack);
    next(step.speculative);
    next(step.continuous);
    next(step.bestEffort);
    next(step.requiredLabel);
    next(step.affinityRack);
    next(step.maxPerWorker);
    next(step.image);
    next(step.targetMs);
    next(step.maxUnavailable);
    if (step.count < 0 || step.count > maxTasksPerStep) {
        throw std::out_of_range("number of tasks of a step is out of range");
    }
    return step;
}

/** Writes a task that has not started as 0 and one that succeeded in its first run as 1, as this covers most tasks. */
json toJson(const TaskRecord &task)
{
    if (task == TaskRecord{}) {
        return 0;
    }
    if (task == TaskRecord{true, {}, 1, {}}) {
        return 1;
    }
    json row = json::array({task.done, task.failedRuns, task.lastRun, task.checkpoint});
    if (!task.crashedRuns.empty()) {
        row.push_back(task.crashedRuns);
    }
    return row;
}

TaskRecord toTask(const json &value)
{
    if (value.is_number_integer()) {
        return value.get<int>() == 0 ? TaskRecord{} : TaskRecord{true, {}, 1, {}};
    }
    using Runs = std::vector<std::int64_t>;
    TaskRecord task{value.at(0).get<bool>(), value.at(1).get<Runs>(), value.at(2).get<std::int64_t>(), value.at(3).get<std::string>()};
    if (value.size() > 4) {
        task.crashedRuns = value.at(4).get<Runs>();
    }
    return task;
}

} // namespace internal

using internal::json;

std::string toRecord(const Job &job)
{
    json steps = json::array();
    for (const Step &step : job.steps) {
        steps.push_back(internal::toJson(step));
    }
    const json value{{"id", job.id},
                     {"queue", job.queue},
                     {"pool", job.pool},
                     {"team", job.team},
                     {"spec", job.spec},
                     {"submitted", job.submittedMs},
                     {"repeat", job.repeatCount},
                     {"first", job.firstRunMs},
                     {"interval", job.intervalMs},
                     {"attempts", job.maxAttempts},
                     {"steps", std::move(steps)}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<Job> jobFromRecord(const std::string &text)
{
    const absl::StatusOr<json> parsed = core::parseJson(text);
    if (!parsed.ok()) {
        return parsed.status();
    }
    try {
        const json &value = *parsed;
        Job job;
        value.at("id").get_to(job.id);
        value.at("queue").get_to(job.queue);
        value.at("pool").get_to(job.pool);
        value.at("team").get_to(job.team);
        value.at("spec").get_to(job.spec);
        value.at("submitted").get_to(job.submittedMs);
        value.at("repeat").get_to(job.repeatCount);
        value.at("first").get_to(job.firstRunMs);
        value.at("interval").get_to(job.intervalMs);
        value.at("attempts").get_to(job.maxAttempts);
        for (const json &row : value.at("steps")) {
            job.steps.push_back(internal::toStep(row));
        }
        return job;
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

std::string toRecord(const JobRecord &record)
{
    json occurrences = json::array();
    for (const std::pair<const std::int64_t, std::vector<std::vector<TaskRecord>>> &entry : record.occurrences) {
        json steps = json::array();
        for (const std::vector<TaskRecord> &tasks : entry.second) {
            json rows = json::array();
            for (const TaskRecord &task : tasks) {
                rows.push_back(internal::toJson(task));
            }
            steps.push_back(std::move(rows));
        }
        occurrences.push_back(json::array({entry.first, std::move(steps)}));
    }
    json value{{"state", static_cast<int>(record.state)}, {"ended", record.endedMs}, {"next", record.nextOccurrence}, {"runs", std::move(occurrences)}};
    if (record.yields > 0) {
        value["yields"] = record.yields;
    }
    if (!record.reason.empty()) {
        value["reason"] = record.reason;
    }
    if (record.team.has_value()) {
        value["team"] = *record.team;
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<JobRecord> progressFromRecord(const std::string &text)
{
    const absl::StatusOr<json> parsed = core::parseJson(text);
    if (!parsed.ok()) {
        return parsed.status();
    }
    try {
        const json &value = *parsed;
        JobRecord record;
        const int state = value.at("state").get<int>();
        if (state < 0 || state > static_cast<int>(JobState::Cancelled)) {
            return absl::InvalidArgumentError("unknown job state");
        }
        record.state = static_cast<JobState>(state);
        value.at("ended").get_to(record.endedMs);
        value.at("next").get_to(record.nextOccurrence);
        record.yields = value.value("yields", std::int64_t{0});
        record.reason = value.value("reason", std::string{});
        if (value.contains("team")) {
            record.team = value["team"].get<std::string>();
        }
        for (const json &entry : value.at("runs")) {
            std::vector<std::vector<TaskRecord>> &steps = record.occurrences[entry.at(0).get<std::int64_t>()];
            for (const json &rows : entry.at(1)) {
                std::vector<TaskRecord> &tasks = steps.emplace_back();
                std::transform(rows.begin(), rows.end(), std::back_inserter(tasks), internal::toTask);
            }
        }
        return record;
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace oleanderwick::jobs
