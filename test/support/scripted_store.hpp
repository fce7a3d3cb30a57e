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
    void read(const std::string &, OnReply onReply) override
    {
        reply(onReply);
    }
    void list(const std::string &, const std::string &, OnReply onReply) override
    {
        reply(onReply);
    }
    void watch(const std::string &, std::int64_t, core::Duration, OnReply onReply) override
    {
        reply(onReply);
    }
    void commit(const jobs::StoreChange &, OnReply onReply) override
    {
        reply(onReply);
    }
    void grant(core::Duration, OnReply onReply) override
    {
        reply(onReply);
    }
    void renew(std::int64_t, OnReply onReply) override
    {
        reply(onReply);
    }

    std::deque<jobs::StoreReply> replies;
    int calls{0};

private:
    void reply(const OnReply &onReply)
    {
        ++calls;
        jobs::StoreReply next;
        next.outcome = jobs::StoreOutcome::Refused;
        if (!replies.empty()) {
            next = replies.front();
            replies.pop_front();
        }
        onReply(next);
    }
};

} // namespace oleanderwick::test
