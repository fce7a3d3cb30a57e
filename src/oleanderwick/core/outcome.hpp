#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "clock.hpp"
#include "fwd.hpp"

namespace oleanderwick::core
{

/** @brief What is known about the execution of a request that oleanderwick answers without an upstream's response. */
enum class Outcome : std::uint8_t {
    NotRun, /**< Certain: no upstream has run the request or will run it. */
    Unknown, /**< An upstream may have run the request; it is not run again. */
    Failed, /**< The request ran, but no complete response can be returned. */
};

/**
 * @brief Returns the text of an outcome in responses to callers.
 * @param outcome Outcome to convert.
 * @return Text such as `not-run`.
 */
[[nodiscard]] constexpr std::string_view toText(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Failed:
        return "failed";
    }
    return "unknown";
}

/** @brief Error response that oleanderwick sends instead of an upstream's response. */
struct Refusal {
    int status{}; /**< HTTP status. */
    Outcome outcome{Outcome::NotRun}; /**< What is known about the execution. */
    std::string reason; /**< Short reason code, such as `queue_full`. */
    Duration retryAfter{}; /**< Delay after which a retry may succeed; zero if none is suggested. */

    [[nodiscard]] bool operator==(const Refusal &) const = default;
};

} // namespace oleanderwick::core
