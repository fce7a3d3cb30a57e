#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "../http/http.hpp"
#include "config_keeper.hpp"
#include "keyed_duty.hpp"
#include "messages.hpp"

namespace oleanderwick::node
{

/** @brief Callers' side of a node: takes requests, does the dispatcher's actions. Everything on the loop's thread. */
class CallerApi
{
public:
    /**
     * @brief Starts without requests.
     * @param node Name of the node, part of every request id.
     * @param loop Loop that everything runs on.
     * @param links Connections to upstreams.
     * @param decisions Ring of the decision duty.
     * @param keyed Ring of the duty for `Idempotency-Key`.
     * @param keeper Configuration in force.
     * @param fleetSize Nodes that share an upstream's connections.
     * @param maxRequests Most requests held at once; the ring has room for one event of each.
     * @param maxAnswerBytes Longest answer that is passed on.
     */
    CallerApi(core::NodeId node,
              http::Loop &loop,
              http::UpstreamConnections &links,
              DecisionRing &decisions,
              KeyedRing &keyed,
              ConfigKeeper &keeper,
              std::size_t fleetSize,
              std::size_t maxRequests,
              std::size_t maxAnswerBytes);

    /** @return Requests held. */
    [[nodiscard]] std::size_t size() const noexcept;

    /**
     * @brief Takes a caller's request.
     * @param request Whole request.
     * @param respond Answers it.
     */
    void handle(http::Request request, http::Responder respond);

    /**
     * @brief Does what the dispatcher decided.
     * @param actions Actions in order.
     */
    void act(const dispatch::Actions &actions);

private:
    struct Held {
        http::Request request;
        http::Responder respond;
        http::Response answer;
        std::string id;
        std::string keyedName; /**< Set when it shows an `Idempotency-Key`. */
        std::string fingerprint;
        core::TimePoint waitsUntil; /**< Longest wait for the first request's answer. */
        dispatch::Arrival arrival;
    };

    [[nodiscard]] dispatch::Arrival makeArrival(const http::Request &request, const std::string &queue) const;
    void admit(Held &held);
    void claim(admission::RequestNumber number);
    void claimed(admission::RequestNumber number, const ClaimResult &result);
    void refuse(admission::RequestNumber number, const core::Refusal &refusal);
    void answer(admission::RequestNumber number, http::Response response, bool notRun);
    void act(const dispatch::StartAttempt &start);
    void act(const dispatch::Refuse &refused);
    void act(const dispatch::Deliver &deliver);
    void ended(admission::RequestNumber number, http::ExchangeResult result);

    core::NodeId m_node;
    http::Loop &m_loop;
    http::UpstreamConnections &m_links;
    DecisionRing &m_decisions;
    KeyedRing &m_keyed;
    ConfigKeeper &m_keeper;
    std::size_t m_fleetSize;
    std::size_t m_maxRequests;
    std::size_t m_maxAnswerBytes;
    admission::RequestNumber m_lastNumber{0};
    std::unordered_map<admission::RequestNumber, Held> m_held;
};

} // namespace oleanderwick::node
