#include "validation.hpp"

#include <map>

#include <boost/asio/ip/address.hpp>

namespace oleanderwick::config
{

namespace internal
{

constexpr std::size_t hashHexLength = 64;
constexpr unsigned long maxPort = 65535;

bool isAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon + 1 == address.size() || address.size() - colon > sizeof("65535")) {
        return false;
    }
    const std::string port = address.substr(colon + 1);
    if (port.find_first_not_of("0123456789") != std::string::npos) {
        return false;
    }
    const unsigned long number = std::stoul(port);
    boost::system::error_code error;
    boost::asio::ip::make_address(address.substr(0, colon), error);
    return !error && number > 0 && number <= maxPort;
}

bool isHash(const std::string &hash)
{
    return hash.size() == hashHexLength && hash.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void checkInstances(const Document &document, std::vector<std::string> &errors)
{
    std::map<std::string, core::InstanceId> addresses;
    for (const std::pair<const core::InstanceId, Instance> &entry : document.instances) {
        const std::string path = "/instances/" + entry.first.text();
        const Instance &instance = entry.second;
        if (!document.pools.contains(instance.pool)) {
            errors.push_back(path + "/pool: there is no pool '" + instance.pool.text() + "'");
        }
        if (!isAddress(instance.address)) {
            errors.push_back(path + "/address: has to be an IP address and a port");
        } else if (const auto other = addresses.find(instance.address); other != addresses.end()) {
            errors.push_back(path + "/address: is already used by instance '" + other->second.text() + "'; an instance belongs to exactly one pool");
        } else {
            addresses.emplace(instance.address, entry.first);
        }
        if (instance.slots == 0 || instance.connections == 0) {
            errors.push_back(path + ": slots and connections have to be at least 1");
        }
    }
}

void checkTeams(const Document &document, std::vector<std::string> &errors)
{
    std::map<core::KeyId, core::TeamId> owners;
    for (const std::pair<const core::TeamId, Team> &team : document.teams) {
        for (const std::pair<const core::KeyId, TeamKey> &key : team.second.keys) {
            const std::string path = "/teams/" + team.first.text() + "/keys/" + key.first.text();
            if (!isHash(key.second.hash)) {
                errors.push_back(path + "/hash: has to be 64 lower-case hex digits");
            }
            if (!owners.emplace(key.first, team.first).second) {
                errors.push_back(path + ": team '" + owners.at(key.first).text() + "' already has a key with this id");
            }
        }
    }
}

void checkQueues(const Document &document, std::vector<std::string> &errors)
{
    for (const std::pair<const core::QueueId, Queue> &entry : document.queues) {
        const std::string path = "/queues/" + entry.first.text();
        const Queue &queue = entry.second;
        if (!document.pools.contains(queue.pool)) {
            errors.push_back(path + "/pool: there is no pool '" + queue.pool.text() + "'");
        }
        for (const core::TeamId &team : queue.teams) {
            if (!document.teams.contains(team)) {
                errors.push_back(path + "/teams: there is no team '" + team.text() + "'");
            }
        }
        if (queue.timeoutMs == 0 || queue.timeoutMs > maxQueueTimeoutMs) {
            errors.push_back(path + "/timeoutMs: has to be from 1 to " + std::to_string(maxQueueTimeoutMs));
        }
    }
}

void checkClosedZones(const Document &document, std::vector<std::string> &errors)
{
    // An instance without a zone has an empty one; closing that would close all of them.
    if (document.closedZones.contains("")) {
        errors.emplace_back("/closedZones: a zone must not be empty");
    }
}

} // namespace internal

const core::TeamId &openTeam()
{
    static const core::TeamId team{"(open)"};
    return team;
}

std::vector<std::string> validate(const Document &document)
{
    std::vector<std::string> errors;
    internal::checkInstances(document, errors);
    internal::checkTeams(document, errors);
    internal::checkQueues(document, errors);
    internal::checkClosedZones(document, errors);
    return errors;
}

} // namespace oleanderwick::config
