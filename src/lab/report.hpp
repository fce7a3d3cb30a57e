#pragma once

#include <cstdint>
#include <string>

#include "emulator/world.hpp"

namespace oleanderwick::lab
{

/**
 * @brief Formats the results of a simulation as one line.
 * @param seed Seed of the simulation.
 * @param report Results of the simulation.
 * @return `key=value` fields without a line break.
 */
[[nodiscard]] std::string toLine(std::uint64_t seed, const emulator::SimulationReport &report);

/**
 * @brief Plots the unfinished jobs over time, with the faults.
 * @param deployment Deployment with the faults.
 * @param report Results of the simulation.
 * @return SVG document.
 */
[[nodiscard]] std::string toSvg(const emulator::Deployment &deployment, const emulator::SimulationReport &report);

} // namespace oleanderwick::lab
