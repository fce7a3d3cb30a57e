#include "rpc_binding.hpp"

#include <algorithm>
#include <exception>
#include <map>

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace oleanderwick
{
namespace peer
{

namespace
{

constexpr int maxNestingDepth = 64;
const char *const parameterName = "body";
const char *const nestingErrorReply = R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"nested too deeply"}})";
const char *const internalErrorReply = R"({"jsonrpc":"2.0","id":null,"error":{"code":-32603,"message":"internal error"}})";

std::string write(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

bool parse(const std::string &text, Json::Value &value)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

/** Counts brackets, including those within string literals. */
bool isTooDeep(const std::string &text)
{
    int depth = 0;
    for (const char character : text) {
        depth += character == '[' || character == '{' ? 1 : 0;
        depth -= character == ']' || character == '}' ? 1 : 0;
        if (depth > maxNestingDepth) {
            return true;
        }
    }
    return false;
}

/** @brief Server connector without a listener; messages are passed to `OnRequest`. */
class DirectConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    bool SendResponse(const std::string &response, void *addInfo) override
    {
        *static_cast<std::string *>(addInfo) = response;
        return true;
    }
};

/** @brief Client connector that sends messages through an `RpcTransport`. */
class FunctionConnector : public jsonrpc::IClientConnector
{
public:
    explicit FunctionConnector(const RpcTransport &transport)
        : m_transport(transport)
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_transport(message, result)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no reply");
        }
    }

private:
    const RpcTransport &m_transport;
};

} // namespace

/** @brief Adapter of libjsonrpccpp's server, which dispatches calls by method name. */
class RpcServer::Binding : public DirectConnector, public jsonrpc::AbstractServer<RpcServer::Binding>
{
public:
    Binding()
        : jsonrpc::AbstractServer<Binding>(static_cast<DirectConnector &>(*this))
    {
    }

    void add(const std::string &name, RpcMethod method)
    {
        m_methods[name] = std::move(method);
        const jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, parameterName, jsonrpc::JSON_OBJECT, NULL);
        bindAndAddMethod(procedure, &Binding::unusedHandler);
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        const std::string text = m_methods.at(procedure.GetProcedureName())(write(input[parameterName]));
        if (!parse(text, output)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR);
        }
    }

private:
    void unusedHandler(const Json::Value &, Json::Value &)
    {
    }

    std::map<std::string, RpcMethod> m_methods;
};

RpcServer::RpcServer()
    : m_binding(new Binding)
{
}

RpcServer::~RpcServer() = default;

void RpcServer::add(const std::string &name, RpcMethod method)
{
    m_binding->add(name, std::move(method));
}

std::string RpcServer::handle(const std::string &message) const
{
    if (isTooDeep(message)) {
        return nestingErrorReply;
    }
    std::string reply;
    try {
        m_binding->OnRequest(message, &reply);
    } catch (const std::exception &) {
        // libjsonrpccpp throws on some malformed input; a message must never terminate the process.
        return internalErrorReply;
    }
    return reply;
}

RpcResult rpcCall(const RpcTransport &transport, const std::string &method, const std::string &parameter)
{
    Json::Value parameters;
    if (!parse(parameter, parameters[parameterName])) {
        return RpcResult{false, "malformed parameter"};
    }
    FunctionConnector connector(transport);
    jsonrpc::Client client(connector);
    try {
        return RpcResult{true, write(client.CallMethod(method, parameters))};
    } catch (const std::exception &error) {
        return RpcResult{false, error.what()};
    }
}

} // namespace peer
} // namespace oleanderwick
