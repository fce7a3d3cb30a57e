#pragma once

#include <deque>
#include <string>

#include "oleanderwick/jobs/ports.hpp"

namespace oleanderwick::test
{

/** @brief Store that returns scripted replies in order, and refuses each call once none is left. */
class ScriptedStore final : public jobs::CoordinationStore
{
public:
    void read(const std::string &, OnAnswer onReply) override
    {
        reply(onReply);
    }
    void list(const std::string &, const std::string &, OnAnswer onReply) override
    {
        reply(onReply);
    }
    void watch(const std::string &, std::int64_t, core::Duration, OnAnswer onReply) override
    {
        reply(onReply);
    }
    void commit(const jobs::StoreChange &, OnAnswer onReply) override
    {
        reply(onReply);
    }
    void grant(core::Duration, OnAnswer onReply) override
    {
        reply(onReply);
    }
    void renew(std::int64_t, OnAnswer onReply) override
    {
        reply(onReply);
    }

    std::deque<jobs::StoreAnswer> replies;
    int calls{0};

private:
    void reply(const OnAnswer &onReply)
    {
        ++calls;
        jobs::StoreAnswer next;
        next.outcome = jobs::StoreOutcome::Refused;
        if (!replies.empty()) {
            next = replies.front();
            replies.pop_front();
        }
        onReply(next);
    }
};

} // namespace oleanderwick::test
