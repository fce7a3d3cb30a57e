#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "../core/core.hpp"
#include "../jobs/ports.hpp"
#include "watcher.hpp"

namespace oleanderwick::jobnode
{

/**
 * @brief Closed zones, as the operators' keys in the store tell them.
 *
 * A zone that is known as closed stays closed while the store is unavailable, until the removal of its key is seen in a watch, or a
 * listing no longer has the key.
 */
class ZoneClosures
{
public:
    /**
     * @brief Starts without closed zones.
     * @param prefix Prefix of the keys that close zones; the rest of a key is the name of the zone.
     */
    explicit ZoneClosures(std::string prefix);

    /**
     * @brief Lists the keys anew and follows them. Known zones stay closed until the listing is complete.
     * @param executor Runs the retries.
     * @param store Store to follow.
     * @param onChange Called when the listing is complete, and after each later change; not called after `stop`.
     */
    void follow(core::Executor &executor, jobs::CoordinationStore &store, const std::function<void()> &onChange);

    /** @brief Stops to follow the keys. */
    void stop();

    /**
     * @brief Handles an item that operators wrote.
     * @param item Item with any key.
     * @return True if it closes a zone that was open.
     */
    bool handleItem(const jobs::StoreItem &item);

    /**
     * @brief Handles the removal of a key.
     * @param key Any key.
     * @return True if it opens a zone that was closed.
     */
    bool handleRemoval(const std::string &key);

    /**
     * @brief Extracts the name of a zone.
     * @param key Any key.
     * @return The zone that the key closes; empty if it closes none.
     */
    [[nodiscard]] std::string zoneOf(const std::string &key) const;

    /** @return True once the keys were listed completely. */
    [[nodiscard]] bool isListed() const noexcept;

    /** @return Names of the closed zones. */
    [[nodiscard]] const std::set<std::string> &zones() const noexcept;

private:
    std::string m_prefix;
    std::set<std::string> m_zones;
    bool m_isListed{false};
    std::unique_ptr<Watcher> m_watcher;
};

} // namespace oleanderwick::jobnode
