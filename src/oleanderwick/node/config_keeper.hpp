#pragma once

#include <mutex>
#include <string>

#include "messages.hpp"

namespace oleanderwick::node
{

/** @brief Configuration in force on this node, whatever way it came; only larger numbers replace it. Safe from any thread. */
class ConfigKeeper
{
public:
    /**
     * @brief Starts with the empty configuration, number 0.
     * @param decisions Ring that is told of each new one.
     */
    explicit ConfigKeeper(DecisionRing &decisions);

    /** @return Configuration in force. */
    [[nodiscard]] config::SnapshotPtr current() const;

    /**
     * @brief Takes a record that was accepted.
     * @param record Record from the store or a peer.
     * @return True if it is larger than the one before and now in force.
     */
    bool offer(config::Record record);

private:
    DecisionRing &m_decisions;
    mutable std::mutex m_mutex;
    config::SnapshotPtr m_current;
};

} // namespace oleanderwick::node
