#pragma once

#include <deque>
#include <string>

#include "oleanderwick/jobs/ports.hpp"

namespace oleanderwick::test
{

/** @brief Store that gives scripted answers; without any left it refuses. */
class ScriptedStore final : public jobs::CoordinationStore
{
public:
    void read(const std::string &, OnAnswer onAnswer) override
    {
        answer(onAnswer);
    }
    void list(const std::string &, const std::string &, OnAnswer onAnswer) override
    {
        answer(onAnswer);
    }
    void watch(const std::string &, std::int64_t, core::Duration, OnAnswer onAnswer) override
    {
        answer(onAnswer);
    }
    void commit(const jobs::StoreChange &, OnAnswer onAnswer) override
    {
        answer(onAnswer);
    }
    void grant(core::Duration, OnAnswer onAnswer) override
    {
        answer(onAnswer);
    }
    void renew(std::int64_t, OnAnswer onAnswer) override
    {
        answer(onAnswer);
    }

    std::deque<jobs::StoreAnswer> answers;
    int calls{0};

private:
    void answer(const OnAnswer &onAnswer)
    {
        ++calls;
        jobs::StoreAnswer next;
        next.outcome = jobs::StoreOutcome::Refused;
        if (!answers.empty()) {
            next = answers.front();
            answers.pop_front();
        }
        onAnswer(next);
    }
};

} // namespace oleanderwick::test
