#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "../jobs/jobs.hpp"
#include "../jobs/ports.hpp"

namespace oleanderwick::jobnode
{

/** @brief What an item that operators wrote says. */
struct OperatorNews {
    std::int64_t configVersion{0}; /**< Number of the configuration; 0 if the item is none. */
    std::optional<jobs::FleetConfig> config;
    std::optional<jobs::MaintenanceWave> wave;
};

/** @brief Reads what others keep in the coordination store, and writes what they read there. */
class Translator
{
public:
    virtual ~Translator() = default;

    /** @return Prefix of what operators write. */
    [[nodiscard]] virtual std::string operatorPrefix() const = 0;

    /** @return Prefix of the workers' entries. */
    [[nodiscard]] virtual std::string workerPrefix() const = 0;

    /**
     * @brief Reads an item of the operators.
     * @param item The item.
     * @return What it says; nothing of it if it cannot be read.
     */
    [[nodiscard]] virtual OperatorNews readOperatorItem(const jobs::StoreItem &item) = 0;

    /**
     * @brief Reads a worker's entry.
     * @param item The item.
     * @return The entry, or nothing if it names no worker to use.
     */
    [[nodiscard]] virtual std::optional<jobs::WorkerEntry> readWorker(const jobs::StoreItem &item) const = 0;

    /**
     * @brief Writes what operators read about a wave.
     * @param number Number of the wave.
     * @param progress State of the wave.
     * @return Key and value.
     */
    [[nodiscard]] virtual std::pair<std::string, std::string> waveStatus(std::int64_t number, const jobs::WaveProgress &progress) const = 0;
};

/** @brief Everything outside of a node that it talks to. */
struct Ports {
    jobs::CoordinationStore &store;
    jobs::WorkerPort &workers;
    jobs::InstancePort &instances;
    jobs::AdvicePort &advice;
    Translator &translator;
};

} // namespace oleanderwick::jobnode
