#pragma once

#include <cstdint>

#include "fwd.hpp"

namespace oleanderwick::routing
{

/** @brief Limit on retries relative to first attempts, which prevents a retry storm on failing upstreams. */
class RetryBudget
{
public:
    /** @return Number of retries that can be made now. */
    [[nodiscard]] std::uint32_t available() const noexcept;

    /** @brief Counts a first attempt, which adds a tenth of a retry up to the maximum balance. */
    void deposit() noexcept;

    /**
     * @brief Withdraws one retry.
     * @return False if the balance does not cover a retry; it is then left unchanged.
     */
    [[nodiscard]] bool withdraw() noexcept;

private:
    static constexpr std::uint32_t retryCost = 10; /**< Balance that a retry costs; each first attempt adds one. */
    static constexpr std::uint32_t maxBalance = 100 * retryCost;
    static constexpr std::uint32_t startBalance = 3 * retryCost;

    std::uint32_t m_balance{startBalance};
};

} // namespace oleanderwick::routing
