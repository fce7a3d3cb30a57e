#pragma once

#include <memory>
#include <string>

#include "oleanderwick/http/upstream_links.hpp"
#include "oleanderwick/jobs/ports.hpp"

namespace oleanderwick::platform
{

/** @brief The platform's machines, which are our instances. */
class InstanceClient final : public jobs::InstancePort
{
public:
    /**
     * @brief Prepares a client.
     * @param links Connections to use.
     * @param address IP number and port of the service.
     * @param holder Name under which orders are given.
     */
    InstanceClient(http::UpstreamLinks &links, std::string address, std::string holder);

    void list(std::function<void(std::optional<Instances>)> onReply) override;
    void maintain(const jobs::MaintainCommand &order, std::int64_t token, std::function<void(jobs::InstanceResult)> onReply) override;
    void move(const jobs::MoveCommand &order, std::int64_t token, std::function<void(jobs::InstanceResult)> onReply) override;

private:
    void order(const char *target, const std::string &body, std::int64_t token, std::function<void(jobs::InstanceResult)> onReply);
    void listPage(const std::string &page, const std::shared_ptr<Instances> &found, std::function<void(std::optional<Instances>)> onReply);

    http::UpstreamLinks &m_links;
    std::string m_address;
    std::string m_holder;
};

/** @brief The platform's advice service. */
class AdviceClient final : public jobs::AdvicePort
{
public:
    /**
     * @brief Prepares a client.
     * @param links Connections to use.
     * @param address IP number and port of the service.
     */
    AdviceClient(http::UpstreamLinks &links, std::string address);

    void ask(const jobs::AdviceOrder &order, std::function<void(std::optional<jobs::AdviceReply>)> onReply) override;

private:
    http::UpstreamLinks &m_links;
    std::string m_address;
};

} // namespace oleanderwick::platform
