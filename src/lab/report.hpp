#pragma once

#include <cstdint>
#include <string>

#include "emulator/world.hpp"

namespace oleanderwick::lab
{

/**
 * @brief Sums a day up in one line.
 * @param seed Seed of the day.
 * @param report What the day was like.
 * @return The line, without its end.
 */
[[nodiscard]] std::string toLine(std::uint64_t seed, const emulator::SimulationReport &report);

/**
 * @brief Draws the unfinished jobs of a day over time, with its troubles.
 * @param deployment Fleet and troubles.
 * @param report What the day was like.
 * @return Text of an SVG picture.
 */
[[nodiscard]] std::string toSvg(const emulator::Deployment &deployment, const emulator::SimulationReport &report);

} // namespace oleanderwick::lab
