#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace oleanderwick::fairness
{

/** @brief What one party needs of an amount to be divided. */
struct Claim {
    double need{0.0}; /**< Most that the party can use; negative counts as 0. */
    double weight{1.0}; /**< Relative share; a party of weight 0 gets what the others leave. */

    [[nodiscard]] bool operator==(const Claim &) const = default;
};

/**
 * @brief Divides an amount by weighted max-min: each party gets its weighted share, up to its need; what it leaves goes to the others.
 * @param total Amount to divide, in the unit of the needs.
 * @param claims Claims by name of the party.
 * @return Portion of each party. The sum is the total, or the sum of the needs if that is less.
 */
[[nodiscard]] std::map<std::string, double> fillByWeight(double total, const std::map<std::string, Claim> &claims);

/**
 * @brief Divides a number of equal items like `fillByWeight` with equal weights.
 * @param total Number of items.
 * @param needs Number of items that each party needs.
 * @return Number of items for each party; those left by rounding go to the largest remainders, then in the order of names.
 */
[[nodiscard]] std::map<std::string, std::int64_t> divideItems(std::int64_t total, const std::map<std::string, std::int64_t> &needs);

} // namespace oleanderwick::fairness
