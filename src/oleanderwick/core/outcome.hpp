#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "clock.hpp"
#include "fwd.hpp"

namespace oleanderwick::core
{

/** @brief What is known of a request's run when oleanderwick itself answers it. */
enum class Outcome : std::uint8_t {
    NotRun, /**< Proved: no upstream has run it or will run it. */
    Unknown, /**< It may have run; it is not run again. */
    Failed, /**< It ran and no whole answer can be given. */
};

/**
 * @brief Gives the text of an outcome as callers read it.
 * @param outcome Outcome to name.
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

/** @brief Answer that oleanderwick gives in place of an upstream's. */
struct Refusal {
    int status{}; /**< HTTP status. */
    Outcome outcome{Outcome::NotRun}; /**< What is known of the run. */
    std::string reason; /**< Short machine-readable reason. */
    Duration retryAfter{}; /**< When trying again makes sense; zero when it does not. */

    [[nodiscard]] bool operator==(const Refusal &) const = default;
};

} // namespace oleanderwick::core
