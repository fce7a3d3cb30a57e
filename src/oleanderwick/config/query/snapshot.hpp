#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "../keys.hpp"
#include "../record.hpp"

namespace oleanderwick::config
{

/** @brief Configuration in force with the indexes that requests need. */
class Snapshot
{
public:
    /**
     * @brief Indexes a record.
     * @param record Record to hold.
     */
    explicit Snapshot(Record record);

    /** @return Number of the configuration. */
    [[nodiscard]] Version version() const noexcept;
    /** @return The record itself. */
    [[nodiscard]] const Record &record() const noexcept;
    /** @return The document itself. */
    [[nodiscard]] const Document &document() const noexcept;

    /**
     * @brief Finds the team that a key belongs to.
     * @param key Key as shown by a caller.
     * @return The team, or nothing if no such key is in force.
     */
    [[nodiscard]] std::optional<core::TeamId> teamOf(const PresentedKey &key) const;

    /**
     * @brief Finds a queue.
     * @param id Name of the queue.
     * @return The queue, or null.
     */
    [[nodiscard]] const Queue *queue(const core::QueueId &id) const;

    /**
     * @brief Tells whether a team may use a queue.
     * @param queue Queue asked for.
     * @param team Team that asks.
     * @return True if it may.
     */
    [[nodiscard]] static bool allows(const Queue &queue, const core::TeamId &team);

private:
    struct KeyOwner {
        core::TeamId team;
        std::string hash;
    };

    Record m_record;
    std::unordered_map<core::KeyId, KeyOwner> m_keys;
};

} // namespace oleanderwick::config
