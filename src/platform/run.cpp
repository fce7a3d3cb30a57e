#include "run.hpp"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <random>

#include <absl/strings/str_cat.h>

#include "ingress.hpp"
#include "notices.hpp"
#include "oleanderwick/http/limits.hpp"
#include "oleanderwick/http/listener_watch.hpp"
#include "oleanderwick/jobnode/failover_store.hpp"
#include "oleanderwick/jobs/table.hpp"
#include "relay.hpp"
#include "service_clients.hpp"
#include "store_client.hpp"
#include "worker_client.hpp"

namespace oleanderwick::platform
{

namespace internal
{

/** Time until the load balancer stops sending calls: it probes once a second and removes a node after two failed probes. */
constexpr core::Duration loadBalancerDelay = std::chrono::milliseconds{2600};
/** Shutdown finishes this long before the platform kills the process. */
constexpr core::Duration killMargin = std::chrono::milliseconds{900};
constexpr core::Duration refusalReportInterval = std::chrono::seconds{1};
constexpr core::Duration connectionLimitInterval = std::chrono::seconds{1};
constexpr core::Duration stopPollInterval = std::chrono::milliseconds{50};
/** Number of CPU cores that a node needs to compete for ownership without an extra delay; nodes with fewer wait longer. */
constexpr double sufficientCores = 0.5;
constexpr double electionDelayMsPerCore = 600.0;
constexpr std::size_t maxCallBytes = 1U << 20U;
/** Memory of an open task in the owner, with its record and a share of the indexes. */
constexpr std::size_t bytesPerOpenTask = 768;
static_assert(sizeof(jobs::Task) < bytesPerOpenTask);

std::string uniqueName(const std::string &node)
{
    std::random_device source;
    return absl::StrCat(node, "#", absl::Hex(source()), absl::Hex(source()));
}

jobnode::OwnerOptions ownerOptionsOf(const settings::JobSettings &settings, const core::ProcessLimits &process)
{
    jobnode::OwnerOptions options;
    options.scheduler.maxOpenTasks = static_cast<std::int64_t>(process.memoryBytes / 4 / bytesPerOpenTask);
    options.scheduler.maxLease = settings.longestLease;
    options.scheduler.teamShares = settings.teamShares;
    options.scheduler.teamRateWindow = settings.teamRateWindow;
    options.balancing.divideScarceInstances = settings.teamShares;
    options.scheduler.attributeFailures = settings.attributeFailures;
    options.scheduler.yieldLateWork = settings.yieldLateWork;
    options.scheduler.lateBoundFactor = settings.lateBoundFactor;
    options.scheduler.moveTime = settings.moveTime;
    options.scheduler.remoteFactor = settings.remoteFactor;
    options.notifyOwner = settings.notifyOwner;
    options.noticeAddress = settings.internal;
    options.refuseJobs = settings.refuseJobs;
    options.lateBoundFactor = settings.lateBoundFactor;
    options.nodes = 1 + static_cast<std::size_t>(std::count_if(settings.peers.begin(), settings.peers.end(), [&settings](const std::string &peer) {
                        return peer != settings.internal;
                    }));
    options.commandDelay = settings.orderPause;
    options.balancing.clearWithin = settings.clearWithin;
    options.balancing.arrivingWeight = settings.arrivingWeight;
    options.balancing.clearLateWithin = settings.clearLateWithin;
    options.balancing.needLasts = settings.needLasts;
    options.balancing.parkAfter = settings.parkAfter;
    options.balancing.reserve = std::llround(settings.reserveInstances);
    // The owner needs more CPU than the other nodes. Nodes don't know each other's share, so those with little CPU delay their candidacy.
    options.electionDelay =
        std::chrono::milliseconds{static_cast<std::int64_t>(std::max(0.0, sufficientCores - settings.processorShare) * electionDelayMsPerCore)};
    // Records are kept a minute longer than configured, because submitters' clocks differ and submitters may repeat submissions.
    options.endedJobRetention = settings.keepEnded + std::chrono::seconds{60};
    return options;
}

/** Shares of the listeners in the node's sockets and memory. */
constexpr double callerShare = 0.75;
constexpr double internalShare = 0.2;
constexpr double readinessShare = 0.05;
/** A submission is a JSON document, a job, its record and the call to the store until it is stored. */
constexpr std::size_t bytesPerSubmittedByte = 4;
constexpr std::size_t maxReadinessBodyBytes = 4U << 10U;

/** Returns the node's limits, of descriptors those for sockets. */
core::ProcessLimits socketLimits(const settings::JobSettings &settings)
{
    core::ProcessLimits limits = core::processLimits(settings.limits);
    limits.descriptors -= std::min(limits.descriptors / 2, settings.reservedDescriptors);
    return limits;
}

http::ServerLimits callerLimits(const core::ProcessLimits &process)
{
    http::ServerLimits limits;
    limits.maxBodyBytes = maxCallBytes;
    limits.handlerBytesPerBodyByte = bytesPerSubmittedByte;
    return http::divideLimits(process, callerShare, limits);
}

http::ServerLimits internalLimits(const core::ProcessLimits &process)
{
    http::ServerLimits limits;
    limits.maxBodyBytes = maxCallBytes;
    return http::divideLimits(process, internalShare, limits);
}

http::ServerLimits readinessLimits(const core::ProcessLimits &process)
{
    http::ServerLimits limits;
    limits.maxBodyBytes = maxReadinessBodyBytes;
    return http::divideLimits(process, readinessShare, limits);
}

/** @brief Components of a node on the platform, in order of construction. */
class PlatformNode
{
public:
    explicit PlatformNode(const settings::JobSettings &settings)
        : m_settings{settings}
        , m_limits{socketLimits(settings)}
        , m_name{uniqueName(settings.node)}
        , m_log{m_loop, std::make_unique<jobnode::StandardOutput>()}
        , m_connections{m_loop, http::responseBytes(m_limits)}
        , m_directStore{m_connections, settings.store}
        , m_store{m_loop, m_directStore, m_log}
        , m_relay{m_connections, settings.store}
        , m_workers{m_connections}
        , m_instances{m_connections, settings.instances, m_name}
        , m_advice{m_connections, settings.advice}
        , m_translator{m_log}
        , m_notices{m_connections}
        , m_node{m_loop, jobnode::Ports{m_store, m_workers, m_instances, m_advice, m_translator, &m_notices}, m_name, ownerOptionsOf(settings, m_limits), m_log}
        , m_ingress{m_loop, m_node, m_translator, m_log}
        , m_callerServer{m_loop,
                         callerLimits(m_limits),
                         [this](const http::Request &request, http::Responder respond) {
                             m_ingress.handle(request, std::move(respond));
                         }}
        , m_readinessServer{m_loop,
                            readinessLimits(m_limits),
                            [this](const http::Request &, const http::Responder &respond) {
                                respond(http::Response{m_node.isReady() ? 200 : 503, {}, {}});
                            }}
        , m_internalServer{m_loop, internalLimits(m_limits), [this](const http::Request &request, const http::Responder &respond) {
                               serveInternal(request, respond);
                           }}
    {
    }

    [[nodiscard]] absl::Status run()
    {
        const absl::StatusOr<std::uint16_t> callers = m_callerServer.listen(m_settings.callers);
        if (!callers.ok()) {
            return callers.status();
        }
        const absl::StatusOr<std::uint16_t> readiness = m_readinessServer.listen(m_settings.readiness);
        if (!readiness.ok()) {
            return readiness.status();
        }
        const absl::StatusOr<std::uint16_t> internalPort = m_internalServer.listen(m_settings.internal);
        if (!internalPort.ok()) {
            return internalPort.status();
        }
        setRelays();
        watchListeners();
        m_log.add("started",
                  telemetry::Event{"started"}
                      .with("node", m_name)
                      .with("zone", m_settings.zone)
                      .with("callers", m_settings.callers)
                      .with("memory_bytes", static_cast<std::int64_t>(m_limits.memoryBytes))
                      .with("sockets", static_cast<std::int64_t>(m_limits.descriptors)));
        m_loop.onStopSignal([this] {
            stop();
        });
        m_loop.run();
        m_log.add("stopped", telemetry::Event{"stopped"}.with("node", m_name));
        return absl::OkStatus();
    }

private:
    /** Uses the other nodes as relays, at the host of each peer's address and this node's internal port, which all nodes have in common. */
    void setRelays()
    {
        const std::string port = m_settings.internal.substr(m_settings.internal.rfind(':'));
        std::vector<jobnode::FailoverStore::Relay> relays;
        for (const std::string &peer : m_settings.peers) {
            const std::string address = peer.substr(0, peer.rfind(':')) + port;
            if (address != m_settings.internal) {
                relays.push_back(std::make_shared<StoreClient>(m_connections, address, relayPrefix));
            }
        }
        m_store.setRelays(std::move(relays));
    }

    void watchListeners()
    {
        m_listeners.add("callers", m_callerServer);
        m_listeners.add("readiness", m_readinessServer);
        m_listeners.add("internal", m_internalServer);
        m_loop.every(connectionLimitInterval, [this] {
            const std::size_t own = m_connections.connections();
            m_callerServer.limitConnections(http::connectionsBeside(m_limits, own, callerShare));
            m_readinessServer.limitConnections(http::connectionsBeside(m_limits, own, readinessShare));
            m_internalServer.limitConnections(http::connectionsBeside(m_limits, own, internalShare));
        });
        m_loop.every(refusalReportInterval, [this] {
            m_listeners.report([this](const std::string &listener, const char *reason, std::uint64_t count) {
                m_log.add(
                    "listener_refusals",
                    telemetry::Event{"listener_refusals"}.with("listener", listener).with("reason", reason).with("count", static_cast<std::int64_t>(count)));
            });
        });
    }

    void serveInternal(const http::Request &request, const http::Responder &respond)
    {
        if (request.target.starts_with(relayPrefix)) {
            m_relay.handle(request, respond);
        } else if (request.target == noticePath) {
            respond(handleNotices(request, m_node, m_log));
        } else {
            serveMetrics(request, respond);
        }
    }

    void serveMetrics(const http::Request &request, const http::Responder &respond)
    {
        if (request.target != "/metrics") {
            respond(http::Response{404, {}, {}});
            return;
        }
        jobnode::JobMetrics &metrics = m_log.metrics();
        metrics.setGauge("owner", m_node.isOwner() ? 1 : 0);
        metrics.setGauge("ready", m_node.isReady() ? 1 : 0);
        metrics.setGauge("config_version", m_node.configVersion());
        metrics.setGauge("log_lines_suppressed", static_cast<std::int64_t>(m_log.suppressedLines()));
        const jobs::OpenTaskFigures openTasks = m_node.openTasks();
        metrics.setGauge("open_tasks", openTasks.tasks);
        metrics.setGauge("deferred_jobs", openTasks.deferredJobs);
        metrics.setGauge("response_held_bytes", static_cast<std::int64_t>(m_connections.heldBytes()));
        m_listeners.exportGauges([&metrics](const std::string &name, std::int64_t value) {
            metrics.setGauge(name, value);
        });
        respond(http::Response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.toText()});
    }

    void stop()
    {
        if (m_stopping) {
            return;
        }
        m_stopping = true;
        m_stoppingSince = m_loop.now();
        m_log.add("stopping", telemetry::Event{"stopping"}.with("node", m_name).with("busy", static_cast<std::int64_t>(m_callerServer.busyConnections())));
        m_node.stop();
        m_callerServer.drain();
        pollStop();
    }

    void pollStop()
    {
        const core::Duration spent = m_loop.now() - m_stoppingSince;
        const bool balancerNoticed = spent >= loadBalancerDelay;
        if ((balancerNoticed && m_callerServer.busyConnections() == 0) || spent >= m_settings.stopTimeout - killMargin) {
            m_callerServer.close();
            m_readinessServer.close();
            m_internalServer.close();
            m_loop.stop();
            return;
        }
        m_loop.after(stopPollInterval, [this] {
            pollStop();
        });
    }

    settings::JobSettings m_settings;
    core::ProcessLimits m_limits;
    std::string m_name;
    http::Loop m_loop;
    jobnode::LogSink m_log;
    http::UpstreamConnections m_connections;
    StoreClient m_directStore;
    jobnode::FailoverStore m_store;
    StoreRelay m_relay;
    WorkerClient m_workers;
    InstanceClient m_instances;
    AdviceClient m_advice;
    StoreTranslator m_translator;
    NoticeClient m_notices;
    jobnode::JobNode m_node;
    Ingress m_ingress;
    http::Server m_callerServer;
    http::Server m_readinessServer;
    http::Server m_internalServer;
    http::ListenerWatch m_listeners;
    bool m_stopping{false};
    core::TimePoint m_stoppingSince;
};

} // namespace internal

absl::Status run(const settings::JobSettings &settings)
{
    // Without SIGPIPE, a write to a closed connection returns an error. SIGHUP needs no action: a changed configuration arrives from the store.
    (void)std::signal(SIGPIPE, SIG_IGN);
    (void)std::signal(SIGHUP, SIG_IGN);
    internal::PlatformNode node{settings};
    return node.run();
}

} // namespace oleanderwick::platform
