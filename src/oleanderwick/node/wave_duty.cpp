#include "wave_duty.hpp"

#include <algorithm>
#include <chrono>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "sleep.hpp"

namespace oleanderwick::node
{

namespace internal
{

constexpr core::Duration idlePeriod = std::chrono::seconds{1};
constexpr core::Duration activePeriod = std::chrono::milliseconds{200};
constexpr core::Duration platformTimeout = std::chrono::seconds{1};
/** Changes of the list are discarded if reading the ledger and planning took longer, since instances may have failed meanwhile. */
constexpr core::Duration maxViewAge = std::chrono::seconds{2};
constexpr int maxAttempts = 8;
constexpr int statusOk = 200;

} // namespace internal

absl::StatusOr<StoredWaveList> readWaveList(store::Store &store, const StoreKeys &keys)
{
    const absl::StatusOr<std::optional<store::KeyValue>> found = store.read(keys.waves());
    if (!found.ok()) {
        return found.status();
    }
    if (!found->has_value()) {
        return StoredWaveList{};
    }
    absl::StatusOr<maintenance::WaveList> list = maintenance::parseWaveList((*found)->value);
    if (!list.ok()) {
        return list.status();
    }
    return StoredWaveList{*std::move(list), (*found)->revision};
}

absl::StatusOr<maintenance::WaveList> changeWaveList(store::Store &store,
                                                     const StoreKeys &keys,
                                                     const std::function<absl::StatusOr<maintenance::WaveList>(maintenance::WaveList)> &change)
{
    absl::Status last = absl::UnavailableError("other changes of the list came first in every attempt");
    bool pending = false;
    for (int attempt = 0; attempt < internal::maxAttempts; ++attempt) {
        const absl::StatusOr<StoredWaveList> before = readWaveList(store, keys);
        if (!before.ok()) {
            last = before.status();
            continue;
        }
        absl::StatusOr<maintenance::WaveList> next = change(before->list);
        if (!next.ok() || *next == before->list) {
            return next;
        }
        const absl::StatusOr<store::SwapResult> swapped = store.compareAndSwap(keys.waves(), before->revision, maintenance::toJson(*next).dump(), 0);
        if (swapped.ok() && swapped->swapped) {
            return next;
        }
        if (!swapped.ok()) {
            last = swapped.status();
            pending = pending || last.code() != absl::StatusCode::kUnavailable;
        }
    }
    return pending ? absl::DeadlineExceededError(std::string{last.message()}) : absl::UnavailableError(std::string{last.message()});
}

PlatformClient::PlatformClient(http::Endpoint endpoint)
    : m_client{std::move(endpoint)}
{
}

absl::StatusOr<maintenance::PlatformList> PlatformClient::list()
{
    const absl::StatusOr<http::Response> response = m_client.exchange(http::Request{"GET", "/v1/instances", {}, ""}, internal::platformTimeout);
    if (!response.ok()) {
        return response.status();
    }
    if (response->status != internal::statusOk) {
        return absl::UnavailableError(absl::StrCat("the platform answered ", response->status));
    }
    return maintenance::parsePlatformList(response->body);
}

absl::Status PlatformClient::reboot(const core::InstanceId &instance, const std::string &mark)
{
    const nlohmann::json body = {{"mark", mark}};
    const http::Request request{"POST", absl::StrCat("/v1/instances/", instance.text(), "/reboot"), {{"Content-Type", "application/json"}}, body.dump()};
    const absl::StatusOr<http::Response> response = m_client.exchange(request, internal::platformTimeout);
    if (!response.ok()) {
        return response.status();
    }
    return response->status == internal::statusOk ? absl::OkStatus() : absl::UnavailableError(absl::StrCat("the platform answered ", response->status));
}

WaveDuty::WaveDuty(std::shared_ptr<store::Store> store,
                   std::unique_ptr<maintenance::Platform> platform,
                   StoreKeys keys,
                   DigestSlot &own,
                   DemandSlot &demands,
                   DecisionRing &decisions,
                   TelemetryRing &telemetry,
                   ConfigKeeper &keeper)
    : m_store{std::move(store)}
    , m_platform{std::move(platform)}
    , m_keys{std::move(keys)}
    , m_ownDigest{own}
    , m_demands{demands}
    , m_decisions{decisions}
    , m_telemetry{telemetry}
    , m_keeper{keeper}
    , m_thread{[this](const std::stop_token &stop) {
        run(stop);
    }}
{
}

void WaveDuty::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        refresh();
        const std::vector<maintenance::Wave> &waves = m_stored.list.waves;
        const bool active = !std::all_of(waves.begin(), waves.end(), maintenance::hasEnded);
        if (active && m_platform != nullptr && isActingNode()) {
            advanceWaves();
        }
        sleepUnlessStopped(stop, active ? internal::activePeriod : internal::idlePeriod);
    }
}

void WaveDuty::refresh()
{
    const absl::StatusOr<store::Revision> revision = m_store->revision(m_keys.waves());
    if (!revision.ok() || *revision == m_stored.revision) {
        return;
    }
    absl::StatusOr<StoredWaveList> stored = readWaveList(*m_store, m_keys);
    if (stored.ok()) {
        adopt(*std::move(stored));
    }
}

void WaveDuty::adopt(StoredWaveList stored)
{
    if (stored.revision < m_stored.revision) {
        return;
    }
    const std::set<core::InstanceId> before = maintenance::outOfService(m_stored.list);
    m_stored = std::move(stored);
    std::set<core::InstanceId> after = maintenance::outOfService(m_stored.list);
    if (after != before) {
        m_decisions.push(OutOfService{std::move(after)});
    }
}

bool WaveDuty::isActingNode() const
{
    const membership::Digest digest = m_ownDigest.read();
    return !digest.alive.empty() && *std::min_element(digest.alive.begin(), digest.alive.end()) == digest.node;
}

void WaveDuty::advanceWaves()
{
    const absl::StatusOr<maintenance::PlatformList> list = m_platform->list();
    // Without the list, the health of every instance is unknown, and each counts as down.
    const maintenance::PlatformList known = list.ok() ? *list : maintenance::PlatformList{};
    const std::vector<maintenance::Wave> waves = m_stored.list.waves;
    for (const maintenance::Wave &wave : waves) {
        if (!maintenance::hasEnded(wave)) {
            advanceWave(wave, known);
        }
    }
}

std::optional<std::map<core::InstanceId, std::uint32_t>> WaveDuty::permitsHeld()
{
    std::map<core::InstanceId, std::uint32_t> permits;
    for (std::size_t shard = 0; shard < allotment::PermitHolder::shardCount; ++shard) {
        const absl::StatusOr<std::optional<store::KeyValue>> found = m_store->read(m_keys.ledger(shard));
        const absl::StatusOr<allotment::Ledger> ledger =
            found.ok() ? (found->has_value() ? allotment::Ledger::fromText((*found)->value) : allotment::Ledger{}) : found.status();
        if (!ledger.ok()) {
            return std::nullopt;
        }
        for (const std::pair<const core::NodeId, allotment::Account> &account : ledger->accounts()) {
            for (const std::pair<const allotment::LimitId, std::uint32_t> &entry : account.second) {
                if (entry.first.kind == allotment::LimitId::Kind::Instance) {
                    permits[core::InstanceId{entry.first.name}] += entry.second;
                }
            }
        }
    }
    return permits;
}

std::optional<maintenance::PoolView> WaveDuty::viewOf(const maintenance::Wave &wave, const maintenance::PlatformList &list)
{
    const std::optional<std::map<core::InstanceId, std::uint32_t>> permits = permitsHeld();
    const config::SnapshotPtr snapshot = m_keeper.current();
    const auto pool = snapshot->document().pools.find(wave.pool);
    if (!permits || pool == snapshot->document().pools.end()) {
        return std::nullopt;
    }
    maintenance::PoolView view;
    view.budget = pool->second.availabilityBudget;
    const std::map<core::PoolId, std::uint32_t> demands = m_demands.read();
    const auto demand = demands.find(wave.pool);
    view.demand = demand == demands.end() ? 0 : demand->second;
    for (const std::pair<const core::InstanceId, config::Instance> &entry : snapshot->document().instances) {
        if (entry.second.pool != wave.pool) {
            continue;
        }
        const auto known = list.find(entry.first);
        const maintenance::PlatformInstance platformInstance = known == list.end() ? maintenance::PlatformInstance{} : known->second;
        const auto held = permits->find(entry.first);
        view.instances.push_back(maintenance::InstanceView{entry.first,
                                                           entry.second.zone,
                                                           entry.second.rack,
                                                           platformInstance.health,
                                                           platformInstance.bootMark,
                                                           entry.second.slots,
                                                           held == permits->end() ? 0 : held->second,
                                                           snapshot->document().closedZones.contains(entry.second.zone)});
    }
    return view;
}

void WaveDuty::advanceWave(const maintenance::Wave &wave, const maintenance::PlatformList &list)
{
    const core::TimePoint viewedAt = core::BootClock::now();
    const std::optional<maintenance::PoolView> view = viewOf(wave, list);
    if (!view) {
        return;
    }
    const maintenance::Wave next = maintenance::advance(wave, *view);
    if (next == wave) {
        reboot(wave, *view);
        return;
    }
    StoredWaveList changed = m_stored;
    std::replace(changed.list.waves.begin(), changed.list.waves.end(), wave, next);
    if (core::BootClock::now() - viewedAt > internal::maxViewAge) {
        return;
    }
    const absl::StatusOr<store::SwapResult> swapped = m_store->compareAndSwap(m_keys.waves(), m_stored.revision, maintenance::toJson(changed.list).dump(), 0);
    if (!swapped.ok() || !swapped->swapped) {
        // `m_stored` may be outdated now; the next iteration of `run` reads it again.
        return;
    }
    changed.revision = swapped->revision;
    adopt(std::move(changed));
    (void)m_telemetry.tryPush(
        telemetry::Event{"wave_advanced"}.with("wave", next.id).with("status", maintenance::toText(next.status)).with("reason", next.reason));
    reboot(next, *view);
}

void WaveDuty::reboot(const maintenance::Wave &wave, const maintenance::PoolView &view)
{
    for (const core::InstanceId &instance : maintenance::dueReboots(wave, view)) {
        // A lost reply does no harm: the reboot is requested with the same mark until the platform's list shows that mark.
        const absl::Status requested = m_platform->reboot(instance, maintenance::rebootMark(wave, instance));
        (void)m_telemetry.tryPush(
            telemetry::Event{"reboot_asked"}.with("wave", wave.id).with("instance", instance.text()).with("ok", requested.ok() ? "yes" : "no"));
    }
}

} // namespace oleanderwick::node
