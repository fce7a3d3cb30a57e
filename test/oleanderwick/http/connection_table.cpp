#include <catch2/catch.hpp>

#include <list>

#include "oleanderwick/http/http.hpp"
#include "oleanderwick/http/internal/connection_table.hpp"

namespace core = oleanderwick::core;
namespace http = oleanderwick::http;
using http::internal::ConnectionPhase;
using http::internal::ConnectionTable;

namespace
{

constexpr std::size_t megabyte = std::size_t{1} << 20U;

/** Table with connections that stay open. */
class Table
{
public:
    ConnectionTable::Entry &connect(const std::string &client, ConnectionPhase phase = ConnectionPhase::Waiting, std::size_t bytes = 0)
    {
        ConnectionTable::Entry &entry = m_entries.emplace_back(table, client, nullptr);
        entry.enter(phase);
        entry.hold(bytes);
        return entry;
    }

    void disconnectAll()
    {
        m_entries.clear();
    }

    ConnectionTable table{{4, 3, 1000}};

private:
    std::list<ConnectionTable::Entry> m_entries;
};

} // namespace

TEST_CASE("ConnectionTable closes a connection of the client with the most, however old those of others are", "[http]")
{
    Table connections;
    connections.connect("a");
    const ConnectionTable::Entry &oldest = connections.connect("b");
    connections.connect("b");
    CHECK(connections.table.chooseToClose() == &oldest);
    CHECK(connections.table.hasRoom());
    connections.connect("c");
    CHECK_FALSE(connections.table.hasRoom());
}

TEST_CASE("ConnectionTable closes connections that owe nothing before those with a request", "[http]")
{
    Table connections;
    const ConnectionTable::Entry &receiving = connections.connect("a", ConnectionPhase::Receiving, 10);
    ConnectionTable::Entry &waiting = connections.connect("a");
    ConnectionTable::Entry &closing = connections.connect("a", ConnectionPhase::Closing);
    CHECK(connections.table.chooseToClose() == &closing);
    closing.enter(ConnectionPhase::Serving);
    CHECK(connections.table.chooseToClose() == &waiting);
    waiting.enter(ConnectionPhase::Serving);
    CHECK(connections.table.chooseToClose() == &receiving);
}

TEST_CASE("ConnectionTable does not close connections that are being served", "[http]")
{
    Table connections;
    for (int count = 0; count < 3; ++count) {
        CHECK(connections.table.mayServe());
        connections.connect("a", ConnectionPhase::Serving, 500);
    }
    CHECK_FALSE(connections.table.mayServe());
    CHECK(connections.table.chooseToClose() == nullptr);
    CHECK(connections.table.isOverHeldBytes());
    CHECK(connections.table.chooseToGiveUp() == nullptr);
    const ConnectionTable::Entry &other = connections.connect("b");
    CHECK(connections.table.chooseToClose() == &other);
}

TEST_CASE("ConnectionTable gives up the largest request of the client that holds most, the oldest of equal ones", "[http]")
{
    Table connections;
    connections.connect("a", ConnectionPhase::Receiving, 400);
    connections.connect("b", ConnectionPhase::Receiving, 100);
    ConnectionTable::Entry &first = connections.connect("b", ConnectionPhase::Receiving, 250);
    ConnectionTable::Entry &second = connections.connect("b", ConnectionPhase::Receiving, 250);
    CHECK(connections.table.heldBytes() == 1000);
    CHECK(connections.table.chooseToGiveUp() == &first);
    second.hold(260);
    CHECK(connections.table.isOverHeldBytes());
    CHECK(connections.table.chooseToGiveUp() == &second);
    second.enter(ConnectionPhase::Serving);
    CHECK(connections.table.chooseToGiveUp()->heldBytes() == 400);
}

TEST_CASE("ConnectionTable is empty after all connections have left it", "[http]")
{
    Table connections;
    for (const ConnectionPhase phase : {ConnectionPhase::Closing, ConnectionPhase::Waiting, ConnectionPhase::Receiving, ConnectionPhase::Serving}) {
        connections.connect("a", phase, 10);
    }
    CHECK(connections.table.serving() == 1);
    connections.disconnectAll();
    CHECK(connections.table.size() == 0);
    CHECK(connections.table.serving() == 0);
    CHECK(connections.table.heldBytes() == 0);
    CHECK(connections.table.chooseToClose() == nullptr);
    CHECK(connections.table.chooseToGiveUp() == nullptr);
}

TEST_CASE("divideLimits leaves the listeners together within the process, and serves the largest request", "[http]")
{
    const core::ProcessLimits process =
        GENERATE(core::ProcessLimits{260 * megabyte, 3900}, core::ProcessLimits{64 * megabyte, 268}, core::ProcessLimits{megabyte << 14U, 60});
    http::ServerLimits own;
    own.handlerBytesPerBodyByte = 4;
    std::size_t connections = 0;
    for (const double share : {0.75, 0.2, 0.05}) {
        const http::ServerLimits limits = http::divideLimits(process, share, own);
        CHECK(limits.maxHeldBytes >= own.maxBodyBytes * 6);
        CHECK(limits.maxBodyBytes == own.maxBodyBytes);
        CHECK(limits.maxConnections >= 8);
        connections += limits.maxConnections;
    }
    CHECK(connections <= process.descriptors);
    CHECK(connections * 8192 <= process.memoryBytes / 4);
}

TEST_CASE("connectionsBeside leaves the sockets that the process uses itself, and some more", "[http]")
{
    const core::ProcessLimits process{260 * megabyte, 3200};
    CHECK(http::connectionsBeside(process, 0, 1.0) == 3000);
    CHECK(http::connectionsBeside(process, 2000, 0.5) == 500);
    CHECK(http::connectionsBeside(process, 5000, 1.0) == 8);
}

TEST_CASE("processLimits takes the settings' limits, but not more than the system allows", "[core]")
{
    const core::ProcessLimits system = core::processLimits({});
    CHECK(system.memoryBytes <= core::defaultMemoryBytes);
    const core::ProcessLimits lower = core::processLimits({megabyte, 16});
    CHECK(lower == core::ProcessLimits{megabyte, 16});
    CHECK(core::processLimits({0, system.descriptors + 1}) == system);
}
