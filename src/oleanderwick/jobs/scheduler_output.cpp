#include "scheduler_output.hpp"

#include <utility>

namespace oleanderwick::jobs
{

namespace internal
{

/** Decisions kept between two calls of `takeDecisions`; further ones are dropped. */
constexpr std::size_t maxDecisions = 4096;

} // namespace internal

Commands &SchedulerOutput::commands() noexcept
{
    return m_commands;
}

Commands SchedulerOutput::takeCommands()
{
    Commands commands;
    std::swap(commands, m_commands);
    return commands;
}

void SchedulerOutput::logDecision(std::string event, std::string job, std::string worker, std::string detail)
{
    if (m_decisions.size() < internal::maxDecisions) {
        m_decisions.push_back(Decision{std::move(event), std::move(job), std::move(worker), std::move(detail)});
    }
}

std::vector<Decision> SchedulerOutput::takeDecisions()
{
    std::vector<Decision> decisions;
    std::swap(decisions, m_decisions);
    return decisions;
}

} // namespace oleanderwick::jobs
