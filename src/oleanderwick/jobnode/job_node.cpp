#include "job_node.hpp"

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** Short, so that a store connection that went silent is noticed well within the time in which a new configuration must be in force. */
constexpr core::Duration operatorWatchTimeout = std::chrono::milliseconds{1000};
/** Figures that are older than 3 s refuse nothing, so a silent connection is noticed before. */
constexpr core::Duration publishedWatchTimeout = std::chrono::milliseconds{1000};
constexpr core::Duration logFlushInterval = std::chrono::milliseconds{250};

} // namespace internal

JobNode::JobNode(core::Executor &executor, const Ports &ports, const std::string &name, const OwnerOptions &options, LogSink &log)
    : m_executor{executor}
    , m_ports{ports}
    , m_options{options}
    , m_log{log}
    , m_jobService{executor, ports.store, log, options.refuseJobs}
    , m_zoneClosures{ports.translator.zoneClosurePrefix()}
{
    m_log.metrics().setGauge("closed_zones", 0);
    Watcher::Callbacks operatorCallbacks;
    operatorCallbacks.onItem = [this](const jobs::StoreItem &item) {
        handleOperatorItem(item);
    };
    operatorCallbacks.onRemoved = [this](const std::string &key) {
        if (m_zoneClosures.handleRemoval(key)) {
            recordZone("zone_opened", key, 0);
        }
    };
    operatorCallbacks.onListed = [] {
    };
    operatorCallbacks.onCallResult = [this](bool succeeded) {
        if (succeeded != m_isStoreReachable) {
            m_isStoreReachable = succeeded;
            m_log.add("store_contact", telemetry::Event{succeeded ? "store_regained" : "store_lost"});
        }
    };
    m_operatorWatcher =
        std::make_unique<Watcher>(executor, ports.store, ports.translator.operatorPrefix(), internal::operatorWatchTimeout, std::move(operatorCallbacks));
    Ownership::Callbacks ownershipCallbacks;
    ownershipCallbacks.onAcquired = [this](std::int64_t token) {
        becomeOwner(token);
    };
    ownershipCallbacks.onLost = [this] {
        m_term.reset();
    };
    std::string noticeAddress;
    if (options.notifyOwner && ports.notices != nullptr) {
        noticeAddress = options.noticeAddress;
        m_notifier = std::make_unique<OwnerNotifier>(executor, *ports.notices, log, [this](std::function<void(bool)> onDone) {
            m_ownership->lookUp(std::move(onDone));
        });
        m_jobService.setOnStored([this](const OwnerNotice &notice) {
            notify(notice);
        });
        ownershipCallbacks.onOwner = [this](const std::optional<OwnerRecord> &owner) {
            m_notifier->setOwner(owner);
        };
    }
    m_ownership = std::make_unique<Ownership>(executor, ports.store, name, options.electionDelay, log, std::move(ownershipCallbacks), std::move(noticeAddress));
    if (options.refuseJobs) {
        followLoad();
    }
    executor.every(internal::logFlushInterval, [this] {
        if (m_gate != nullptr) {
            m_gate->updateMetrics();
        }
        m_log.flush();
    });
}

JobNode::~JobNode() = default;

JobService &JobNode::jobService() noexcept
{
    return m_jobService;
}

void JobNode::followLoad()
{
    m_gate = std::make_unique<JobGate>(m_executor, m_jobService, m_log, admission::JobAdmissionPolicy{m_options.lateBoundFactor, m_options.nodes});
    Watcher::Callbacks callbacks;
    callbacks.onItem = [this](const jobs::StoreItem &item) {
        m_gate->handleItem(item);
    };
    callbacks.onRemoved = [this](const std::string &key) {
        m_gate->handleRemoval(key);
    };
    callbacks.onListed = [] {
    };
    m_publishedWatcher = std::make_unique<Watcher>(m_executor, m_ports.store, keys::publishedPrefix, internal::publishedWatchTimeout, std::move(callbacks));
}

void JobNode::submit(const jobs::Job &job, const jobs::QueuePolicy &policy, core::TimePoint deadline, JobService::OnReply onReply)
{
    if (m_gate != nullptr) {
        m_gate->submit(job, policy, deadline, std::move(onReply));
    } else {
        m_jobService.submit(job, deadline, std::move(onReply));
    }
}

bool JobNode::isReady() const noexcept
{
    return !m_stopping && m_config.configVersion > 0;
}

jobs::OpenTaskFigures JobNode::openTasks() const noexcept
{
    return m_term == nullptr ? jobs::OpenTaskFigures{} : m_term->openTasks();
}

bool JobNode::isOwner() const noexcept
{
    return m_ownership->token() != 0;
}

std::int64_t JobNode::configVersion() const noexcept
{
    return m_config.configVersion;
}

void JobNode::recordZone(const char *event, const std::string &key, std::int64_t revision)
{
    const std::int64_t closed = static_cast<std::int64_t>(m_zoneClosures.zones().size());
    m_log.metrics().setGauge("closed_zones", closed);
    telemetry::Event line{event};
    line.with("zone", m_zoneClosures.zoneOf(key)).with("revision", revision).with("closed", closed).with("owner", isOwner() ? 1 : 0);
    m_log.add(event, line);
}

void JobNode::handleOperatorItem(const jobs::StoreItem &item)
{
    if (m_zoneClosures.handleItem(item)) {
        recordZone("zone_closed", item.key, item.revision);
    }
    OperatorUpdate update = m_ports.translator.parseOperatorItem(item);
    if (update.config.has_value() && update.configVersion > m_config.configVersion) {
        m_log.add("config", telemetry::Event{"config_in_force"}.with("version", update.configVersion).with("before", m_config.configVersion));
        m_config = update;
        if (m_term != nullptr) {
            m_term->applyUpdate(update);
        }
    }
    if (update.wave.has_value()) {
        m_log.add("wave",
                  telemetry::Event{"wave_asked_for"}
                      .with("wave", update.wave->number)
                      .with("instances", static_cast<std::int64_t>(update.wave->instances.size()))
                      .with("most_at_once", update.wave->maxInstancesDown));
        m_waves[update.wave->number] = update;
        if (m_term != nullptr) {
            m_term->applyUpdate(update);
        }
    }
}

void JobNode::becomeOwner(std::int64_t token)
{
    m_term = std::make_unique<OwnerTerm>(m_executor, m_ports, *m_ownership, token, m_options, m_log);
    if (m_gate != nullptr) {
        m_term->restoreLoad(m_gate->figures());
    }
    m_term->applyUpdate(m_config);
    for (const std::pair<const std::int64_t, OperatorUpdate> &wave : m_waves) {
        m_term->applyUpdate(wave.second);
    }
}

void JobNode::notify(const OwnerNotice &notice)
{
    if (m_term != nullptr) {
        m_term->handleNotices({notice});
    }
    // A process that was frozen may take itself for the owner although another node is.
    if (!m_ownership->isHeld(m_executor.now())) {
        m_notifier->notify(notice);
    }
}

bool JobNode::handleNotices(const std::vector<OwnerNotice> &notices)
{
    if (m_term == nullptr) {
        return false;
    }
    m_term->handleNotices(notices);
    return m_ownership->isHeld(m_executor.now());
}

void JobNode::stop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    // Resigns without waiting for saves: the successor learns from the workers what is not stored.
    m_ownership->resign();
}

} // namespace oleanderwick::jobnode
