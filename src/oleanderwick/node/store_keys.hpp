#pragma once

#include <cstddef>
#include <string>

namespace oleanderwick::node
{

/** @brief Keys under which the fleet keeps its data in the store. */
class StoreKeys
{
public:
    /**
     * @brief Sets the common prefix of all keys.
     * @param prefix Prefix without a trailing slash.
     */
    explicit StoreKeys(std::string prefix)
        : m_prefix{std::move(prefix)}
    {
    }

    /** @return Key of the configuration record. */
    [[nodiscard]] std::string config() const
    {
        return m_prefix + "/config/head";
    }

    /** @return Prefix of the keys of registered nodes; the name of the node follows. */
    [[nodiscard]] std::string nodes() const
    {
        return m_prefix + "/nodes/";
    }

    /** @return Key of the list of waves. */
    [[nodiscard]] std::string waves() const
    {
        return m_prefix + "/waves/book";
    }

    /**
     * @brief Returns the key of the record of an `Idempotency-Key`.
     * @param name Digest of team, queue and key, see `idempotencyRecordName`.
     * @return Key in the store.
     */
    [[nodiscard]] std::string idempotency(const std::string &name) const
    {
        return m_prefix + "/keyed/" + name;
    }

    /**
     * @brief Returns the key of a shard of the ledger.
     * @param shard Index of the shard.
     * @return Key in the store.
     */
    [[nodiscard]] std::string ledger(std::size_t shard) const
    {
        return m_prefix + "/ledger/" + std::to_string(shard);
    }

private:
    std::string m_prefix;
};

} // namespace oleanderwick::node
