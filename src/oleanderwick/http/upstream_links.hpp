#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "../core/core.hpp"
#include "../routing/routing.hpp"
#include "loop.hpp"
#include "message.hpp"

namespace oleanderwick::http
{

namespace internal
{
class LinksState;
} // namespace internal

/** @brief One request to one upstream. */
struct Exchange {
    std::string address; /**< IP number and port of the upstream. */
    Request request; /**< Without hop-by-hop headers. */
    std::string requestId; /**< Sent along; an answer that echoes another one is refused. Empty for none. */
    core::Duration timeout{}; /**< Longest time until the whole answer. */
    bool freshConnection{false}; /**< Only a connection that is new or was used just now. */
    std::size_t maxAnswerBytes{8U << 20U};
    std::size_t idleConnections{8}; /**< Most connections that this node keeps open to the upstream afterwards. */

    [[nodiscard]] bool operator==(const Exchange &) const = default;
};

/** @brief How an exchange ended. */
struct ExchangeResult {
    routing::ExchangeOutcome end{routing::ExchangeOutcome::NotConnected};
    Response response; /**< Whole answer, when there is one. */
    bool leaving{false}; /**< The upstream said that it is leaving. */

    [[nodiscard]] bool operator==(const ExchangeResult &) const = default;
};

/** @brief Connections to upstreams; everything on the loop's thread. */
class UpstreamLinks
{
public:
    /** @brief Takes the end of an exchange, once. */
    using OnEnd = std::function<void(ExchangeResult)>;

    /**
     * @brief Starts without connections.
     * @param loop Loop to run on; has to outlive the links.
     */
    explicit UpstreamLinks(Loop &loop);
    ~UpstreamLinks();
    UpstreamLinks(const UpstreamLinks &) = delete;
    UpstreamLinks &operator=(const UpstreamLinks &) = delete;

    /**
     * @brief Sends a request and waits for the whole answer.
     * @param exchange Request and its bounds.
     * @param onEnd Called when it has ended.
     */
    void start(Exchange exchange, OnEnd onEnd);

private:
    std::shared_ptr<internal::LinksState> m_state;
};

/** @brief Header that carries a request's id to the upstream, which may echo it. */
inline constexpr const char *requestIdHeader = "Oleanderwick-Request-Id";
/** @brief Header with which an upstream says what became of a request it refuses; only `not-run` is understood. */
inline constexpr const char *outcomeHeader = "Oleanderwick-Outcome";
/** @brief Header with which an upstream says that it is leaving. */
inline constexpr const char *leavingHeader = "Oleanderwick-Leaving";

} // namespace oleanderwick::http
