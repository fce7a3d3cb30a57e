#include "water_filling.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace oleanderwick::fairness
{

namespace internal
{

/** Weight that stands for 0, so that such parties come after all others and share equally. */
constexpr double smallestWeight = 1e-9;

struct Party {
    std::string name;
    double need;
    double weight;
};

} // namespace internal

std::map<std::string, double> fillByWeight(double total, const std::map<std::string, Claim> &claims)
{
    std::vector<internal::Party> parties;
    double weights = 0.0;
    for (const std::pair<const std::string, Claim> &claim : claims) {
        const double weight = std::max(claim.second.weight, internal::smallestWeight);
        parties.push_back(internal::Party{claim.first, std::max(claim.second.need, 0.0), weight});
        weights += weight;
    }
    // Those whose need is met first come first; the level for the others only rises by what they leave.
    std::stable_sort(parties.begin(), parties.end(), [](const internal::Party &left, const internal::Party &right) {
        return left.need / left.weight < right.need / right.weight;
    });
    std::map<std::string, double> portions;
    double left = std::max(total, 0.0);
    for (const internal::Party &party : parties) {
        const double share = party.weight >= weights ? left : left * party.weight / weights;
        const double portion = std::min(party.need, share);
        portions[party.name] = portion;
        left -= portion;
        weights -= party.weight;
    }
    return portions;
}

std::map<std::string, std::int64_t> divideItems(std::int64_t total, const std::map<std::string, std::int64_t> &needs)
{
    std::map<std::string, Claim> claims;
    for (const std::pair<const std::string, std::int64_t> &need : needs) {
        claims[need.first] = Claim{static_cast<double>(need.second), 1.0};
    }
    // Tolerance for sums of fractions that should be whole numbers.
    constexpr double tolerance = 1e-6;
    std::map<std::string, std::int64_t> items;
    std::vector<std::pair<double, std::string>> remainders;
    double sum = 0.0;
    std::int64_t given = 0;
    for (const std::pair<const std::string, double> &portion : fillByWeight(static_cast<double>(total), claims)) {
        const double whole = std::floor(portion.second + tolerance);
        items[portion.first] = static_cast<std::int64_t>(whole);
        remainders.emplace_back(whole - portion.second, portion.first);
        sum += portion.second;
        given += static_cast<std::int64_t>(whole);
    }
    std::sort(remainders.begin(), remainders.end());
    const std::int64_t target = static_cast<std::int64_t>(std::floor(sum + tolerance));
    for (auto item = remainders.begin(); item != remainders.end() && given < target; ++item, ++given) {
        ++items[item->second];
    }
    return items;
}

} // namespace oleanderwick::fairness
