#include "zone_closures.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** A closure has to take effect within 5 s, also after a watch that went silent. */
constexpr core::Duration closureWatchTimeout = std::chrono::milliseconds{1000};

} // namespace internal

ZoneClosures::ZoneClosures(std::string prefix)
    : m_prefix{std::move(prefix)}
{
}

void ZoneClosures::follow(core::Executor &executor, jobs::CoordinationStore &store, const std::function<void()> &onChange)
{
    Watcher::Callbacks callbacks;
    callbacks.onItem = [this, onChange](const jobs::StoreItem &item) {
        if (handleItem(item) && m_isListed) {
            onChange();
        }
    };
    callbacks.onRemoved = [this, onChange](const std::string &key) {
        if (handleRemoval(key) && m_isListed) {
            onChange();
        }
    };
    callbacks.onListed = [this, onChange] {
        m_isListed = true;
        onChange();
    };
    m_watcher = std::make_unique<Watcher>(executor, store, m_prefix, internal::closureWatchTimeout, std::move(callbacks));
}

void ZoneClosures::stop()
{
    m_watcher.reset();
}

bool ZoneClosures::handleItem(const jobs::StoreItem &item)
{
    const std::string zone = zoneOf(item.key);
    return !zone.empty() && m_zones.insert(zone).second;
}

bool ZoneClosures::handleRemoval(const std::string &key)
{
    return m_zones.erase(zoneOf(key)) > 0;
}

std::string ZoneClosures::zoneOf(const std::string &key) const
{
    return key.starts_with(m_prefix) ? key.substr(m_prefix.size()) : std::string{};
}

bool ZoneClosures::isListed() const noexcept
{
    return m_isListed;
}

const std::set<std::string> &ZoneClosures::zones() const noexcept
{
    return m_zones;
}

} // namespace oleanderwick::jobnode
