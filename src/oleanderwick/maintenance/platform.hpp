#pragma once

#include <map>
#include <string>

#include <absl/status/statusor.h>

#include "planner.hpp"

namespace oleanderwick::maintenance
{

/** @brief What the platform's list says of one instance. */
struct PlatformInstance {
    Health health{Health::Unknown};
    std::string bootMark;

    [[nodiscard]] bool operator==(const PlatformInstance &) const = default;
};

/** @brief The platform's list. */
using PlatformList = std::map<core::InstanceId, PlatformInstance>;

/** @brief Port to the platform's instances; calls block. */
class Platform
{
public:
    virtual ~Platform() = default;

    /** @return The list, which may lag, or an error. */
    [[nodiscard]] virtual absl::StatusOr<PlatformList> list() = 0;

    /**
     * @brief Asks for a reboot; the platform does each mark once.
     * @param instance Instance to reboot.
     * @param mark The caller's mark.
     * @return Ok, or an error after which it is not known whether it was taken.
     */
    [[nodiscard]] virtual absl::Status reboot(const core::InstanceId &instance, const std::string &mark) = 0;
};

/**
 * @brief Reads the platform's list.
 * @param text JSON object of instances.
 * @return The list, or `InvalidArgument`.
 */
[[nodiscard]] absl::StatusOr<PlatformList> listFromText(const std::string &text);

} // namespace oleanderwick::maintenance
