#pragma once

#include <cstdint>

#include "fwd.hpp"

namespace oleanderwick::routing
{

/** @brief Bound on retries as a part of first attempts, so that failing upstreams do not get a storm. */
class RetryBudget
{
public:
    /** @return Whole retries that may be made now. */
    [[nodiscard]] std::uint32_t available() const noexcept;

    /** @brief Counts a first attempt, which earns a tenth of a retry. */
    void deposit() noexcept;

    /**
     * @brief Draws one retry.
     * @return False if none is left.
     */
    [[nodiscard]] bool withdraw() noexcept;

private:
    static constexpr std::uint32_t retryCost = 10;
    static constexpr std::uint32_t mostSaved = 100 * retryCost;
    static constexpr std::uint32_t startBalance = 3 * retryCost;

    std::uint32_t m_balance{startBalance};
};

} // namespace oleanderwick::routing
