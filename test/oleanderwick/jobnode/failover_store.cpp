#include <catch2/catch.hpp>

#include "emulator/timeline.hpp"
#include "oleanderwick/jobnode/failover_store.hpp"
#include "support/scripted_store.hpp"

using namespace oleanderwick;

namespace
{

/** @brief Log output that drops everything. */
class NoOutput final : public jobnode::LogOutput
{
public:
    bool tryWrite(std::string) override
    {
        return true;
    }
};

/** @brief Store that never answers. */
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

jobs::StoreReply makeAnswer(jobs::StoreOutcome outcome)
{
    jobs::StoreReply answer;
    answer.outcome = outcome;
    return answer;
}

/** @brief Node with a scripted store of its own and one relay, in virtual time. */
struct FailoverFixture {
    explicit FailoverFixture(jobs::CoordinationStore &direct)
        : store{executor, direct, log}
    {
        store.setRelays({relay});
    }

    jobs::StoreOutcome commit(const jobs::StoreChange &change)
    {
        jobs::StoreOutcome outcome = jobs::StoreOutcome::Unknown;
        store.commit(change, [&outcome](const jobs::StoreReply &answer) {
            outcome = answer.outcome;
        });
        timeline.runUntil(timeline.now() + std::chrono::milliseconds{400});
        return outcome;
    }

    emulator::Timeline timeline;
    emulator::ProcessExecutor executor{timeline, 0};
    jobnode::LogSink log{executor, std::make_unique<NoOutput>()};
    std::shared_ptr<test::ScriptedStore> relay{std::make_shared<test::ScriptedStore>()};
    jobnode::FailoverStore store;
};

const jobs::StoreChange creation{{{"a", 0}}, {{"a", "1", 0}}, {}};
const jobs::StoreChange replacement{{{"a", 7}}, {{"a", "1", 0}}, {}};

} // namespace

TEST_CASE("a call that the store refuses is made through another node", "[failover]")
{
    test::ScriptedStore direct;
    FailoverFixture fixture{direct};
    fixture.relay->answers.push_back(makeAnswer(jobs::StoreOutcome::Done));
    CHECK(fixture.commit(replacement) == jobs::StoreOutcome::Done);
    CHECK(fixture.store.isSuspect());
}

TEST_CASE("a change without an answer is not made again through another node", "[failover]")
{
    test::ScriptedStore direct;
    FailoverFixture fixture{direct};
    direct.answers.push_back(makeAnswer(jobs::StoreOutcome::Unknown));
    fixture.relay->answers.push_back(makeAnswer(jobs::StoreOutcome::Done));
    CHECK(fixture.commit(replacement) == jobs::StoreOutcome::Unknown);
    CHECK(fixture.relay->calls == 0);
}

TEST_CASE("a change that only creates is made through another node while the store is silent", "[failover]")
{
    SilentStore direct;
    FailoverFixture fixture{direct};
    fixture.relay->answers.push_back(makeAnswer(jobs::StoreOutcome::Done));
    CHECK(fixture.commit(creation) == jobs::StoreOutcome::Done);
}

TEST_CASE("a change of which one attempt has no answer is not told to be refused", "[failover]")
{
    test::ScriptedStore direct;
    FailoverFixture fixture{direct};
    direct.answers.push_back(makeAnswer(jobs::StoreOutcome::Unknown));
    CHECK(fixture.commit(creation) == jobs::StoreOutcome::Unknown);
    CHECK(fixture.relay->calls == 1);
}

TEST_CASE("calls go to the store itself again once it answers", "[failover]")
{
    test::ScriptedStore direct;
    FailoverFixture fixture{direct};
    CHECK(fixture.commit(replacement) == jobs::StoreOutcome::Refused);
    direct.answers.push_back(makeAnswer(jobs::StoreOutcome::NotFound));
    fixture.timeline.runUntil(fixture.timeline.now() + std::chrono::seconds{1});
    CHECK_FALSE(fixture.store.isSuspect());
}
