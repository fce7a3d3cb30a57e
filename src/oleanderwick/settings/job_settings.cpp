#include "job_settings.hpp"

#include <functional>
#include <map>

#include <absl/strings/str_cat.h>
#include <yaml-cpp/yaml.h>

namespace oleanderwick::settings
{

namespace internal
{

using Reader = std::function<void(const YAML::Node &, JobSettings &)>;

Reader text(std::string JobSettings::*field)
{
    return [field](const YAML::Node &node, JobSettings &settings) {
        settings.*field = node.as<std::string>();
    };
}

Reader milliseconds(core::Duration JobSettings::*field)
{
    return [field](const YAML::Node &node, JobSettings &settings) {
        const double value = node.as<double>();
        if (value < 0) {
            throw YAML::Exception(node.Mark(), "must not be negative");
        }
        settings.*field = std::chrono::microseconds{static_cast<std::int64_t>(value * 1000)};
    };
}

Reader seconds(core::Duration JobSettings::*field)
{
    return [field](const YAML::Node &node, JobSettings &settings) {
        const double value = node.as<double>();
        if (value < 0) {
            throw YAML::Exception(node.Mark(), "must not be negative");
        }
        settings.*field = std::chrono::microseconds{static_cast<std::int64_t>(value * 1'000'000)};
    };
}

Reader factor(double JobSettings::*field)
{
    return [field](const YAML::Node &node, JobSettings &settings) {
        settings.*field = node.as<double>();
        if (!(settings.*field >= 0)) {
            throw YAML::Exception(node.Mark(), "must not be negative");
        }
    };
}

Reader flag(bool JobSettings::*field)
{
    return [field](const YAML::Node &node, JobSettings &settings) {
        settings.*field = node.as<bool>();
    };
}

void readProcessorShare(const YAML::Node &node, JobSettings &settings)
{
    settings.processorShare = node.as<double>();
    if (!(settings.processorShare > 0)) {
        throw YAML::Exception(node.Mark(), "must be above 0");
    }
}

/** Returns a number from `min` to a bound that no machine reaches. */
double readSize(const YAML::Node &node, double min)
{
    constexpr double maxSize = 1e9;
    const double value = node.as<double>();
    if (!(value >= min && value <= maxSize)) {
        throw YAML::Exception(node.Mark(), absl::StrCat("must be a number from ", min, " to ", maxSize));
    }
    return value;
}

void readMemory(const YAML::Node &node, JobSettings &settings)
{
    constexpr double minMb = 16;
    constexpr double bytesPerMb = 1U << 20U;
    settings.limits.memoryBytes = static_cast<std::size_t>(readSize(node, minMb) * bytesPerMb);
}

void readDescriptors(const YAML::Node &node, JobSettings &settings)
{
    constexpr double minDescriptors = 16;
    settings.limits.descriptors = static_cast<std::size_t>(readSize(node, minDescriptors));
}

void readReservedDescriptors(const YAML::Node &node, JobSettings &settings)
{
    settings.reservedDescriptors = static_cast<std::size_t>(readSize(node, 0));
}

void readPeers(const YAML::Node &node, JobSettings &settings)
{
    for (const YAML::Node &peer : node) {
        settings.peers.push_back(peer.as<std::string>());
    }
}

const std::map<std::string, Reader> &readers()
{
    static const std::map<std::string, Reader> table{
        {"node", text(&JobSettings::node)},
        {"zone", text(&JobSettings::zone)},
        {"callers", text(&JobSettings::callers)},
        {"readiness", text(&JobSettings::readiness)},
        {"internal", text(&JobSettings::internal)},
        {"peers", readPeers},
        {"store", text(&JobSettings::store)},
        {"instances", text(&JobSettings::instances)},
        {"advice", text(&JobSettings::advice)},
        {"memoryMb", readMemory},
        {"maxDescriptors", readDescriptors},
        {"reservedDescriptors", readReservedDescriptors},
        {"processorShare", readProcessorShare},
        {"longestLeaseMs", milliseconds(&JobSettings::longestLease)},
        {"orderPauseMs", milliseconds(&JobSettings::orderPause)},
        {"keepEndedS", seconds(&JobSettings::keepEnded)},
        {"stopTimeoutS", seconds(&JobSettings::stopTimeout)},
        {"clearWithin", factor(&JobSettings::clearWithin)},
        {"arrivingWeight", factor(&JobSettings::arrivingWeight)},
        {"clearLateWithin", factor(&JobSettings::clearLateWithin)},
        {"needLastsMs", milliseconds(&JobSettings::needLasts)},
        {"parkAfterMs", milliseconds(&JobSettings::parkAfter)},
        {"moveTimeS", seconds(&JobSettings::moveTime)},
        {"reserveInstances", factor(&JobSettings::reserveInstances)},
        {"notifyOwner", flag(&JobSettings::notifyOwner)},
        {"teamShares", flag(&JobSettings::teamShares)},
        {"teamRateWindowS", seconds(&JobSettings::teamRateWindow)},
        {"attributeFailures", flag(&JobSettings::attributeFailures)},
        {"yieldLateWork", flag(&JobSettings::yieldLateWork)},
        {"remoteFactor", factor(&JobSettings::remoteFactor)},
        {"refuseJobs", flag(&JobSettings::refuseJobs)},
        {"lateBoundFactor", factor(&JobSettings::lateBoundFactor)},
    };
    return table;
}

/** Settings that must not be empty. */
const std::vector<std::pair<const char *, std::string JobSettings::*>> &required()
{
    static const std::vector<std::pair<const char *, std::string JobSettings::*>> list{{"node", &JobSettings::node},
                                                                                       {"callers", &JobSettings::callers},
                                                                                       {"readiness", &JobSettings::readiness},
                                                                                       {"internal", &JobSettings::internal},
                                                                                       {"store", &JobSettings::store}};
    return list;
}

} // namespace internal

bool isJobSettings(const std::string &text)
{
    try {
        return YAML::Load(text)["scheduler"].IsDefined();
    } catch (const YAML::Exception &) {
        return false;
    }
}

absl::StatusOr<JobSettings> parseJobSettings(const std::string &text)
{
    JobSettings settings;
    std::string errors;
    try {
        const YAML::Node root = YAML::Load(text)["scheduler"];
        if (!root.IsMap()) {
            return absl::InvalidArgumentError("scheduler: must be a map");
        }
        for (auto entry = root.begin(); entry != root.end(); ++entry) {
            const std::string name = entry->first.as<std::string>();
            const auto reader = internal::readers().find(name);
            if (reader == internal::readers().end()) {
                absl::StrAppend(&errors, "line ", entry->first.Mark().line + 1, ": unknown setting ", name, "\n");
                continue;
            }
            try {
                if (!entry->second.IsNull()) {
                    reader->second(entry->second, settings);
                }
            } catch (const YAML::Exception &error) {
                absl::StrAppend(&errors, "line ", entry->second.Mark().line + 1, ": ", name, ": ", error.msg, "\n");
            }
        }
    } catch (const YAML::Exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
    for (const std::pair<const char *, std::string JobSettings::*> &item : internal::required()) {
        if ((settings.*item.second).empty()) {
            absl::StrAppend(&errors, "missing setting ", item.first, "\n");
        }
    }
    if (!errors.empty()) {
        return absl::InvalidArgumentError(errors);
    }
    return settings;
}

} // namespace oleanderwick::settings
