#include "instance_link.hpp"

#include "world.hpp"

namespace oleanderwick::emulator
{

namespace internal
{

constexpr core::Duration instanceLatency = std::chrono::microseconds{500};
constexpr core::Duration instanceTimeout = std::chrono::milliseconds{1500};
constexpr double minLateS = 2.0;
constexpr double maxLateS = 12.0;

} // namespace internal

InstanceLink::InstanceLink(Simulation &simulation, core::Executor &executor, const NodeContact &contact)
    : m_simulation{simulation}
    , m_executor{executor}
    , m_contact{contact}
{
}

core::Duration InstanceLink::drawLatency()
{
    const core::Duration longest = m_simulation.m_instanceService.maxExtraLatency;
    if (longest == core::Duration::zero()) {
        return internal::instanceLatency;
    }
    std::uniform_int_distribution<core::Duration::rep> extra{0, longest.count()};
    return internal::instanceLatency + core::Duration{extra(m_simulation.m_random)};
}

void InstanceLink::list(std::function<void(std::optional<Instances>)> onReply)
{
    listPage({}, std::make_shared<Instances>(), onReply);
}

InstanceLink::Page InstanceLink::readPage(const Position &after) const
{
    Page page;
    for (const std::pair<const std::string, EmulatedInstance> &item : m_simulation.m_instances) {
        const EmulatedInstance &instance = item.second;
        const Position position{instance.pool, item.first};
        if (position > after) {
            page.entries[position] = jobs::InstanceEntry{item.first, instance.pool, instance.worker, instance.state, {}, instance.zone};
        }
    }
    const std::size_t pageSize = m_simulation.m_instances.size() / m_simulation.m_instanceService.pages + 1;
    while (page.entries.size() > pageSize) {
        page.entries.erase(std::prev(page.entries.end()));
        page.isLast = false;
    }
    return page;
}

void InstanceLink::listPage(const Position &after, const std::shared_ptr<Instances> &found, const std::function<void(std::optional<Instances>)> &onReply)
{
    const InstanceServiceState &service = m_simulation.m_instanceService;
    if (m_contact.isCutOff(m_simulation.now()) || m_simulation.chance(service.silentListShare)) {
        m_executor.after(internal::instanceTimeout, [onReply] {
            onReply(std::nullopt);
        });
        return;
    }
    if (m_simulation.chance(service.refusedShare)) {
        m_executor.after(2 * internal::instanceLatency, [onReply] {
            onReply(std::nullopt);
        });
        return;
    }
    const core::Duration there = drawLatency();
    const core::Duration back = drawLatency();
    if (there + back > internal::instanceTimeout) {
        m_executor.after(internal::instanceTimeout, [onReply] {
            onReply(std::nullopt);
        });
        return;
    }
    m_simulation.m_timeline.after(there, [this, after, found, onReply, back] {
        const Page page = readPage(after);
        m_executor.after(back, [this, page, found, onReply] {
            for (const std::pair<const Position, jobs::InstanceEntry> &item : page.entries) {
                (*found)[item.first.second] = item.second;
            }
            if (page.isLast) {
                onReply(std::move(*found));
            } else {
                listPage(page.entries.rbegin()->first, found, onReply);
            }
        });
    });
}

void InstanceLink::sendCommand(const std::function<jobs::InstanceOutcome(bool)> &execute, const std::function<void(jobs::InstanceOutcome)> &onReply)
{
    const InstanceServiceState &service = m_simulation.m_instanceService;
    if (m_simulation.chance(service.refusedShare)) {
        m_executor.after(2 * internal::instanceLatency, [onReply] {
            onReply(jobs::InstanceOutcome::Refused);
        });
        return;
    }
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const std::function<void(jobs::InstanceOutcome)> answer = [answered, onReply](jobs::InstanceOutcome outcome) {
        if (!*answered) {
            *answered = true;
            onReply(outcome);
        }
    };
    m_executor.after(internal::instanceTimeout, [answer] {
        answer(jobs::InstanceOutcome::Unknown);
    });
    if (m_contact.isCutOff(m_simulation.now()) || m_simulation.chance(service.lostCommandShare)) {
        return;
    }
    if (m_simulation.chance(service.lateShare)) {
        const double delayS = std::uniform_real_distribution<double>{internal::minLateS, internal::maxLateS}(m_simulation.m_random);
        m_simulation.m_timeline.after(std::chrono::milliseconds{static_cast<std::int64_t>(delayS * 1000.0)}, [execute] {
            (void)execute(true);
        });
        return;
    }
    const bool replyLost = m_simulation.chance(service.lostReplyShare);
    m_simulation.m_timeline.after(drawLatency(), [this, execute, answer, replyLost] {
        const jobs::InstanceOutcome outcome = execute(false);
        if (replyLost || m_contact.isCutOff(m_simulation.now())) {
            return;
        }
        m_executor.after(drawLatency(), [answer, outcome] {
            answer(outcome);
        });
    });
}

void InstanceLink::maintain(const jobs::MaintainCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::InstanceOutcome)> onReply)
{
    const std::function<jobs::InstanceOutcome(bool)> execute = [this, command, permit](bool late) {
        const jobs::InstanceOutcome outcome = m_simulation.maintainInstance(command, permit.token, late ? nullptr : &m_contact);
        if (!late) {
            m_simulation.springOwnerTraps(m_contact.node);
        }
        return outcome;
    };
    sendCommand(execute, onReply);
}

void InstanceLink::move(const jobs::MoveCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::InstanceOutcome)> onReply)
{
    const std::function<jobs::InstanceOutcome(bool)> execute = [this, command, permit](bool late) {
        const EmulatedInstance &instance = m_simulation.m_instances.at(command.instance);
        if (instance.pool == command.pool) {
            return jobs::InstanceOutcome::Done;
        }
        if (instance.state != jobs::InstanceState::Up) {
            return jobs::InstanceOutcome::Busy;
        }
        ++m_simulation.m_report.moves;
        if (!late) {
            m_simulation.m_checker.commandReceived(command.instance, permit.token, m_simulation.now());
        }
        m_simulation.moveInstance(command.instance, command.pool);
        return jobs::InstanceOutcome::Done;
    };
    sendCommand(execute, onReply);
}

} // namespace oleanderwick::emulator
