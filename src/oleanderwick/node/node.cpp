#include "node.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <random>
#include <vector>

#include <sodium.h>

#include "../store/memory_store.hpp"
#include "../store/platform_store.hpp"
#include "caller_api.hpp"
#include "decision_duty.hpp"
#include "operator_api.hpp"
#include "wave_duty.hpp"

namespace oleanderwick::node
{

namespace internal
{

constexpr core::Duration refusalReportInterval = std::chrono::seconds{1};
constexpr core::Duration tickPeriod = std::chrono::milliseconds{10};
constexpr std::uint64_t ticksPerIdleEvent = 5;
constexpr core::Duration stopCheckPeriod = std::chrono::milliseconds{20};
constexpr core::Duration storeTimeout = std::chrono::seconds{1};
/** Maximum duration of the phase `Leaving`; permits not returned by then are reclaimed by the other nodes. */
constexpr core::Duration leaveTimeout = std::chrono::seconds{3};
constexpr std::size_t storeRingSize = 1024;
constexpr std::size_t telemetryRingSize = 65'536;
constexpr std::size_t controlEventCapacity = 4096;
constexpr std::size_t incarnationDigits = 12;

core::NodeId makeNodeId(const std::string &name)
{
    return core::NodeId{name + "." + config::randomHex().substr(0, incarnationDigits)};
}

/** @brief Creates a store connection for each duty; the in-memory store is shared by all. */
class StoreFactory
{
public:
    explicit StoreFactory(const settings::StoreSettings &settings)
        : m_settings{settings}
        , m_memory{std::make_shared<store::MemoryStore>(m_clock)}
    {
    }

    [[nodiscard]] std::shared_ptr<store::Store> create() const;

private:
    settings::StoreSettings m_settings;
    core::MonotonicClock m_clock;
    std::shared_ptr<store::MemoryStore> m_memory;
};

std::shared_ptr<store::Store> StoreFactory::create() const
{
    if (m_settings.kind == settings::StoreKind::Memory) {
        return m_memory;
    }
    std::vector<http::Endpoint> endpoints;
    for (const std::string &text : m_settings.endpoints) {
        const absl::StatusOr<http::Endpoint> endpoint = http::parseEndpoint(text);
        if (endpoint.ok()) {
            endpoints.push_back(*endpoint);
        }
    }
    return std::make_shared<store::PlatformStore>(std::move(endpoints), storeTimeout);
}

/** Shares of the listeners in the node's sockets and memory. */
constexpr double callerShare = 0.75;
constexpr double controlShare = 0.25;
/** Descriptors that are not used for sockets. */
constexpr std::size_t reservedDescriptors = 32;

/** Returns the node's limits, of descriptors those for sockets. */
core::ProcessLimits socketLimits(const settings::Settings &settings)
{
    core::ProcessLimits limits = core::processLimits({std::size_t{settings.memoryMb} << 20U, settings.maxDescriptors});
    limits.descriptors -= std::min(limits.descriptors / 2, reservedDescriptors);
    return limits;
}

http::ServerLimits serverLimits(const settings::Settings &settings, const core::ProcessLimits &process, double share)
{
    http::ServerLimits limits;
    limits.maxBodyBytes = settings.maxBodyBytes;
    return http::divideLimits(process, share, limits);
}

} // namespace internal

/** @brief Components of a running node; the order of the members is the order of their construction. */
class Node::State
{
public:
    explicit State(settings::Settings settings)
        : m_settings{std::move(settings)}
        , m_limits{internal::socketLimits(m_settings)}
        , m_self{internal::makeNodeId(m_settings.node)}
        , m_fleetSize{m_settings.peers.size() + 1}
        , m_storeFactory{m_settings.store}
        , m_decisionRing{std::size_t{m_settings.maxRequests} * 2 + internal::controlEventCapacity}
        , m_storeRing{internal::storeRingSize}
        , m_idempotencyRing{internal::storeRingSize}
        , m_telemetryRing{internal::telemetryRingSize}
        , m_keeper{m_decisionRing}
        , m_upstreams{m_loop, std::max<std::size_t>(http::responseBytes(m_limits), 2 * std::size_t{m_settings.maxAnswerBytes})}
        , m_callerApi{m_self, m_loop, m_upstreams, m_decisionRing, m_idempotencyRing, m_keeper, m_fleetSize, m_settings.maxRequests, m_settings.maxAnswerBytes}
        , m_operatorApi{m_settings,
                        m_keeper,
                        m_digest,
                        m_storeRing,
                        m_decisionRing,
                        m_metrics,
                        [this] {
                            return ready();
                        }}
        , m_callerServer{m_loop,
                         internal::serverLimits(m_settings, m_limits, internal::callerShare),
                         [this](http::Request request, http::Responder respond) {
                             m_callerApi.handle(std::move(request), std::move(respond));
                         }}
        , m_controlServer{m_loop,
                          internal::serverLimits(m_settings, m_limits, internal::controlShare),
                          [this](const http::Request &request, const http::Responder &respond) {
                              m_operatorApi.handle(request, respond);
                          }}
    {
    }

    [[nodiscard]] absl::Status run()
    {
        // By default SIGHUP ends the process. It needs no action: a changed configuration arrives from the store, and settings apply at the start.
        (void)std::signal(SIGHUP, SIG_IGN);
        const absl::StatusOr<std::uint16_t> control = m_controlServer.listen(m_settings.control);
        if (!control.ok()) {
            return control.status();
        }
        const absl::StatusOr<std::uint16_t> callers = m_callerServer.listen(m_settings.callers);
        if (!callers.ok()) {
            return callers.status();
        }
        startDuties();
        watchListeners();
        log(telemetry::Event{"started"}.with("node", m_self.text()).with("callers", m_settings.callers).with("control", m_settings.control));
        m_loop.every(internal::tickPeriod, [this] {
            // No request waits on an idle node, so fewer ticks are enough there.
            if (m_callerApi.size() > 0 || ++m_idleTicks % internal::ticksPerIdleEvent == 0) {
                (void)m_decisionRing.tryPushBelow(Tick{}, maxQueuedBeforeDrop);
            }
        });
        m_loop.onStopSignal([this] {
            stop();
        });
        m_loop.run();
        endDuties();
        return absl::OkStatus();
    }

private:
    enum class Phase : std::uint8_t {
        Serving,
        Draining, /**< Not ready, but still accepts requests until the load balancer has noticed. */
        Finishing, /**< No new connections; pending requests are completed. */
        Leaving, /**< Permits are being returned. */
        Ended,
    };

    void log(telemetry::Event event)
    {
        (void)m_telemetryRing.tryPush(std::move(event));
    }

    [[nodiscard]] bool ready() const
    {
        return m_phase == Phase::Serving && m_keeper.current()->version() > 0;
    }

    void watchListeners()
    {
        m_listeners.add("callers", m_callerServer);
        m_listeners.add("control", m_controlServer);
        m_loop.every(internal::refusalReportInterval, [this] {
            const std::size_t own = m_upstreams.connections();
            m_callerServer.limitConnections(http::connectionsBeside(m_limits, own, internal::callerShare));
            m_controlServer.limitConnections(http::connectionsBeside(m_limits, own, internal::controlShare));
            m_listeners.report([this](const std::string &listener, const char *reason, std::uint64_t count) {
                log(telemetry::Event{"listener_refusals"}.with("listener", listener).with("reason", reason).with("count", static_cast<std::int64_t>(count)));
            });
            m_listeners.exportGauges([this](const std::string &name, std::int64_t value) {
                m_metrics.setGauge(name, static_cast<double>(value));
            });
            m_metrics.setGauge("response_held_bytes", static_cast<double>(m_upstreams.heldBytes()));
        });
    }

    void startDuties()
    {
        m_telemetryDuty = std::make_unique<TelemetryDuty>(m_telemetryRing, m_metrics);
        DecisionPorts ports{m_decisionRing,
                            m_storeRing,
                            m_telemetryRing,
                            m_digest,
                            m_demands,
                            [this](dispatch::Actions actions) {
                                m_loop.post([this, batch = std::move(actions)] {
                                    m_callerApi.execute(batch);
                                });
                            },
                            [this] {
                                m_loop.post([this] {
                                    finishStop("rights_returned");
                                });
                            }};
        const StoreKeys keys{m_settings.store.prefix};
        m_decisionDuty = std::make_unique<DecisionDuty>(m_self, m_settings.zone, m_fleetSize, std::random_device{}(), std::move(ports));
        m_storeDuty = std::make_unique<StoreDuty>(m_storeFactory.create(), keys, m_storeRing, m_decisionRing, m_keeper);
        m_idempotencyDuty = std::make_unique<IdempotencyDuty>(m_storeFactory.create(), keys, m_idempotencyRing);
        m_heartbeatDuty = std::make_unique<HeartbeatDuty>(m_storeFactory.create(), keys, m_self, m_decisionRing, m_keeper);
        m_watchDuty = std::make_unique<WatchDuty>(m_storeFactory.create(), keys, m_keeper);
        const absl::StatusOr<http::Endpoint> platform = http::parseEndpoint(m_settings.platform);
        m_waveDuty = std::make_unique<WaveDuty>(m_storeFactory.create(),
                                                platform.ok() ? std::make_unique<PlatformClient>(*platform) : nullptr,
                                                keys,
                                                m_digest,
                                                m_demands,
                                                m_decisionRing,
                                                m_telemetryRing,
                                                m_keeper);
        for (const std::string &address : m_settings.peers) {
            const absl::StatusOr<http::Endpoint> endpoint = http::parseEndpoint(address);
            if (endpoint.ok()) {
                m_peerDuties.push_back(std::make_unique<PeerDuty>(*endpoint, m_settings, m_digest, m_decisionRing, m_keeper));
            }
        }
    }

    void endDuties()
    {
        m_peerDuties.clear();
        m_waveDuty.reset();
        m_watchDuty.reset();
        m_heartbeatDuty.reset();
        m_storeRing.push(Quit{});
        m_storeDuty.reset();
        m_idempotencyRing.push(Quit{});
        m_idempotencyDuty.reset();
        m_decisionRing.push(Quit{});
        m_decisionDuty.reset();
        m_telemetryRing.push(Quit{});
        m_telemetryDuty.reset();
    }

    void stop()
    {
        if (m_phase != Phase::Serving) {
            return;
        }
        m_phase = Phase::Draining;
        m_phaseStart = core::BootClock::now();
        m_callerServer.drain();
        log(telemetry::Event{"stopping"}.with("node", m_self.text()).with("requests", static_cast<std::int64_t>(m_callerApi.size())));
        m_loop.every(internal::stopCheckPeriod, [this] {
            advanceStop();
        });
    }

    void enterPhase(Phase phase)
    {
        m_phase = phase;
        m_phaseStart = core::BootClock::now();
    }

    void advanceStop()
    {
        const core::Duration elapsed = core::BootClock::now() - m_phaseStart;
        const core::Duration balancerDelay = std::chrono::milliseconds{m_settings.balancerDelayMs};
        const core::Duration maxDrainTime = std::chrono::milliseconds{config::maxQueueTimeoutMs};
        if (m_phase == Phase::Draining && elapsed >= balancerDelay) {
            enterPhase(Phase::Finishing);
        }
        if (m_phase == Phase::Finishing) {
            m_callerServer.close();
            const bool done = m_callerApi.size() == 0 && m_callerServer.busyConnections() == 0;
            if (done || elapsed >= maxDrainTime) {
                enterPhase(Phase::Leaving);
                (void)m_decisionRing.tryPush(Leave{});
            }
        }
        if (m_phase == Phase::Leaving && elapsed >= internal::leaveTimeout) {
            finishStop("rights_left_to_lapse");
        }
    }

    void finishStop(const char *how)
    {
        if (m_phase == Phase::Ended) {
            return;
        }
        m_phase = Phase::Ended;
        log(telemetry::Event{"stopped"}.with("node", m_self.text()).with("how", how));
        m_controlServer.close();
        m_loop.stop();
    }

    settings::Settings m_settings;
    core::ProcessLimits m_limits;
    core::NodeId m_self;
    std::size_t m_fleetSize;
    internal::StoreFactory m_storeFactory;
    DecisionRing m_decisionRing;
    StoreRing m_storeRing;
    IdempotencyRing m_idempotencyRing;
    TelemetryRing m_telemetryRing;
    telemetry::Metrics m_metrics;
    DigestSlot m_digest;
    DemandSlot m_demands;
    ConfigKeeper m_keeper;
    http::Loop m_loop;
    http::UpstreamConnections m_upstreams;
    CallerApi m_callerApi;
    OperatorApi m_operatorApi;
    http::Server m_callerServer;
    http::Server m_controlServer;
    http::ListenerWatch m_listeners;
    Phase m_phase{Phase::Serving};
    core::TimePoint m_phaseStart;
    std::uint64_t m_idleTicks{0};
    std::unique_ptr<TelemetryDuty> m_telemetryDuty;
    std::unique_ptr<DecisionDuty> m_decisionDuty;
    std::unique_ptr<StoreDuty> m_storeDuty;
    std::unique_ptr<IdempotencyDuty> m_idempotencyDuty;
    std::unique_ptr<HeartbeatDuty> m_heartbeatDuty;
    std::unique_ptr<WatchDuty> m_watchDuty;
    std::unique_ptr<WaveDuty> m_waveDuty;
    std::vector<std::unique_ptr<PeerDuty>> m_peerDuties;
};

Node::Node(settings::Settings settings)
{
    // libsodium has to be initialized before any thread uses it.
    OLEANDERWICK_ASSERT(sodium_init() >= 0, "libsodium is initialized");
    m_state = std::make_unique<State>(std::move(settings));
}

Node::~Node() = default;

absl::Status Node::run()
{
    return m_state->run();
}

} // namespace oleanderwick::node
