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
class ConnectionsState;
} // namespace internal

/** @brief One request to one upstream, with its limits. */
struct Exchange {
    std::string address; /**< IP address and port of the upstream. */
    Request request; /**< Without hop-by-hop headers. */
    std::string requestId; /**< Sent with the request; a response that echoes another id counts as `WrongResponse`. Empty for none. */
    core::Duration timeout{}; /**< Maximum time until the response is complete. */
    bool freshConnection{false}; /**< Use only a connection that is new or was used within the last second. */
    std::size_t maxResponseBytes{8U << 20U};
    bool mayUseReserve{false}; /**< A large response may use the memory that is reserved for small ones; for services that the node depends on. */
    std::size_t maxIdleConnections{8}; /**< Maximum number of idle connections that are kept to the upstream afterwards. */
    /** Maximum number of limited exchanges with the upstream at the same time; further ones wait for one of them to end. 0 for no limit. */
    std::size_t maxConcurrent{0};
    /** The request is not sent after this time, and then counts as `NothingSent`: for a permission that may run out while the exchange waits or connects. */
    core::TimePoint sendBefore{core::TimePoint::max()};

    [[nodiscard]] bool operator==(const Exchange &) const = default;
};

/** @brief Outcome of an exchange, with its response. */
struct ExchangeResult {
    routing::ExchangeOutcome outcome{routing::ExchangeOutcome::NotConnected};
    Response response; /**< Complete response if the outcome is `Complete`, otherwise default-constructed. */
    bool leaving{false}; /**< True if the outcome is `Whole` and the response had the header `leavingHeader`. */

    [[nodiscard]] bool operator==(const ExchangeResult &) const = default;
};

/** @brief Runs exchanges with upstreams and keeps idle connections for reuse. For use on the loop's thread only. */
class UpstreamConnections
{
public:
    /** Default of `maxHeldBytes`. */
    static constexpr std::size_t defaultHeldBytes = 32U << 20U;

    /** @brief Called once with the result of an exchange. */
    using OnResult = std::function<void(ExchangeResult)>;

    /**
     * @brief Constructs an object without connections.
     * @param loop Loop to run on; has to outlive this object.
     * @param maxHeldBytes Memory that all responses may hold, from their arrival until their last copy is gone.
     */
    explicit UpstreamConnections(Loop &loop, std::size_t maxHeldBytes = defaultHeldBytes);
    ~UpstreamConnections();
    UpstreamConnections(const UpstreamConnections &) = delete;
    UpstreamConnections &operator=(const UpstreamConnections &) = delete;

    /**
     * @brief Sends a request and receives the response, without blocking.
     * @param exchange Request and its limits.
     * @param onResult Called with the result; before this function returns if the address is not valid.
     */
    void start(Exchange exchange, OnResult onResult);

    /** @return Number of connections to upstreams, also of those that are idle or not established yet. For the loop's thread only. */
    [[nodiscard]] std::size_t connections() const noexcept;

    /** @return Memory that responses hold. */
    [[nodiscard]] std::size_t heldBytes() const noexcept;

private:
    std::shared_ptr<internal::ConnectionsState> m_state;
};

/** @brief Request header with the id of the request, which the upstream may echo. */
inline constexpr const char *requestIdHeader = "Oleanderwick-Request-Id";
/** @brief Response header with which an upstream says whether a request that it refuses has run; only `not-run` is recognized. */
inline constexpr const char *outcomeHeader = "Oleanderwick-Outcome";
/** @brief Response header with which an upstream announces that it is leaving service. */
inline constexpr const char *leavingHeader = "Oleanderwick-Leaving";

} // namespace oleanderwick::http
