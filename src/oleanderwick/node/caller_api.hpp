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

/** @brief API for callers: accepts requests and executes the dispatcher's actions. Used on the loop's thread only. */
class CallerApi
{
public:
    /**
     * @brief Creates the API without requests.
     * @param node Name of the node, prefix of every request id.
     * @param loop Event loop on whose thread the API is used.
     * @param upstreams Connections to upstreams.
     * @param decisions Ring of the decision duty.
     * @param idempotencyRing Ring of the duty that serves requests with an `Idempotency-Key`.
     * @param keeper Current configuration.
     * @param fleetSize Number of nodes that share an upstream's connections.
     * @param maxRequests Maximum number of pending requests; the decision ring has to have room for one event of each.
     * @param maxAnswerBytes Maximum size of an upstream's response body.
     */
    CallerApi(core::NodeId node,
              http::Loop &loop,
              http::UpstreamConnections &upstreams,
              DecisionRing &decisions,
              IdempotencyRing &idempotencyRing,
              ConfigKeeper &keeper,
              std::size_t fleetSize,
              std::size_t maxRequests,
              std::size_t maxAnswerBytes);

    /** @return Number of pending requests. */
    [[nodiscard]] std::size_t size() const noexcept;

    /**
     * @brief Handles a caller's request.
     * @param request Complete request.
     * @param respond Sends the response; called once, on any thread.
     */
    void handle(http::Request request, http::Responder respond);

    /**
     * @brief Executes actions of the dispatcher.
     * @param actions Actions in the order of their execution.
     */
    void execute(const dispatch::Actions &actions);

private:
    struct PendingRequest {
        http::Request request;
        http::Responder respond;
        http::Response answer;
        std::string id;
        std::string idempotencyRecordName; /**< Name of the key record; empty if the request has no `Idempotency-Key` or could not claim it. */
        std::string fingerprint;
        core::TimePoint claimDeadline; /**< Time until which a retry waits for the response to the first request. */
        dispatch::Arrival arrival;
    };

    [[nodiscard]] dispatch::Arrival makeArrival(const http::Request &request, const std::string &queue) const;
    void sendToDecisionDuty(PendingRequest &pending);
    void claim(admission::RequestNumber number);
    void handleClaimResult(admission::RequestNumber number, const ClaimResult &result);
    void refuse(admission::RequestNumber number, const core::Refusal &refusal);
    void sendResponse(admission::RequestNumber number, http::Response response, bool notRun);
    void execute(const dispatch::StartAttempt &start);
    void execute(const dispatch::Refuse &refused);
    void execute(const dispatch::Deliver &deliver);
    void handleExchangeResult(admission::RequestNumber number, http::ExchangeResult result);

    core::NodeId m_node;
    http::Loop &m_loop;
    http::UpstreamConnections &m_upstreams;
    DecisionRing &m_decisions;
    IdempotencyRing &m_idempotencyRing;
    ConfigKeeper &m_keeper;
    std::size_t m_fleetSize;
    std::size_t m_maxRequests;
    std::size_t m_maxAnswerBytes;
    admission::RequestNumber m_lastNumber{0};
    std::unordered_map<admission::RequestNumber, PendingRequest> m_pending;
};

} // namespace oleanderwick::node
