#pragma once

/** @file
 * @brief JSON-RPC between the nodes of the fleet.
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

/** @brief HTTP path of the peer endpoint. */
inline constexpr const char *peerPath = "/peer";
/** @brief HTTP header with the cluster secret. */
inline constexpr const char *secretHeader = "Oleanderwick-Cluster-Secret";

/** @brief Calls that a node serves for its peers; made on the I/O thread, so implementations must not block. */
class Service
{
public:
    virtual ~Service() = default;

    /**
     * @brief Handles the digest of a peer and returns the digest of this node.
     * @param digest Digest of the peer.
     * @return Digest of this node.
     */
    [[nodiscard]] virtual membership::Digest exchange(const membership::Digest &digest) = 0;

    /** @return JSON text of the current configuration record. */
    [[nodiscard]] virtual std::string configRecord() = 0;
};

/** @brief Server side: dispatches JSON-RPC messages to a service. */
class Endpoint
{
public:
    /**
     * @brief Registers the methods of a service.
     * @param service Service to call; has to outlive the endpoint.
     */
    explicit Endpoint(Service &service);

    /**
     * @brief Handles one message.
     * @param message JSON-RPC text.
     * @return JSON-RPC text of the reply; an error reply if the message is malformed; an empty object as result if only its digest is.
     */
    [[nodiscard]] std::string handle(const std::string &message) const;

private:
    RpcServer m_server;
};

/** @brief Client side: connection to one peer, not thread-safe. */
class Link
{
public:
    /**
     * @brief Sets up a link; the connection is opened by the first call.
     * @param endpoint Control address of the peer.
     * @param secret Cluster secret, sent with each call.
     * @param timeout Maximum duration of a call.
     */
    Link(http::Endpoint endpoint, std::string secret, core::Duration timeout);

    /**
     * @brief Sends the digest of this node to the peer and receives the peer's digest.
     * @param digest Digest of this node.
     * @return Digest of the peer; `Unavailable` if the call failed; `InvalidArgument` if the reply is malformed.
     */
    [[nodiscard]] absl::StatusOr<membership::Digest> exchange(const membership::Digest &digest);

    /** @return Configuration record of the peer; `Unavailable` if the call failed; `InvalidArgument` if the reply is malformed. */
    [[nodiscard]] absl::StatusOr<config::Record> configRecord();

private:
    [[nodiscard]] absl::StatusOr<std::string> call(const std::string &method, const std::string &parameter);

    http::Client m_client;
    std::string m_secret;
    core::Duration m_timeout;
};

} // namespace oleanderwick::peer
