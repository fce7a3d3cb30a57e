#include "wave_record.hpp"

#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"

namespace oleanderwick::jobs
{

using json = nlohmann::json;

std::string toRecord(const WaveProgress &progress)
{
    const json value{{"completed", progress.completed},
                     {"deadline", progress.deadlineMs},
                     {"begun", progress.startedInstances},
                     {"commanded", progress.commandedInstances},
                     {"finished", progress.finishedInstances}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<WaveProgress> waveProgressFromRecord(const std::string &text)
{
    const absl::StatusOr<json> value = core::parseJson(text);
    if (!value.ok()) {
        return value.status();
    }
    try {
        WaveProgress progress;
        value->at("completed").get_to(progress.completed);
        progress.deadlineMs = value->value("deadline", std::int64_t{0});
        progress.startedInstances = value->value("begun", std::set<std::string>{});
        progress.commandedInstances = value->value("commanded", std::map<std::string, std::string>{});
        progress.finishedInstances = value->value("finished", std::set<std::string>{});
        return progress;
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace oleanderwick::jobs
