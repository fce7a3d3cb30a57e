#pragma once

#include <memory>
#include <string>

#include "oleanderwick/http/upstream_links.hpp"
#include "oleanderwick/jobs/ports.hpp"

namespace oleanderwick::platform
{

/** @brief Client of the platform's machine service; its machines are the project's instances. */
class InstanceClient final : public jobs::InstancePort
{
public:
    /**
     * @brief Constructs a client.
     * @param connections Connections to use; have to outlive the client.
     * @param address IP address and port of the service.
     * @param holder Name of the lease holder that is sent with each command.
     */
    InstanceClient(http::UpstreamConnections &connections, std::string address, std::string holder);

    void list(std::function<void(std::optional<Instances>)> onReply) override;
    void maintain(const jobs::MaintainCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::InstanceOutcome)> onReply) override;
    void move(const jobs::MoveCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::InstanceOutcome)> onReply) override;

private:
    void sendCommand(const char *target, const std::string &body, const jobs::CommandPermit &permit, std::function<void(jobs::InstanceOutcome)> onReply);
    void listPage(const std::string &page, const std::shared_ptr<Instances> &found, std::function<void(std::optional<Instances>)> onReply);

    http::UpstreamConnections &m_connections;
    std::string m_address;
    std::string m_holder;
};

/** @brief Client of the platform's advice service, which says which workers may run a step. */
class AdviceClient final : public jobs::AdvicePort
{
public:
    /**
     * @brief Constructs a client.
     * @param connections Connections to use; have to outlive the client.
     * @param address IP address and port of the service.
     */
    AdviceClient(http::UpstreamConnections &connections, std::string address);

    void request(const jobs::AdviceRequest &request, std::function<void(std::optional<jobs::AdviceReply>)> onReply) override;

private:
    http::UpstreamConnections &m_connections;
    std::string m_address;
};

} // namespace oleanderwick::platform
