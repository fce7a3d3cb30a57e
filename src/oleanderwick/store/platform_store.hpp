#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "../http/http.hpp"
#include "store.hpp"

namespace oleanderwick::store
{

/** @brief Client of the platform's key-value service over the etcd v3 JSON gateway; not thread-safe. */
class PlatformStore final : public Store
{
public:
    /**
     * @brief Constructs a client, which connects with the first call.
     * @param endpoints Members of the service, at least one; after a failed exchange the next call uses the next one.
     * @param timeout Maximum time for a call; for a watch, until its response starts.
     */
    PlatformStore(std::vector<http::Endpoint> endpoints, core::Duration timeout);

    [[nodiscard]] absl::StatusOr<std::optional<KeyValue>> read(const std::string &key) override;
    [[nodiscard]] absl::StatusOr<Revision> revision(const std::string &key) override;
    [[nodiscard]] absl::StatusOr<std::vector<std::string>> keys(const std::string &prefix) override;
    [[nodiscard]] absl::StatusOr<SwapResult> compareAndSwap(const std::string &key, Revision expected, const std::string &value, LeaseId lease) override;
    [[nodiscard]] absl::StatusOr<LeaseId> grantLease(core::Duration ttl) override;
    [[nodiscard]] absl::Status keepAlive(LeaseId lease) override;
    [[nodiscard]] absl::Status revokeLease(LeaseId lease) override;
    [[nodiscard]] absl::Status watch(const std::string &key, Revision after, const OnChange &onChange) override;

private:
    [[nodiscard]] absl::StatusOr<nlohmann::json> call(const std::string &path, const nlohmann::json &body);
    [[nodiscard]] http::Client &client();
    void useNextEndpoint();

    std::vector<http::Endpoint> m_endpoints;
    core::Duration m_timeout;
    std::size_t m_endpointIndex{0};
    std::vector<http::Client> m_client;
};

} // namespace oleanderwick::store
