#include "config_keeper.hpp"

namespace oleanderwick::node
{

ConfigKeeper::ConfigKeeper(DecisionRing &decisions)
    : m_decisions{decisions}
    , m_current{std::make_shared<const config::Snapshot>(config::Record{})}
{
}

config::SnapshotPtr ConfigKeeper::current() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_current;
}

bool ConfigKeeper::offer(config::Record record)
{
    const config::SnapshotPtr snapshot = std::make_shared<const config::Snapshot>(std::move(record));
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        if (snapshot->version() <= m_current->version()) {
            return false;
        }
        m_current = snapshot;
    }
    m_decisions.push(ConfigUpdated{snapshot});
    return true;
}

} // namespace oleanderwick::node
