#pragma once

#include <functional>
#include <string>

#include "../http/http.hpp"
#include "../peer/peer.hpp"
#include "../settings/settings.hpp"
#include "config_keeper.hpp"
#include "duties.hpp"
#include "messages.hpp"

namespace oleanderwick::node
{

/** @brief API for operators and peers, and the endpoints for metrics and health. Used on the loop's thread only. */
class OperatorApi final : public peer::Service
{
public:
    /**
     * @brief Creates the API.
     * @param settings Settings of the node.
     * @param keeper Current configuration.
     * @param digest Digest of this node.
     * @param storeTasks Ring of the store duty.
     * @param decisions Ring of the decision duty.
     * @param metrics Metrics to export.
     * @param ready Returns whether the node is ready to serve callers.
     */
    OperatorApi(const settings::Settings &settings,
                ConfigKeeper &keeper,
                DigestSlot &digest,
                StoreRing &storeTasks,
                DecisionRing &decisions,
                telemetry::Metrics &metrics,
                std::function<bool()> ready);

    /**
     * @brief Handles a request to the control address.
     * @param request Complete request.
     * @param respond Sends the response; called once, on any thread.
     */
    void handle(const http::Request &request, const http::Responder &respond);

    [[nodiscard]] membership::Digest exchange(const membership::Digest &digest) override;
    [[nodiscard]] std::string configRecord() override;

private:
    using Route = void (OperatorApi::*)(const http::Request &, const http::Responder &, const std::string &);
    struct RouteEntry {
        const char *method;
        const char *path;
        bool prefix; /**< True if the route also matches longer paths. */
        bool open; /**< True if the route requires no operator's key. */
        Route route;
    };

    [[nodiscard]] static const RouteEntry *findRoute(const http::Request &request, const std::string &path);
    [[nodiscard]] std::string operatorOf(const http::Request &request) const;
    [[nodiscard]] bool isPeer(const http::Request &request) const;

    void showConfig(const http::Request &request, const http::Responder &respond, const std::string &author);
    void patchConfig(const http::Request &request, const http::Responder &respond, const std::string &author);
    void showHistory(const http::Request &request, const http::Responder &respond, const std::string &author);
    void showStatus(const http::Request &request, const http::Responder &respond, const std::string &author);
    void showWaves(const http::Request &request, const http::Responder &respond, const std::string &author);
    void startWave(const http::Request &request, const http::Responder &respond, const std::string &author);
    void changeWave(const http::Request &request, const http::Responder &respond, const std::string &author);
    void changeWaveList(WaveTask task, const http::Responder &respond);
    void showMetrics(const http::Request &request, const http::Responder &respond, const std::string &author);
    void showHealth(const http::Request &request, const http::Responder &respond, const std::string &author);
    void showReady(const http::Request &request, const http::Responder &respond, const std::string &author);
    void servePeer(const http::Request &request, const http::Responder &respond, const std::string &author);

    const settings::Settings &m_settings;
    ConfigKeeper &m_keeper;
    DigestSlot &m_digest;
    StoreRing &m_storeTasks;
    DecisionRing &m_decisions;
    telemetry::Metrics &m_metrics;
    std::function<bool()> m_ready;
    peer::Endpoint m_peerEndpoint;
};

} // namespace oleanderwick::node
