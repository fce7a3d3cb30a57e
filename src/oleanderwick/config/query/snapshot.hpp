#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "../keys.hpp"
#include "../record.hpp"

namespace oleanderwick::config
{

/** @brief Immutable configuration with the indexes that serving requests needs. */
class Snapshot
{
public:
    /**
     * @brief Builds the indexes of a record.
     * @param record Record that the snapshot keeps.
     */
    explicit Snapshot(Record record);

    /** @return Version of the configuration. */
    [[nodiscard]] Version version() const noexcept;
    /** @return Record with the document and its history. */
    [[nodiscard]] const Record &record() const noexcept;
    /** @return Document of the record. */
    [[nodiscard]] const Document &document() const noexcept;

    /**
     * @brief Finds the team that a key belongs to.
     * @param key Key sent by a caller.
     * @return The team, or std::nullopt if the id is unknown or the secret is wrong.
     */
    [[nodiscard]] std::optional<core::TeamId> teamOf(const PresentedKey &key) const;

    /**
     * @brief Finds a queue.
     * @param id Name of the queue.
     * @return The queue, or null if there is none of that name.
     */
    [[nodiscard]] const Queue *queue(const core::QueueId &id) const;

    /**
     * @brief Checks whether a team is listed for a queue.
     * @param queue Queue to check; its `open` flag is ignored.
     * @param team Team of the caller.
     * @return True if `Queue::teams` contains the team.
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
