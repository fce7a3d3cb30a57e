#pragma once

#include <string>

#include "oleanderwick/http/server.hpp"
#include "oleanderwick/http/upstream_links.hpp"

namespace oleanderwick::platform
{

/** @brief Path prefix of store calls that a node relays for another node. */
inline constexpr const char *relayPrefix = "/store";

/** @brief Relays store calls for nodes whose own calls the store rejects or does not answer. */
class StoreRelay
{
public:
    /**
     * @brief Constructs a relay.
     * @param connections Connections to use; have to outlive the relay.
     * @param store IP address and port of the store.
     */
    StoreRelay(http::UpstreamConnections &connections, std::string store);

    /**
     * @brief Forwards a call to the store and returns the store's response.
     * @param request Call whose path starts with `relayPrefix`.
     * @param respond Called once: with the store's response, 503 if the store certainly did nothing, or 504 if that is not known.
     */
    void handle(const http::Request &request, const http::Responder &respond);

private:
    http::UpstreamConnections &m_connections;
    std::string m_store;
};

} // namespace oleanderwick::platform
