#pragma once

#include <functional>
#include <set>
#include <string>
#include <thread>

#include "duties.hpp"
#include "messages.hpp"

namespace oleanderwick::node
{

/** @brief Connections of the decision duty to the rest of the node. */
struct DecisionPorts {
    DecisionRing &events;
    StoreRing &store;
    TelemetryRing &telemetry;
    DigestSlot &digest;
    DemandSlot &demands;
    std::function<void(dispatch::Actions)> execute; /**< Has the I/O thread execute the actions. */
    std::function<void()> onLeft; /**< Called once after `Leave` when no request is left and all permits have been returned. */
};

/** @brief Thread that makes all dispatch decisions of the node. */
class DecisionDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param self Name of this node.
     * @param zone Availability zone of this node.
     * @param fleetSize Number of nodes that the fleet is configured to have.
     * @param seed Seed of the dispatcher's random choices.
     * @param ports Connections to the rest of the node.
     */
    DecisionDuty(const core::NodeId &self, const std::string &zone, std::size_t fleetSize, std::uint64_t seed, DecisionPorts ports);

private:
    void run();
    void decide(const DecisionEvent &event);
    void flush();
    void handle(const Tick &tick);
    void handle(const Leave &leave);
    void handle(const dispatch::Arrival &arrival);
    void handle(const dispatch::AttemptResult &result);
    void handle(const ConfigUpdated &update);
    void handle(const PeerDigestReceived &received);
    void handle(const PeerReplyReceived &reply);
    void handle(const LedgerReadDone &done);
    void handle(const LedgerWriteDone &done);
    void handle(const StoreContacted &contact);
    void handle(const RegisteredNodes &registered);
    void handle(const OutOfService &out);
    static void handle(const Quit &quit);

    void logZoneChanges(const std::set<std::string> &closedZones);
    void updatePeerDemand(const membership::Digest &digest);
    void queueActions(dispatch::Actions actions);
    void runPeriodicWork();
    void refreshView();
    void updatePermits();
    void publish();
    void publishDemands(const std::vector<allotment::TeamDemand> &remoteDemands);
    void updateFreshness();

    core::NodeId m_self;
    DecisionPorts m_ports;
    allotment::PermitHolder m_permitHolder;
    dispatch::Dispatcher m_dispatcher;
    membership::Roster m_roster;
    config::Version m_version{0};
    std::set<std::string> m_closedZones;
    std::uint64_t m_sequence{0};
    bool m_leaving{false};
    bool m_leftReported{false};
    core::TimePoint m_now;
    core::TimePoint m_lastRosterRefresh;
    core::TimePoint m_lastStep;
    core::TimePoint m_lastPlan;
    std::optional<core::TimePoint> m_configBehindSince;
    std::set<core::NodeId> m_previousAlive;
    dispatch::Actions m_actions;
    std::jthread m_thread;
};

} // namespace oleanderwick::node
