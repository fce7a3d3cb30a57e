#pragma once

#include <string>

#include "oleanderwick/http/server.hpp"
#include "oleanderwick/http/upstream_links.hpp"

namespace oleanderwick::platform
{

/** @brief Start of the path of store calls that a node makes for another one. */
inline constexpr const char *relayPrefix = "/store";

/** @brief Makes store calls for nodes that the store turns away. */
class StoreRelay
{
public:
    /**
     * @brief Prepares a relay.
     * @param links Connections to use.
     * @param store IP number and port of the store.
     */
    StoreRelay(http::UpstreamLinks &links, std::string store);

    /**
     * @brief Passes a call on to the store, and its answer back.
     * @param request Call whose path starts with `relayPrefix`.
     * @param respond Takes the answer, once: 503 if the store certainly did nothing, 504 if that is not known.
     */
    void handle(const http::Request &request, const http::Responder &respond);

private:
    http::UpstreamLinks &m_links;
    std::string m_store;
};

} // namespace oleanderwick::platform
