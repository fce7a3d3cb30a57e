#pragma once

/** @file
 * @brief Settings of one process, read from YAML and checked whole.
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

/** @brief Person who may read and patch the configuration. */
struct Operator {
    std::string name;
    std::string keyHash; /**< Hex digest of the secret. */

    [[nodiscard]] bool operator==(const Operator &) const = default;
};

/** @brief Kind of store that a node uses. */
enum class StoreKind : std::uint8_t {
    Memory, /**< Inside the process: one node, nothing kept. */
    Platform, /**< The platform's key-value service. */
};

/** @brief How to reach the store. */
struct StoreSettings {
    StoreKind kind{StoreKind::Memory};
    std::vector<std::string> endpoints; /**< IP numbers and ports. */
    std::string prefix{"/oleanderwick"}; /**< Start of every key. */

    [[nodiscard]] bool operator==(const StoreSettings &) const = default;
};

/** @brief Settings of one node. */
struct Settings {
    std::string node; /**< Name of the node. */
    std::string zone; /**< Availability zone of the node. */
    std::string callers{"127.0.0.1:8080"}; /**< Where callers are served. */
    std::string control{"127.0.0.1:8081"}; /**< Where operators and peers are served. */
    StoreSettings store;
    std::string platform; /**< IP number and port of the platform's list of instances; empty for none. */
    std::vector<std::string> peers; /**< Control addresses of the other nodes. */
    std::string clusterSecret; /**< Shown by peers to each other. */
    std::vector<Operator> operators;
    std::uint32_t maxBodyBytes{1U << 20U}; /**< Longest request body. */
    std::uint32_t maxAnswerBytes{8U << 20U}; /**< Longest answer that is passed on. */
    std::uint32_t maxRequests{10'000}; /**< Most requests held at once. */
    std::uint32_t balancerDelayMs{500}; /**< Time for which a stopping node still takes work, for the balancer to notice. */
    std::uint32_t digestMs{250}; /**< Time between exchanges with a peer. */

    [[nodiscard]] bool operator==(const Settings &) const = default;
};

/**
 * @brief Reads settings from YAML text.
 * @param text YAML.
 * @return The settings, or `InvalidArgument` with one `line N: ...` for each error.
 */
[[nodiscard]] absl::StatusOr<Settings> parse(const std::string &text);

/**
 * @brief Reads settings from a file.
 * @param path Path of the file.
 * @return The settings; `NotFound` if it cannot be read; else as `parse`.
 */
[[nodiscard]] absl::StatusOr<Settings> load(const std::string &path);

} // namespace oleanderwick::settings
