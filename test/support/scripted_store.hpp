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
    void read(const std::string &, OnReply onAnswer) override
    {
        answer(onAnswer);
    }
    void list(const std::string &, const std::string &, OnReply onAnswer) override
    {
        answer(onAnswer);
    }
    void watch(const std::string &, std::int64_t, core::Duration, OnReply onAnswer) override
    {
        answer(onAnswer);
    }
    void commit(const jobs::StoreChange &, OnReply onAnswer) override
    {
        answer(onAnswer);
    }
    void grant(core::Duration, OnReply onAnswer) override
    {
        answer(onAnswer);
    }
    void renew(std::int64_t, OnReply onAnswer) override
    {
        answer(onAnswer);
    }

    std::deque<jobs::StoreReply> answers;
    int calls{0};

private:
    void answer(const OnReply &onAnswer)
    {
        ++calls;
        jobs::StoreReply next;
        next.outcome = jobs::StoreOutcome::Refused;
        if (!answers.empty()) {
            next = answers.front();
            answers.pop_front();
        }
        onAnswer(next);
    }
};

} // namespace oleanderwick::test
