#include "commanded_instances.hpp"

#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** Bounds by how much a successor waits longer than necessary; short against the delay of some seconds. */
constexpr core::Duration recordInterval = std::chrono::milliseconds{500};

} // namespace internal

CommandedInstances::CommandedInstances(core::Duration delay, core::Duration maxFlight)
    : m_delay{delay}
    , m_maxFlight{maxFlight}
{
}

void CommandedInstances::handleCommand(const std::string &instance)
{
    m_endTimes[instance] = core::TimePoint::max();
}

void CommandedInstances::handleReply(const std::string &instance, core::TimePoint now)
{
    const auto found = m_endTimes.find(instance);
    if (found != m_endTimes.end()) {
        found->second = now + m_delay;
    }
}

std::optional<CommandedInstances::EndTimes> CommandedInstances::restore(const std::string &record, core::TimePoint startedAt)
{
    const nlohmann::json value = core::parseJsonOrDiscard(record);
    // Earlier versions wrote an array of names, without time spans.
    const bool isArray = value.is_array();
    if (!isArray && !value.is_object()) {
        return std::nullopt;
    }
    m_isRecordEmpty = value.empty();
    for (auto item = value.begin(); item != value.end(); ++item) {
        const nlohmann::json &name = item.value();
        if (isArray && name.is_string()) {
            m_endTimes[name.get<std::string>()] = startedAt + m_delay + m_maxFlight;
        } else if (!isArray) {
            const std::int64_t recordedMs = item.value().is_number_integer() ? item.value().get<std::int64_t>() : INT64_MAX;
            const std::int64_t longestMs = core::milliseconds(m_delay + m_maxFlight);
            const bool isValid = recordedMs >= 0 && recordedMs <= longestMs;
            m_endTimes[item.key()] = startedAt + std::chrono::milliseconds{isValid ? recordedMs : longestMs};
        }
    }
    return m_endTimes;
}

bool CommandedInstances::isWriteDue(core::TimePoint now) const noexcept
{
    return !m_isRecordEmpty && now - m_writtenAt >= internal::recordInterval;
}

std::string CommandedInstances::takeRecord(core::TimePoint now)
{
    std::erase_if(m_endTimes, [now](const std::pair<const std::string, core::TimePoint> &item) {
        return item.second <= now;
    });
    nlohmann::json record = nlohmann::json::object();
    for (const std::pair<const std::string, core::TimePoint> &item : m_endTimes) {
        const bool inFlight = item.second == core::TimePoint::max();
        record[item.first] = inFlight ? core::milliseconds(m_delay + m_maxFlight) : core::milliseconds(item.second - now) + 1;
    }
    m_writtenAt = now;
    m_isRecordEmpty = m_endTimes.empty();
    return record.dump();
}

} // namespace oleanderwick::jobnode
