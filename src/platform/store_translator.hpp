#pragma once

#include <cstdint>
#include <string>

#include "oleanderwick/jobnode/log_sink.hpp"
#include "oleanderwick/jobnode/translator.hpp"
#include "routes.hpp"

namespace oleanderwick::platform
{

/** @brief Parses the store items of the platform's operators and runners, and formats the status of waves for operators. */
class StoreTranslator final : public jobnode::Translator
{
public:
    /**
     * @brief Constructs a translator without a configuration.
     * @param log Receives an event for each unreadable configuration; has to outlive the translator.
     */
    explicit StoreTranslator(jobnode::LogSink &log);

    [[nodiscard]] std::string operatorPrefix() const override;
    [[nodiscard]] std::string workerPrefix() const override;
    [[nodiscard]] std::string zoneClosurePrefix() const override;
    [[nodiscard]] jobnode::OperatorUpdate parseOperatorItem(const jobs::StoreItem &item) override;
    [[nodiscard]] absl::StatusOr<jobs::WorkerEntry> parseWorker(const jobs::StoreItem &item) const override;
    [[nodiscard]] std::pair<std::string, std::string> waveStatus(std::int64_t number, const jobs::WaveProgress &progress) const override;

    /** @return Routes of the configuration with the highest version so far; empty before the first one. */
    [[nodiscard]] const Routes &routes() const noexcept;

private:
    jobnode::LogSink &m_log;
    Routes m_routes;
    std::int64_t m_version{0};
};

} // namespace oleanderwick::platform
