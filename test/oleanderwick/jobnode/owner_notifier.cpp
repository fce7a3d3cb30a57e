#include <catch2/catch.hpp>

#include "emulator/timeline.hpp"
#include "oleanderwick/jobnode/owner_notifier.hpp"
#include "support/model_store.hpp"

using namespace oleanderwick;
using jobnode::NoticeOutcome;
using jobnode::OwnerNotice;
using jobnode::OwnerRecord;

namespace
{

const OwnerRecord firstOwner{"node-a", 1, "10.0.0.1:7000"};
const OwnerRecord secondOwner{"node-b", 2, "10.0.0.2:7000"};

/** @brief Notifier in virtual time whose messages and look-ups are recorded, and answered as the test says. */
class NotifierFixture final : public jobnode::OwnerNoticePort
{
public:
    void send(const std::string &address, const std::vector<OwnerNotice> &notices, std::function<void(NoticeOutcome)> onReply) override
    {
        messages.emplace_back(address, notices);
        if (answers) {
            timeline.after(std::chrono::milliseconds{1}, [reply = std::move(onReply), outcome = outcome] {
                reply(outcome);
            });
        }
    }

    void notify(int count)
    {
        for (int index = 0; index < count; ++index) {
            notifier.notify({OwnerNotice::Kind::Job, std::to_string(index), 7, 0});
        }
    }

    void run(int milliseconds)
    {
        timeline.runUntil(timeline.now() + std::chrono::milliseconds{milliseconds});
    }

    emulator::Timeline timeline;
    emulator::ProcessExecutor executor{timeline, 0};
    jobnode::LogSink log{executor, std::make_unique<test::DiscardingOutput>()};
    std::vector<std::pair<std::string, std::vector<OwnerNotice>>> messages;
    bool answers{true};
    NoticeOutcome outcome{NoticeOutcome::Delivered};
    std::optional<OwnerRecord> stored{firstOwner}; /**< What a look-up finds. */
    int lookUps{0};
    jobnode::OwnerNotifier notifier{executor, *this, log, [this](const std::function<void(bool)> &onDone) {
                                        ++lookUps;
                                        notifier.setOwner(stored);
                                        onDone(true);
                                    }};
};

} // namespace

TEST_CASE("notices that fall due within some milliseconds share a message, which is sent after the caller goes on", "[notices]")
{
    NotifierFixture fixture;
    fixture.notifier.setOwner(firstOwner);
    fixture.notify(2);
    fixture.run(3);
    fixture.notify(1);
    CHECK(fixture.messages.empty());
    fixture.run(10);
    REQUIRE(fixture.messages.size() == 1);
    CHECK(fixture.messages[0].first == firstOwner.address);
    CHECK(fixture.messages[0].second.size() == 3);
}

TEST_CASE("an owner that does not answer gets one message at a time, and waiting notices are bounded", "[notices]")
{
    NotifierFixture fixture;
    fixture.answers = false;
    fixture.notifier.setOwner(firstOwner);
    fixture.notify(3000);
    fixture.run(100);
    REQUIRE(fixture.messages.size() == 1);
    CHECK(fixture.messages[0].second.size() == jobnode::maxNoticesPerMessage);
    CHECK(fixture.messages[0].second.back().id == std::to_string(3000 - 1024 + 255));
}

TEST_CASE("a message that was lost is sent once more and then dropped", "[notices]")
{
    NotifierFixture fixture;
    fixture.outcome = NoticeOutcome::Undelivered;
    fixture.notifier.setOwner(firstOwner);
    fixture.notify(1);
    fixture.run(5000);
    CHECK(fixture.messages.size() == 2);
    CHECK(fixture.lookUps == 1);
}

TEST_CASE("notices that a former owner refused go to the owner that the key names", "[notices]")
{
    NotifierFixture fixture;
    fixture.outcome = NoticeOutcome::NotOwner;
    fixture.stored = secondOwner;
    fixture.notifier.setOwner(firstOwner);
    fixture.notify(1);
    fixture.run(100);
    REQUIRE(fixture.messages.size() == 2);
    CHECK(fixture.messages[1].first == secondOwner.address);
}

TEST_CASE("notices wait for an owner, and are dropped once the listing after a compaction has come", "[notices]")
{
    NotifierFixture fixture;
    fixture.stored = std::nullopt;
    fixture.notify(1);
    fixture.run(3000);
    CHECK(fixture.messages.empty());
    CHECK(fixture.lookUps >= 10);
    CHECK(fixture.lookUps <= 13);
    fixture.run(2000);
    fixture.notifier.setOwner(firstOwner);
    fixture.notify(1);
    fixture.run(100);
    REQUIRE(fixture.messages.size() == 1);
    CHECK(fixture.messages[0].second.size() == 1);
}

TEST_CASE("an owner without an address gets no notices", "[notices]")
{
    NotifierFixture fixture;
    fixture.notifier.setOwner(OwnerRecord{"node-a", 1, {}});
    fixture.notify(1);
    fixture.run(5000);
    CHECK(fixture.messages.empty());
    CHECK(fixture.lookUps == 0);
}

TEST_CASE("the owner's key names an address only if it has one", "[notices]")
{
    for (const OwnerRecord &owner : {firstOwner, OwnerRecord{"zone/node#1", 42, {}}, OwnerRecord{"zone/node#1", 42, "[::1]:7000"}}) {
        CHECK(jobnode::ownerFromText(jobnode::toText(owner)) == owner);
    }
    CHECK(jobnode::toText(OwnerRecord{"node", 42, {}}) == "node/42");
    CHECK(jobnode::ownerFromText("node/x/y").address.empty());
    CHECK(jobnode::ownerFromText("").address.empty());
}

TEST_CASE("a message with a malformed notice is refused as a whole", "[notices]")
{
    const std::vector<OwnerNotice> notices{{OwnerNotice::Kind::Job, "a-1", 5, 12}, {OwnerNotice::Kind::Cancel, "b", 0, 0}};
    CHECK(jobnode::noticesFromText(jobnode::toText(notices)).value() == notices);
    for (const char *text : {"",
                             "{}",
                             "[[\"job\",\"a\",1,0],[\"jobs\",\"a\",1,0]]",
                             "[[\"job\",\"a/b\",1,0]]",
                             "[[\"job\",\"\",1,0]]",
                             "[[\"job\",\"a\",-1,0]]",
                             "[[\"job\",\"a\",1.5,0]]",
                             "[[\"job\",\"a\",1]]",
                             "[[\"job\",\"a\",1,-1]]",
                             "[[1,2,3,4]]"}) {
        CAPTURE(text);
        CHECK_FALSE(jobnode::noticesFromText(text).ok());
    }
    const std::vector<OwnerNotice> tooMany(jobnode::maxNoticesPerMessage + 1, notices[0]);
    CHECK_FALSE(jobnode::noticesFromText(jobnode::toText(tooMany)).ok());
}
