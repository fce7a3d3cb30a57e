#include "connection_table.hpp"

#include <tuple>

namespace oleanderwick::http::internal
{

ConnectionTable::Entry::Entry(ConnectionTable &table, const std::string &client, Session *session)
    : m_table{table}
    , m_client{table.clientAt(client)}
    , m_session{session}
    , m_number{++table.m_lastNumber}
{
    m_table.add(*this);
}

ConnectionTable::Entry::~Entry()
{
    m_table.remove(*this);
}

Session *ConnectionTable::Entry::session() const noexcept
{
    return m_session;
}

ConnectionPhase ConnectionTable::Entry::phase() const noexcept
{
    return m_phase;
}

std::size_t ConnectionTable::Entry::heldBytes() const noexcept
{
    return m_heldBytes;
}

void ConnectionTable::Entry::enter(ConnectionPhase phase)
{
    m_table.subtractHeld(*this);
    std::list<Entry *> &from = m_client.byPhase[static_cast<std::size_t>(m_phase)];
    std::list<Entry *> &to = m_client.byPhase[static_cast<std::size_t>(phase)];
    to.splice(to.end(), from, m_position);
    m_table.m_serving += phase == ConnectionPhase::Serving ? 1 : 0;
    m_table.m_serving -= m_phase == ConnectionPhase::Serving ? 1 : 0;
    m_phase = phase;
    m_table.addHeld(*this);
}

void ConnectionTable::Entry::hold(std::size_t bytes)
{
    if (bytes == m_heldBytes) {
        return;
    }
    m_table.subtractHeld(*this);
    m_heldBytes = bytes;
    m_table.addHeld(*this);
}

ConnectionTable::ConnectionTable(const ConnectionLimits &limits)
    : m_limits{limits}
{
}

void ConnectionTable::setLimits(const ConnectionLimits &limits) noexcept
{
    m_limits = limits;
}

std::size_t ConnectionTable::size() const noexcept
{
    return m_size;
}

std::size_t ConnectionTable::serving() const noexcept
{
    return m_serving;
}

std::size_t ConnectionTable::heldBytes() const noexcept
{
    return m_heldBytes;
}

bool ConnectionTable::hasRoom() const noexcept
{
    return m_size < m_limits.maxConnections;
}

bool ConnectionTable::mayServe() const noexcept
{
    return m_serving < m_limits.maxServing;
}

bool ConnectionTable::isOverHeldBytes() const noexcept
{
    return m_heldBytes > m_limits.maxHeldBytes;
}

ConnectionTable::Entry *ConnectionTable::chooseToClose() const
{
    for (auto entry = m_byConnections.rbegin(); entry != m_byConnections.rend(); ++entry) {
        for (const ConnectionPhase phase : {ConnectionPhase::Closing, ConnectionPhase::Waiting, ConnectionPhase::Receiving}) {
            const std::list<Entry *> &candidates = entry->second->byPhase[static_cast<std::size_t>(phase)];
            if (!candidates.empty()) {
                return candidates.front();
            }
        }
    }
    return nullptr;
}

ConnectionTable::Entry *ConnectionTable::chooseToGiveUp() const
{
    return m_byReleasableBytes.empty() ? nullptr : *m_byReleasableBytes.rbegin()->second->releasable.begin();
}

bool ConnectionTable::LargestFirst::operator()(const Entry *left, const Entry *right) const noexcept
{
    return std::tie(right->m_heldBytes, left->m_number) < std::tie(left->m_heldBytes, right->m_number);
}

ConnectionTable::Client &ConnectionTable::clientAt(const std::string &address)
{
    Client &client = m_clients[address];
    client.address = address;
    return client;
}

void ConnectionTable::add(Entry &entry)
{
    Client &client = entry.m_client;
    m_byConnections.erase({client.connections, &client});
    m_byConnections.emplace(++client.connections, &client);
    std::list<Entry *> &entries = client.byPhase[static_cast<std::size_t>(entry.m_phase)];
    entry.m_position = entries.insert(entries.end(), &entry);
    ++m_size;
}

void ConnectionTable::remove(Entry &entry)
{
    entry.enter(ConnectionPhase::Closing);
    entry.hold(0);
    Client &client = entry.m_client;
    client.byPhase[static_cast<std::size_t>(ConnectionPhase::Closing)].erase(entry.m_position);
    m_byConnections.erase({client.connections, &client});
    --m_size;
    if (--client.connections > 0) {
        m_byConnections.emplace(client.connections, &client);
    } else {
        m_clients.erase(std::string{client.address});
    }
}

void ConnectionTable::subtractHeld(Entry &entry)
{
    m_heldBytes -= entry.m_heldBytes;
    if (entry.m_phase == ConnectionPhase::Serving || entry.m_heldBytes == 0) {
        return;
    }
    Client &client = entry.m_client;
    m_byReleasableBytes.erase({client.releasableBytes, &client});
    client.releasableBytes -= entry.m_heldBytes;
    client.releasable.erase(&entry);
    if (client.releasableBytes > 0) {
        m_byReleasableBytes.emplace(client.releasableBytes, &client);
    }
}

void ConnectionTable::addHeld(Entry &entry)
{
    m_heldBytes += entry.m_heldBytes;
    if (entry.m_phase == ConnectionPhase::Serving || entry.m_heldBytes == 0) {
        return;
    }
    Client &client = entry.m_client;
    m_byReleasableBytes.erase({client.releasableBytes, &client});
    client.releasableBytes += entry.m_heldBytes;
    client.releasable.insert(&entry);
    m_byReleasableBytes.emplace(client.releasableBytes, &client);
}

} // namespace oleanderwick::http::internal
