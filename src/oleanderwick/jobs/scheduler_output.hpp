#pragma once

#include <string>
#include <vector>

#include "commands.hpp"

namespace oleanderwick::jobs
{

/** @brief Collects what the scheduler's decisions issue: commands to be sent and decisions to be logged. */
class SchedulerOutput
{
public:
    /** @return Commands and requests issued since `takeCommands`; decisions append to them. */
    [[nodiscard]] Commands &commands() noexcept;

    /** @return Commands and requests that were issued since the last call. */
    [[nodiscard]] Commands takeCommands();

    /**
     * @brief Adds a decision to be logged; beyond a fixed number between two calls of `takeDecisions` it is dropped.
     * @param event Name of the log event.
     * @param job Job or task concerned; may be empty.
     * @param worker Worker concerned; may be empty.
     * @param detail Inputs of the decision as key=value pairs.
     */
    void logDecision(std::string event, std::string job, std::string worker, std::string detail);

    /** @return Decisions logged since the last call. */
    [[nodiscard]] std::vector<Decision> takeDecisions();

private:
    Commands m_commands;
    std::vector<Decision> m_decisions;
};

} // namespace oleanderwick::jobs
