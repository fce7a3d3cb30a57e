#pragma once

// Restricted to C++14: the headers of libjsonrpccpp do not compile with a later standard.

#include <functional>
#include <memory>
#include <string>

namespace oleanderwick
{
namespace peer
{

/** @brief Result of one remote call. */
struct RpcResult {
    bool ok; /**< False if the call failed and `text` is an error message. */
    std::string text; /**< JSON text of the result, or the error message. */
};

/** @brief Sends one message to the peer and stores its reply; returns false if there was none. */
using RpcTransport = std::function<bool(const std::string &message, std::string &reply)>;
/** @brief Handles one call: takes the JSON text of the parameter and returns the JSON text of the result. */
using RpcMethod = std::function<std::string(const std::string &parameter)>;

/** @brief JSON-RPC 2.0 server; each method has one parameter, an object named `body`. */
class RpcServer
{
public:
    RpcServer();
    ~RpcServer();

    /**
     * @brief Registers a method; not allowed after the first call of `handle`.
     * @param name Name of the method.
     * @param method Handler; may be called from several threads.
     */
    void add(const std::string &name, RpcMethod method);

    /**
     * @brief Handles one message.
     * @param message JSON-RPC text.
     * @return JSON-RPC text of the reply; an error reply if the message is malformed.
     */
    [[nodiscard]] std::string handle(const std::string &message) const;

private:
    class Binding;
    std::unique_ptr<Binding> m_binding;
};

/**
 * @brief Calls a method of a peer.
 * @param transport Sends the message.
 * @param method Name of the method.
 * @param parameter JSON text of the parameter, an object.
 * @return The result, or an error message if the call failed.
 */
RpcResult rpcCall(const RpcTransport &transport, const std::string &method, const std::string &parameter);

} // namespace peer
} // namespace oleanderwick
