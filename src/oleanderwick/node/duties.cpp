#include "duties.hpp"

#include "sleep.hpp"
#include "wave_duty.hpp"

#include <chrono>
#include <type_traits>

namespace oleanderwick::node
{

namespace internal
{

constexpr core::Duration heartbeatPeriod = std::chrono::seconds{1};
constexpr core::Duration leaseDuration = std::chrono::seconds{5};
constexpr core::Duration watchRetryDelay = std::chrono::milliseconds{500};
constexpr int idlePeriodFactor = 2;
constexpr core::Duration peerTimeout = std::chrono::seconds{1};

} // namespace internal

StoreDuty::StoreDuty(std::shared_ptr<store::Store> store, StoreKeys keys, StoreRing &tasks, DecisionRing &decisions, ConfigKeeper &keeper)
    : m_store{std::move(store)}
    , m_keys{std::move(keys)}
    , m_tasks{tasks}
    , m_decisions{decisions}
    , m_keeper{keeper}
    , m_thread{[this] {
        run();
    }}
{
}

void StoreDuty::run()
{
    for (;;) {
        const StoreTask task = m_tasks.pop();
        if (std::holds_alternative<Quit>(task)) {
            return;
        }
        if (const allotment::LedgerRead *read = std::get_if<allotment::LedgerRead>(&task)) {
            handle(*read);
        } else if (const allotment::LedgerWrite *write = std::get_if<allotment::LedgerWrite>(&task)) {
            handle(*write);
        } else if (const PatchTask *patch = std::get_if<PatchTask>(&task)) {
            handle(*patch);
        } else if (const WaveTask *wave = std::get_if<WaveTask>(&task)) {
            handle(*wave);
        }
    }
}

std::optional<allotment::StoredLedger> StoreDuty::decode(const std::optional<store::KeyValue> &found)
{
    if (!found) {
        return allotment::StoredLedger{};
    }
    absl::StatusOr<allotment::Ledger> ledger = allotment::Ledger::fromText(found->value);
    if (!ledger.ok()) {
        return std::nullopt;
    }
    return allotment::StoredLedger{found->revision, *std::move(ledger)};
}

void StoreDuty::handle(const allotment::LedgerRead &read)
{
    const absl::StatusOr<std::optional<store::KeyValue>> found = m_store->read(m_keys.ledger(read.shard));
    m_decisions.push(LedgerReadDone{read.shard, found.ok() ? decode(*found) : std::nullopt});
}

void StoreDuty::handle(const allotment::LedgerWrite &write)
{
    const absl::StatusOr<store::SwapResult> result = m_store->compareAndSwap(m_keys.ledger(write.shard), write.expectedRevision, write.value.toText(), 0);
    if (!result.ok()) {
        const bool notSent = result.status().code() == absl::StatusCode::kUnavailable;
        m_decisions.push(LedgerWriteDone{write.shard, notSent ? allotment::WriteOutcome::NotSent : allotment::WriteOutcome::Unknown, std::nullopt});
        return;
    }
    if (result->swapped) {
        m_decisions.push(LedgerWriteDone{write.shard, allotment::WriteOutcome::Written, allotment::StoredLedger{result->revision, write.value}});
        return;
    }
    m_decisions.push(LedgerWriteDone{write.shard, allotment::WriteOutcome::Conflict, decode(result->current)});
}

void StoreDuty::handle(const PatchTask &task)
{
    config::Record accepted;
    PatchOutcome outcome = writePatch(*m_store, m_keys, task.patch, accepted);
    if (outcome.kind == PatchOutcome::Kind::Accepted) {
        m_keeper.offer(std::move(accepted));
    }
    task.done(std::move(outcome));
}

void StoreDuty::handle(const WaveTask &task)
{
    task.done(changeWaveList(*m_store, m_keys, task.change));
}

HeartbeatDuty::HeartbeatDuty(std::shared_ptr<store::Store> store, StoreKeys keys, core::NodeId self, DecisionRing &decisions, ConfigKeeper &keeper)
    : m_store{std::move(store)}
    , m_keys{std::move(keys)}
    , m_self{std::move(self)}
    , m_decisions{decisions}
    , m_keeper{keeper}
    , m_thread{[this](const std::stop_token &stop) {
        run(stop);
    }}
{
}

void HeartbeatDuty::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        sendHeartbeat();
        sleepUnlessStopped(stop, internal::heartbeatPeriod);
    }
    if (m_lease != 0) {
        // If this call is lost, the lease expires later.
        (void)m_store->revokeLease(m_lease);
    }
}

bool HeartbeatDuty::keepRegistered()
{
    if (m_lease != 0) {
        const absl::Status renewed = m_store->keepAlive(m_lease);
        if (renewed.ok()) {
            return true;
        }
        if (renewed.code() != absl::StatusCode::kNotFound) {
            return false;
        }
        m_lease = 0;
    }
    const absl::StatusOr<store::LeaseId> lease = m_store->grantLease(internal::leaseDuration);
    if (!lease.ok()) {
        return false;
    }
    const std::string key = m_keys.nodes() + m_self.text();
    const absl::StatusOr<std::optional<store::KeyValue>> before = m_store->read(key);
    if (!before.ok()) {
        return false;
    }
    const store::Revision revision = before->has_value() ? (*before)->revision : 0;
    const absl::StatusOr<store::SwapResult> written = m_store->compareAndSwap(key, revision, m_self.text(), *lease);
    if (!written.ok() || !written->swapped) {
        return false;
    }
    m_lease = *lease;
    return true;
}

bool HeartbeatDuty::refreshConfig()
{
    const absl::StatusOr<store::Revision> revision = m_store->revision(m_keys.config());
    if (!revision.ok()) {
        return false;
    }
    if (*revision == m_configRevision) {
        return true;
    }
    absl::StatusOr<StoredRecord> stored = readConfig(*m_store, m_keys);
    if (!stored.ok()) {
        return false;
    }
    m_configRevision = stored->revision;
    m_keeper.offer(std::move(stored->record));
    return true;
}

void HeartbeatDuty::sendHeartbeat()
{
    const core::TimePoint sentAt = core::BootClock::now();
    const bool registered = keepRegistered();
    if (!refreshConfig() || !registered) {
        return;
    }
    m_decisions.push(StoreContacted{sentAt});
    const absl::StatusOr<std::vector<std::string>> keys = m_store->keys(m_keys.nodes());
    if (!keys.ok()) {
        return;
    }
    std::set<core::NodeId> nodes;
    for (const std::string &key : *keys) {
        nodes.emplace(key.substr(m_keys.nodes().size()));
    }
    m_decisions.push(RegisteredNodes{std::move(nodes)});
}

WatchDuty::WatchDuty(std::shared_ptr<store::Store> store, StoreKeys keys, ConfigKeeper &keeper)
    : m_store{std::move(store)}
    , m_keys{std::move(keys)}
    , m_keeper{keeper}
    , m_thread{[this](const std::stop_token &stop) {
        run(stop);
    }}
{
}

void WatchDuty::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        absl::StatusOr<StoredRecord> stored = readConfig(*m_store, m_keys);
        if (stored.ok()) {
            const store::Revision revision = stored->revision;
            m_keeper.offer(std::move(stored->record));
            const absl::Status ended = m_store->watch(m_keys.config(), revision, [this, &stop](const std::optional<store::KeyValue> &change) {
                if (change) {
                    absl::StatusOr<config::Record> record = config::recordFromText(change->value);
                    if (record.ok()) {
                        m_keeper.offer(*std::move(record));
                    }
                }
                return !stop.stop_requested();
            });
            if (ended.ok()) {
                continue;
            }
        }
        sleepUnlessStopped(stop, internal::watchRetryDelay);
    }
}

PeerDuty::PeerDuty(http::Endpoint endpoint, const settings::Settings &settings, DigestSlot &own, DecisionRing &decisions, ConfigKeeper &keeper)
    : m_link{std::move(endpoint), settings.clusterSecret, internal::peerTimeout}
    , m_period{std::chrono::milliseconds{settings.digestMs}}
    , m_ownDigest{own}
    , m_decisions{decisions}
    , m_keeper{keeper}
    , m_thread{[this](const std::stop_token &stop) {
        run(stop);
    }}
{
}

void PeerDuty::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const core::TimePoint sentAt = core::BootClock::now();
        const membership::Digest own = m_ownDigest.read();
        absl::StatusOr<membership::Digest> digest = m_link.exchange(own);
        if (digest.ok()) {
            const bool newer = digest->version > m_keeper.current()->version();
            m_decisions.push(PeerReplyReceived{*std::move(digest), sentAt});
            absl::StatusOr<config::Record> record = newer ? m_link.configRecord() : absl::NotFoundError("not needed");
            if (record.ok()) {
                m_keeper.offer(*std::move(record));
            }
        }
        const bool idle = own.demands.empty() && own.permitRequests.empty();
        sleepUnlessStopped(stop, idle ? m_period * internal::idlePeriodFactor : m_period);
    }
}

TelemetryDuty::TelemetryDuty(TelemetryRing &items, telemetry::Metrics &metrics)
    : m_items{items}
    , m_metrics{metrics}
    , m_thread{[this] {
        run();
    }}
{
}

void TelemetryDuty::run()
{
    for (;;) {
        const TelemetryItem item = m_items.pop();
        if (std::holds_alternative<Quit>(item)) {
            return;
        }
        if (const dispatch::Completion *completion = std::get_if<dispatch::Completion>(&item)) {
            m_metrics.record(*completion);
        } else if (const telemetry::Event *event = std::get_if<telemetry::Event>(&item)) {
            telemetry::log(*event);
        }
    }
}

} // namespace oleanderwick::node
