#pragma once

// This header stays within C++14: libjsonrpccpp's own headers do not compile as a later standard.

#include <functional>
#include <memory>
#include <string>

namespace oleanderwick
{
namespace peer
{

/** @brief Outcome of one remote call. */
struct RpcResult {
    bool ok; /**< False if `text` is an error message. */
    std::string text; /**< JSON text of the result. */
};

/** @brief Carries one message to the peer and brings its answer; false if none came. */
using RpcTransport = std::function<bool(const std::string &message, std::string &answer)>;
/** @brief Serves one call: JSON text of the parameter in, JSON text of the result out. */
using RpcMethod = std::function<std::string(const std::string &parameter)>;

/** @brief JSON-RPC 2.0 server; each method takes one object named `body`. */
class RpcServer
{
public:
    RpcServer();
    ~RpcServer();

    /**
     * @brief Adds a method; only before the first call.
     * @param name Its name.
     * @param method Serves it; may be called from several threads.
     */
    void add(const std::string &name, RpcMethod method);

    /**
     * @brief Serves one message; hostile input gets an error answer.
     * @param message JSON-RPC text.
     * @return JSON-RPC text of the answer.
     */
    [[nodiscard]] std::string handle(const std::string &message) const;

private:
    class Binding;
    std::unique_ptr<Binding> m_binding;
};

/**
 * @brief Calls a method of a peer.
 * @param transport Carries the message.
 * @param method Name of the method.
 * @param parameter JSON text of the parameter, an object.
 * @return The result or an error.
 */
RpcResult rpcCall(const RpcTransport &transport, const std::string &method, const std::string &parameter);

} // namespace peer
} // namespace oleanderwick
