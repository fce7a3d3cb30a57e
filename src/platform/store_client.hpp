#pragma once

#include <string>

#include "oleanderwick/http/upstream_links.hpp"
#include "oleanderwick/jobs/ports.hpp"

namespace oleanderwick::platform
{

/**
 * @brief Reads a reply of the platform's key-value service.
 * @param result Result of the exchange.
 * @param list Name of the list that a reply of success has to contain; null for none.
 * @return The reply; `Unknown` if a reply of success can't be read, lacks its list, or announces a further page without having an item.
 */
[[nodiscard]] jobs::StoreReply readStoreReply(const http::ExchangeResult &result, const char *list = nullptr);

/** @brief Client that uses the platform's key-value service as coordination store. */
class StoreClient final : public jobs::CoordinationStore
{
public:
    /**
     * @brief Constructs a client.
     * @param connections Connections to use; have to outlive the client.
     * @param address IP address and port of the service, or of a node that relays calls to it.
     * @param pathPrefix Prefix of the path of all calls; empty for the service itself.
     */
    StoreClient(http::UpstreamConnections &connections, std::string address, std::string pathPrefix = {});

    void read(const std::string &key, OnReply onReply) override;
    void list(const std::string &prefix, const std::string &after, OnReply onReply) override;
    void watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onReply) override;
    void commit(const jobs::StoreChange &change, OnReply onReply) override;
    void grant(core::Duration ttl, OnReply onReply) override;
    void renew(std::int64_t lease, OnReply onReply) override;

private:
    void call(http::Exchange exchange, OnReply onReply, const char *list = nullptr);

    http::UpstreamConnections &m_connections;
    std::string m_address;
    std::string m_pathPrefix;
};

} // namespace oleanderwick::platform
