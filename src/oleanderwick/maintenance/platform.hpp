#pragma once

#include <map>
#include <string>

#include <absl/status/statusor.h>

#include "planner.hpp"

namespace oleanderwick::maintenance
{

/** @brief Entry of the platform's list of instances. */
struct PlatformInstance {
    Health health{Health::Unknown};
    std::string bootMark; /**< Mark of its latest reboot; empty if not reported. */

    [[nodiscard]] bool operator==(const PlatformInstance &) const = default;
};

/** @brief The platform's list of instances, by name. */
using PlatformList = std::map<core::InstanceId, PlatformInstance>;

/** @brief Interface to the platform's instances; calls block. */
class Platform
{
public:
    virtual ~Platform() = default;

    /** @return The list of instances, which may be out of date, or an error. */
    [[nodiscard]] virtual absl::StatusOr<PlatformList> list() = 0;

    /**
     * @brief Requests a reboot; the platform executes a request with the same mark only once.
     * @param instance Instance to reboot.
     * @param mark Mark that identifies the request.
     * @return Ok, or an error after which the request may or may not have been accepted.
     */
    [[nodiscard]] virtual absl::Status reboot(const core::InstanceId &instance, const std::string &mark) = 0;
};

/**
 * @brief Parses the platform's list of instances.
 * @param text JSON object with one object for each instance; a missing or unknown health is read as `Health::Unknown`.
 * @return The list, or `InvalidArgument` if the text or an instance is not a JSON object.
 */
[[nodiscard]] absl::StatusOr<PlatformList> parsePlatformList(const std::string &text);

} // namespace oleanderwick::maintenance
