#include <catch2/catch.hpp>

#include "emulator/timeline.hpp"
#include "oleanderwick/jobnode/failover_store.hpp"
#include "support/scripted_store.hpp"

using namespace oleanderwick;

namespace
{

/** @brief Log output that discards all batches. */
class DiscardingOutput final : public jobnode::LogOutput
{
public:
    bool tryWrite(std::string) override
    {
        return true;
    }
};

/** @brief Store that never replies. */
class SilentStore final : public jobs::CoordinationStore
{
public:
    void read(const std::string &, OnReply) override
    {
    }
    void list(const std::string &, const std::string &, OnReply) override
    {
    }
    void watch(const std::string &, std::int64_t, core::Duration, OnReply) override
    {
    }
    void commit(const jobs::StoreChange &, OnReply) override
    {
    }
    void grant(core::Duration, OnReply) override
    {
    }
    void renew(std::int64_t, OnReply) override
    {
    }
};

jobs::StoreReply makeReply(jobs::StoreOutcome outcome)
{
    jobs::StoreReply reply;
    reply.outcome = outcome;
    return reply;
}

/** @brief Failover store with one scripted relay, in virtual time. */
struct FailoverFixture {
    explicit FailoverFixture(jobs::CoordinationStore &direct)
        : store{executor, direct, log}
    {
        store.setRelays({relay});
    }

    jobs::StoreOutcome commit(const jobs::StoreChange &change)
    {
        jobs::StoreOutcome outcome = jobs::StoreOutcome::Unknown;
        store.commit(change, [&outcome](const jobs::StoreReply &reply) {
            outcome = reply.outcome;
        });
        timeline.runUntil(timeline.now() + std::chrono::milliseconds{400});
        return outcome;
    }

    emulator::Timeline timeline;
    emulator::ProcessExecutor executor{timeline, 0};
    jobnode::LogSink log{executor, std::make_unique<DiscardingOutput>()};
    std::shared_ptr<test::ScriptedStore> relay{std::make_shared<test::ScriptedStore>()};
    jobnode::FailoverStore store;
};

const jobs::StoreChange creation{{{"a", 0}}, {{"a", "1", 0}}, {}};
const jobs::StoreChange replacement{{{"a", 7}}, {{"a", "1", 0}}, {}};

} // namespace

TEST_CASE("a call that the store refuses is sent through a relay", "[failover]")
{
    test::ScriptedStore direct;
    FailoverFixture fixture{direct};
    fixture.relay->replies.push_back(makeReply(jobs::StoreOutcome::Done));
    CHECK(fixture.commit(replacement) == jobs::StoreOutcome::Done);
    CHECK(fixture.store.isDirectPathLost());
}

TEST_CASE("a change that is not idempotent and got no reply is not sent again through a relay", "[failover]")
{
    test::ScriptedStore direct;
    FailoverFixture fixture{direct};
    direct.replies.push_back(makeReply(jobs::StoreOutcome::Unknown));
    fixture.relay->replies.push_back(makeReply(jobs::StoreOutcome::Done));
    CHECK(fixture.commit(replacement) == jobs::StoreOutcome::Unknown);
    CHECK(fixture.relay->calls == 0);
}

TEST_CASE("a change that only creates keys is sent through a relay when the store does not reply", "[failover]")
{
    SilentStore direct;
    FailoverFixture fixture{direct};
    fixture.relay->replies.push_back(makeReply(jobs::StoreOutcome::Done));
    CHECK(fixture.commit(creation) == jobs::StoreOutcome::Done);
}

TEST_CASE("a change is not reported as refused if one of its attempts got no reply", "[failover]")
{
    test::ScriptedStore direct;
    FailoverFixture fixture{direct};
    direct.replies.push_back(makeReply(jobs::StoreOutcome::Unknown));
    CHECK(fixture.commit(creation) == jobs::StoreOutcome::Unknown);
    CHECK(fixture.relay->calls == 1);
}

TEST_CASE("calls use the direct path again once the store replies", "[failover]")
{
    test::ScriptedStore direct;
    FailoverFixture fixture{direct};
    CHECK(fixture.commit(replacement) == jobs::StoreOutcome::Refused);
    direct.replies.push_back(makeReply(jobs::StoreOutcome::NotFound));
    fixture.timeline.runUntil(fixture.timeline.now() + std::chrono::seconds{1});
    CHECK_FALSE(fixture.store.isDirectPathLost());
}
