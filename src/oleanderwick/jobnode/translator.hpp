#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include <absl/status/statusor.h>

#include "../jobs/jobs.hpp"
#include "../jobs/ports.hpp"
#include "fwd.hpp"

namespace oleanderwick::jobnode
{

/** @brief Content of an item that operators wrote. */
struct OperatorUpdate {
    std::int64_t configVersion{0}; /**< Version of the configuration; 0 if the item contains none. */
    std::optional<jobs::FleetConfig> config;
    std::optional<jobs::MaintenanceWave> wave;
};

/** @brief Parses the records that other programs keep in the coordination store, and formats the records that they read there. */
class Translator
{
public:
    virtual ~Translator() = default;

    /** @return Prefix of the keys that operators write. */
    [[nodiscard]] virtual std::string operatorPrefix() const = 0;

    /** @return Prefix of the keys of workers; the rest of a key is the worker's name. */
    [[nodiscard]] virtual std::string workerPrefix() const = 0;

    /** @return Prefix of the keys with which operators close zones; it starts with `operatorPrefix()`, and the rest of a key is the name of the zone. */
    [[nodiscard]] virtual std::string zoneClosurePrefix() const = 0;

    /**
     * @brief Parses an item that operators wrote.
     * @param item Item of the store.
     * @return Its configuration or wave; neither if the item cannot be parsed.
     */
    [[nodiscard]] virtual OperatorUpdate parseOperatorItem(const jobs::StoreItem &item) = 0;

    /**
     * @brief Parses the entry of a worker.
     * @param item Item of the store.
     * @return The entry; `InvalidArgument` with a printable reason if it does not describe a usable worker.
     */
    [[nodiscard]] virtual absl::StatusOr<jobs::WorkerEntry> parseWorker(const jobs::StoreItem &item) const = 0;

    /**
     * @brief Formats the status of a wave for operators.
     * @param number Number of the wave.
     * @param progress Progress of the wave.
     * @return Key and value to write.
     */
    [[nodiscard]] virtual std::pair<std::string, std::string> waveStatus(std::int64_t number, const jobs::WaveProgress &progress) const = 0;
};

/** @brief Interfaces of a node to the systems around it. */
struct Ports {
    jobs::CoordinationStore &store;
    jobs::WorkerPort &workers;
    jobs::InstancePort &instances;
    jobs::AdvicePort &advice;
    Translator &translator;
    OwnerNoticePort *notices{nullptr}; /**< Null if the node sends no notices. */
};

} // namespace oleanderwick::jobnode
