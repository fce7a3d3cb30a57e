#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "../http/http.hpp"
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
     * @param links Connections to upstreams.
     * @param decisions Ring of the decision duty.
     * @param maxRequests Most requests held at once; the ring has room for one event of each.
     * @param maxAnswerBytes Longest answer that is passed on.
     */
    CallerApi(core::NodeId node, http::UpstreamLinks &links, DecisionRing &decisions, std::size_t maxRequests, std::size_t maxAnswerBytes);

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
    };

    [[nodiscard]] dispatch::Arrival makeArrival(const http::Request &request, const std::string &queue) const;
    void act(const dispatch::StartAttempt &start);
    void act(const dispatch::Refuse &refuse);
    void act(const dispatch::Deliver &deliver);
    void ended(admission::RequestNumber number, http::ExchangeResult result);

    core::NodeId m_node;
    http::UpstreamLinks &m_links;
    DecisionRing &m_decisions;
    std::size_t m_maxRequests;
    std::size_t m_maxAnswerBytes;
    admission::RequestNumber m_lastNumber{0};
    std::unordered_map<admission::RequestNumber, Held> m_held;
};

} // namespace oleanderwick::node
