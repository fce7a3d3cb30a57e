#include "job_node.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** A silent connection to the store must be noticed well within the time in which configurations have to be in force. */
constexpr core::Duration operatorWait = std::chrono::milliseconds{1000};
constexpr core::Duration flushLogEvery = std::chrono::milliseconds{250};

} // namespace internal

JobNode::JobNode(core::Executor &executor, const Ports &ports, const std::string &name, const TenureLimits &limits, LogSink &log)
    : m_executor{executor}
    , m_ports{ports}
    , m_limits{limits}
    , m_log{log}
    , m_desk{executor, ports.store, log}
{
    Watcher::Callbacks seen;
    seen.onItem = [this](const jobs::StoreItem &item) {
        takeOperatorItem(item);
    };
    seen.onRemoved = [](const std::string &) {
        // Operators only add and replace.
    };
    seen.onListed = [] {
    };
    seen.onContact = [this](bool answered) {
        if (answered != m_contact) {
            m_contact = answered;
            m_log.add("store_contact", telemetry::Event{answered ? "store_regained" : "store_lost"});
        }
    };
    m_operators = std::make_unique<Watcher>(executor, ports.store, ports.translator.operatorPrefix(), internal::operatorWait, std::move(seen));
    Ownership::Callbacks changes;
    changes.onAcquired = [this](std::int64_t token) {
        becomeOwner(token);
    };
    changes.onLost = [this] {
        m_tenure.reset();
    };
    m_ownership = std::make_unique<Ownership>(executor, ports.store, name, limits.handicap, log, std::move(changes));
    executor.every(internal::flushLogEvery, [this] {
        m_log.flush();
    });
}

JobNode::~JobNode() = default;

JobDesk &JobNode::desk() noexcept
{
    return m_desk;
}

bool JobNode::isReady() const noexcept
{
    return !m_stopping && m_config.configVersion > 0;
}

bool JobNode::isOwner() const noexcept
{
    return m_ownership->token() != 0;
}

std::int64_t JobNode::configVersion() const noexcept
{
    return m_config.configVersion;
}

void JobNode::takeOperatorItem(const jobs::StoreItem &item)
{
    OperatorNews news = m_ports.translator.readOperatorItem(item);
    if (news.config.has_value() && news.configVersion > m_config.configVersion) {
        m_log.add("config", telemetry::Event{"config_in_force"}.with("version", news.configVersion).with("before", m_config.configVersion));
        m_config = news;
        if (m_tenure != nullptr) {
            m_tenure->take(news);
        }
    }
    if (news.wave.has_value()) {
        m_log.add("wave",
                  telemetry::Event{"wave_asked_for"}
                      .with("wave", news.wave->number)
                      .with("instances", static_cast<std::int64_t>(news.wave->instances.size()))
                      .with("most_at_once", news.wave->maxInstancesDown));
        m_waves[news.wave->number] = news;
        if (m_tenure != nullptr) {
            m_tenure->take(news);
        }
    }
}

void JobNode::becomeOwner(std::int64_t token)
{
    m_tenure = std::make_unique<Tenure>(m_executor, m_ports, *m_ownership, token, m_limits, m_log);
    m_tenure->take(m_config);
    for (const std::pair<const std::int64_t, OperatorNews> &wave : m_waves) {
        m_tenure->take(wave.second);
    }
}

void JobNode::stop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    // At once: the successor learns from the workers what is not stored.
    m_ownership->resign();
}

} // namespace oleanderwick::jobnode
