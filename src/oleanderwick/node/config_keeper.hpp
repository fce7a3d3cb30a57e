#pragma once

#include <mutex>
#include <string>

#include "messages.hpp"

namespace oleanderwick::node
{

/** @brief Current configuration of this node, whichever source it came from; only replaced by later versions. Thread-safe. */
class ConfigKeeper
{
public:
    /**
     * @brief Starts with the empty configuration, version 0.
     * @param decisions Ring that receives each new configuration; `offer` waits while it is full.
     */
    explicit ConfigKeeper(DecisionRing &decisions);

    /** @return Current configuration, never null. */
    [[nodiscard]] config::SnapshotPtr current() const;

    /**
     * @brief Installs a record if its version is later than the current one.
     * @param record Accepted record from the store or a peer.
     * @return True if the record is now the current configuration.
     */
    bool offer(config::Record record);

private:
    DecisionRing &m_decisions;
    mutable std::mutex m_mutex;
    config::SnapshotPtr m_current;
};

} // namespace oleanderwick::node
