#pragma once

/** @file
 * @brief Settings of one node, read from YAML and validated as a whole.
 */

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::settings
{

/** @brief Operator who may read and patch the configuration and control waves. */
struct Operator {
    std::string name;
    std::string keyHash; /**< SHA-256 hash of the operator's whole key, as 64 lower-case hex digits. */

    [[nodiscard]] bool operator==(const Operator &) const = default;
};

/** @brief Kind of store that a node uses. */
enum class StoreKind : std::uint8_t {
    Memory, /**< In the memory of the process: for a single node, lost at its exit. */
    Platform, /**< The platform's key-value service. */
};

/** @brief Kind and location of the store. */
struct StoreSettings {
    StoreKind kind{StoreKind::Memory};
    std::vector<std::string> endpoints; /**< IP addresses and ports. */
    std::string prefix{"/oleanderwick"}; /**< Prefix of every key. */

    [[nodiscard]] bool operator==(const StoreSettings &) const = default;
};

/** @brief Settings of one node. */
struct Settings {
    std::string node; /**< Name of the node. */
    std::string zone; /**< Availability zone of the node. */
    std::string callers{"127.0.0.1:8080"}; /**< IP address and port for callers. */
    std::string control{"127.0.0.1:8081"}; /**< IP address and port for operators and peers. */
    StoreSettings store;
    std::string platform; /**< IP address and port of the platform's list of instances; empty for none. */
    std::vector<std::string> peers; /**< Control addresses of the other nodes. */
    std::string clusterSecret; /**< Shared secret with which peers authenticate to each other. */
    std::vector<Operator> operators;
    std::uint32_t maxBodyBytes{1U << 20U}; /**< Maximum size of a request body. */
    std::uint32_t maxAnswerBytes{8U << 20U}; /**< Maximum size of an upstream's response body. */
    std::uint32_t maxRequests{10'000}; /**< Maximum number of unanswered requests at once. */
    std::uint32_t memoryMb{0}; /**< Memory that the node may use, in MiB; 0 for the default, see `core::processLimits`. */
    std::uint32_t maxDescriptors{0}; /**< File descriptors that the node may use; 0 for all that the system allows. */
    std::uint32_t balancerDelayMs{500}; /**< Time for which a stopping node still accepts requests while the balancer notices. */
    std::uint32_t digestMs{250}; /**< Pause between digest exchanges with a peer, in milliseconds; doubled while this node has no demand. */

    [[nodiscard]] bool operator==(const Settings &) const = default;
};

/**
 * @brief Parses and validates settings.
 * @param text YAML text.
 * @return The settings, or `InvalidArgument` with one `line N: ...` per error.
 */
[[nodiscard]] absl::StatusOr<Settings> parse(const std::string &text);

/**
 * @brief Reads settings from a file.
 * @param path Path of the file.
 * @return The settings; `NotFound` if the file cannot be read; other errors as from `parse`.
 */
[[nodiscard]] absl::StatusOr<Settings> load(const std::string &path);

} // namespace oleanderwick::settings
