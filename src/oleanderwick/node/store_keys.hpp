#pragma once

#include <cstddef>
#include <string>

namespace oleanderwick::node
{

/** @brief Keys of the store that the fleet uses. */
class StoreKeys
{
public:
    /**
     * @brief Sets the start of all keys.
     * @param prefix Start, without a slash at its end.
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

    /** @return Start of the keys of registered nodes. */
    [[nodiscard]] std::string nodes() const
    {
        return m_prefix + "/nodes/";
    }

    /** @return Key of the book of waves. */
    [[nodiscard]] std::string waves() const
    {
        return m_prefix + "/waves/book";
    }

    /**
     * @brief Gives the key under which an `Idempotency-Key` is kept.
     * @param name Digest of team, queue and key.
     * @return The key.
     */
    [[nodiscard]] std::string keyed(const std::string &name) const
    {
        return m_prefix + "/keyed/" + name;
    }

    /**
     * @brief Gives the key of a shard of the ledger.
     * @param shard Number of the shard.
     * @return The key.
     */
    [[nodiscard]] std::string ledger(std::size_t shard) const
    {
        return m_prefix + "/ledger/" + std::to_string(shard);
    }

private:
    std::string m_prefix;
};

} // namespace oleanderwick::node
