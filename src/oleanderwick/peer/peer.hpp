#pragma once

/** @file
 * @brief JSON-RPC between the fleet's own nodes.
 */

#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "../http/http.hpp"
#include "../membership/membership.hpp"
#include "codec.hpp"
#include "fwd.hpp"
#include "rpc_binding.hpp"

namespace oleanderwick::peer
{

/** @brief Path at which peers are served. */
inline constexpr const char *peerPath = "/peer";
/** @brief Header that carries the cluster's secret. */
inline constexpr const char *secretHeader = "Oleanderwick-Cluster-Secret";

/** @brief What a node does for its peers; called from the I/O thread, so it does not wait. */
class Service
{
public:
    virtual ~Service() = default;

    /**
     * @brief Takes a peer's digest and gives this node's own.
     * @param digest Digest of the peer.
     * @return Digest of this node.
     */
    [[nodiscard]] virtual membership::Digest exchange(const membership::Digest &digest) = 0;

    /** @return JSON text of the configuration record in force, empty if there is none. */
    [[nodiscard]] virtual std::string record() = 0;
};

/** @brief Server side. */
class Endpoint
{
public:
    /**
     * @brief Binds a service.
     * @param service Service to call; has to outlive the endpoint.
     */
    explicit Endpoint(Service &service);

    /**
     * @brief Serves one message.
     * @param message JSON-RPC text.
     * @return JSON-RPC text of the answer.
     */
    [[nodiscard]] std::string handle(const std::string &message) const;

private:
    RpcServer m_server;
};

/** @brief Client side: connection to one peer, for one thread. */
class Link
{
public:
    /**
     * @brief Prepares a link; connects with the first call.
     * @param endpoint Control address of the peer.
     * @param secret Secret of the cluster.
     * @param timeout Longest time for a call.
     */
    Link(http::Endpoint endpoint, std::string secret, core::Duration timeout);

    /**
     * @brief Gives this node's digest to the peer and takes the peer's.
     * @param digest Digest of this node.
     * @return Digest of the peer, or why there is none.
     */
    [[nodiscard]] absl::StatusOr<membership::Digest> exchange(const membership::Digest &digest);

    /** @return Configuration record of the peer, or why there is none. */
    [[nodiscard]] absl::StatusOr<config::Record> record();

private:
    [[nodiscard]] absl::StatusOr<std::string> call(const std::string &method, const std::string &parameter);

    http::Client m_client;
    std::string m_secret;
    core::Duration m_timeout;
};

} // namespace oleanderwick::peer
