#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "oleanderwick/jobs/ports.hpp"
#include "wave_view.hpp"

namespace oleanderwick::emulator
{

class Simulation;

/** @brief What a running node has received, and whether it reaches the other services. */
struct NodeContact {
    std::size_t node{0};
    core::TimePoint cutOffUntil; /**< Until then nothing that the node sends arrives, and no reply reaches it. */
    std::map<std::int64_t, KnownVersions> waves; /**< Versions of waves that it has received, by number. */

    [[nodiscard]] bool isCutOff(core::TimePoint now) const noexcept
    {
        return now < cutOffUntil;
    }
};

/** @brief Current faults of the instance service; a share is a probability for each call. */
struct InstanceServiceState {
    double refusedShare{0.0}; /**< Calls that are refused, without an effect. */
    double lostCommandShare{0.0}; /**< Commands that are lost before they take effect. */
    double lostReplyShare{0.0}; /**< Commands that take effect, and whose reply is lost. */
    double lateShare{0.0}; /**< Commands that take effect 2 to 12 s later, without a reply. */
    double silentListShare{0.0}; /**< Lists of which a page isn't answered. */
    core::Duration maxExtraLatency{}; /**< Longest time that a call takes in addition. */
    std::size_t pages{1}; /**< Pages of a list, each of which is read at its own time. */
};

/** @brief Connection of one node to the emulated instances; applies the current faults of their service to each call. */
class InstanceLink final : public jobs::InstancePort
{
public:
    /**
     * @brief Connects a node.
     * @param simulation Simulation of the instances.
     * @param executor Process of the node.
     * @param contact Contact of the node.
     */
    InstanceLink(Simulation &simulation, core::Executor &executor, const NodeContact &contact);

    void list(std::function<void(std::optional<Instances>)> onReply) override;
    void maintain(const jobs::MaintainCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::InstanceOutcome)> onReply) override;
    void move(const jobs::MoveCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::InstanceOutcome)> onReply) override;

private:
    /** Pool and name of an instance; pages are sorted by them, so that a list in several pages may leave out an instance that is moved meanwhile. */
    using Position = std::pair<std::string, std::string>;

    void listPage(const Position &after, const std::shared_ptr<Instances> &found, const std::function<void(std::optional<Instances>)> &onReply);
    struct Page {
        std::map<Position, jobs::InstanceEntry> entries;
        bool isLast{true};
    };
    [[nodiscard]] Page readPage(const Position &after) const;
    /** Passes a command to the service; `execute` is told whether the command takes effect late. */
    void sendCommand(const std::function<jobs::InstanceOutcome(bool)> &execute, const std::function<void(jobs::InstanceOutcome)> &onReply);
    [[nodiscard]] core::Duration drawLatency();

    Simulation &m_simulation;
    core::Executor &m_executor;
    const NodeContact &m_contact;
};

} // namespace oleanderwick::emulator
