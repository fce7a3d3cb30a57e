#include <catch2/catch.hpp>

#include "oleanderwick/node/decision_duty.hpp"

namespace config = oleanderwick::config;
namespace core = oleanderwick::core;
namespace node = oleanderwick::node;
namespace telemetry = oleanderwick::telemetry;

namespace
{

constexpr std::size_t ringSize = 256;

node::ConfigUpdated updateWith(config::Version version, std::set<std::string> closedZones)
{
    config::Record record;
    record.version = version;
    record.document.closedZones = std::move(closedZones);
    return node::ConfigUpdated{std::make_shared<const config::Snapshot>(record)};
}

} // namespace

// Guards against a closure that leaves no trace in the log of a node, or one line for each later configuration.
TEST_CASE("DecisionDuty logs each zone once when it is closed and when it is opened", "[node]")
{
    node::DecisionRing events{ringSize};
    node::StoreRing store{ringSize};
    node::TelemetryRing telemetryItems{ringSize};
    node::DigestSlot digest;
    node::DemandSlot demands;
    {
        node::DecisionDuty duty{core::NodeId{"n0"}, "a", 1, 1, node::DecisionPorts{events, store, telemetryItems, digest, demands, nullptr, nullptr}};
        events.push(updateWith(1, {"a", "b"}));
        events.push(updateWith(2, {"a", "b"}));
        events.push(updateWith(3, {"b"}));
        events.push(node::Quit{});
    }
    std::vector<std::string> lines;
    node::TelemetryItem item;
    while (telemetryItems.tryPop(item)) {
        const telemetry::Event *event = std::get_if<telemetry::Event>(&item);
        if (event != nullptr && event->line().find("zone_") != std::string::npos) {
            lines.push_back(event->line());
        }
    }
    CHECK(lines
          == std::vector<std::string>{
              "event=zone_closed zone=a version=1 closed=2", "event=zone_closed zone=b version=1 closed=2", "event=zone_opened zone=a version=3 closed=1"});
}
