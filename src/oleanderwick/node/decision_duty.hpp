#pragma once

#include <functional>
#include <string>
#include <thread>

#include "duties.hpp"
#include "messages.hpp"

namespace oleanderwick::node
{

/** @brief What the decision duty needs of the node around it. */
struct DecisionPorts {
    DecisionRing &events;
    StoreRing &store;
    TelemetryRing &telemetry;
    DigestSlot &digest;
    DemandSlot &demands;
    std::function<void(dispatch::Actions)> act; /**< Has the I/O do the actions. */
    std::function<void()> left; /**< Called once when all rights have been given back. */
};

/** @brief Thread that owns all decisions of the node. */
class DecisionDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param self Name of this node.
     * @param zone Availability zone of this node.
     * @param fleetSize Nodes that the fleet should have.
     * @param seed Seed of the random choices.
     * @param ports The node around it.
     */
    DecisionDuty(const core::NodeId &self, const std::string &zone, std::size_t fleetSize, std::uint64_t seed, DecisionPorts ports);

private:
    void run();
    void decide(const DecisionEvent &event);
    void flush();
    void handle(const Tick &tick);
    void handle(const Leave &leave);
    void handle(const dispatch::Arrival &arrival);
    void handle(const dispatch::AttemptResult &end);
    void handle(const ConfigArrived &arrived);
    void handle(const PeerHeard &heard);
    void handle(const PeerReplied &replied);
    void handle(const LedgerReadDone &done);
    void handle(const LedgerWriteDone &done);
    void handle(const StoreHeard &heard);
    void handle(const NodesSeen &seen);
    void handle(const OutOfService &out);
    static void handle(const Quit &quit);

    void tellHolder(const membership::Digest &digest);
    void act(dispatch::Actions actions);
    void afterEvent();
    void refreshView();
    void stepHolder();
    void publish();
    void publishDemands(const std::vector<allotment::TeamDemand> &elsewhere);
    void noteBehind();

    core::NodeId m_self;
    DecisionPorts m_ports;
    allotment::PermitHolder m_holder;
    dispatch::Dispatcher m_dispatcher;
    membership::Roster m_roster;
    config::Version m_version{0};
    std::uint64_t m_sequence{0};
    bool m_leaving{false};
    bool m_left{false};
    core::TimePoint m_now;
    core::TimePoint m_lastView;
    core::TimePoint m_lastStep;
    core::TimePoint m_lastPlan;
    std::optional<core::TimePoint> m_behindSince;
    std::set<core::NodeId> m_aliveBefore;
    dispatch::Actions m_actions;
    std::jthread m_thread;
};

} // namespace oleanderwick::node
