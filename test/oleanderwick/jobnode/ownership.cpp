#include <catch2/catch.hpp>

#include <memory>

#include "oleanderwick/jobnode/ownership.hpp"
#include "support/model_store.hpp"

using namespace oleanderwick;

namespace
{

/** @brief Candidate for ownership in virtual time, with what it was told of the owner. */
struct Candidate {
    Candidate(emulator::Timeline &timeline, emulator::StoreModel &model, const std::string &name)
        : Candidate{timeline, model, name, "address-of-" + name}
    {
    }

    Candidate(emulator::Timeline &timeline, emulator::StoreModel &model, const std::string &name, const std::string &address)
        : executor{timeline, 0}
        , store{timeline, model}
        , ownership{std::make_unique<jobnode::Ownership>(executor, store, name, core::Duration{}, log, callbacks(), address)}
    {
    }

    jobnode::Ownership::Callbacks callbacks()
    {
        jobnode::Ownership::Callbacks made;
        made.onAcquired = [](std::int64_t) {
        };
        made.onLost = [] {
        };
        made.onOwner = [this](const std::optional<jobnode::OwnerRecord> &seen) {
            owner = seen;
        };
        return made;
    }

    emulator::ProcessExecutor executor;
    test::ModelStore store;
    jobnode::LogSink log{executor, std::make_unique<test::DiscardingOutput>()};
    std::optional<jobnode::OwnerRecord> owner;
    std::unique_ptr<jobnode::Ownership> ownership;
};

} // namespace

TEST_CASE("an owner that left while the watch of its key is silent is replaced once the key is looked up", "[ownership]")
{
    emulator::Timeline timeline;
    emulator::StoreModel model;
    const auto run = [&timeline](int milliseconds) {
        timeline.runUntil(timeline.now() + std::chrono::milliseconds{milliseconds});
    };
    Candidate first{timeline, model, "a"};
    run(1000);
    Candidate second{timeline, model, "b"};
    run(1000);
    REQUIRE(first.ownership->token() != 0);
    REQUIRE(second.owner.has_value());
    CHECK(second.owner->address == "address-of-a");
    model.silenceWatches();
    first.ownership->resign();
    run(1000);
    CHECK(second.ownership->token() == 0);
    bool succeeded = false;
    second.ownership->lookUp([&succeeded](bool replied) {
        succeeded = replied;
    });
    run(500);
    CHECK(succeeded);
    CHECK(second.ownership->token() != 0);
    // The former owner is told of its successor in the same way.
    first.ownership->lookUp([](bool) {
    });
    run(10);
    REQUIRE(first.owner.has_value());
    CHECK(first.owner->name == "b");
}

TEST_CASE("an owner that was killed and restarted does not wait for the lease of its former process", "[ownership]")
{
    emulator::Timeline timeline;
    emulator::StoreModel model;
    const auto run = [&timeline](int milliseconds) {
        timeline.runUntil(timeline.now() + std::chrono::milliseconds{milliseconds});
    };
    Candidate killed{timeline, model, "a#1", "address-of-a"};
    run(1000);
    const std::int64_t formerToken = killed.ownership->token();
    REQUIRE(formerToken != 0);
    killed.ownership.reset();
    SECTION("the restarted process takes over, with a higher token")
    {
        Candidate restarted{timeline, model, "a#2", "address-of-a"};
        run(300);
        CHECK(restarted.ownership->token() > formerToken);
    }
    SECTION("a process at another address waits, since the former one may still be acting")
    {
        Candidate other{timeline, model, "b#1", "address-of-b"};
        run(300);
        CHECK(other.ownership->token() == 0);
    }
}
