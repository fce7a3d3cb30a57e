#include <catch2/catch.hpp>

#include "oleanderwick/node/config_writer.hpp"
#include "support/lossy_store.hpp"

namespace config = oleanderwick::config;
namespace core = oleanderwick::core;
namespace node = oleanderwick::node;
namespace store = oleanderwick::store;
using oleanderwick::test::LossyStore;
using oleanderwick::test::MockStore;
using Kind = node::PatchOutcome::Kind;

namespace
{

config::Patch makePatch(const std::string &id, config::Version base, const std::string &body = R"({"pools":{"p":{}}})")
{
    return config::Patch{id, "ana", base, config::PatchFormat::MergePatch, body};
}

const node::StoreKeys keys{"/test"};
const core::MonotonicClock systemClock;

} // namespace

TEST_CASE("writePatch accepts only one of two patches based on the same version", "[node]")
{
    store::MemoryStore memory{systemClock};
    config::Record accepted;
    CHECK(node::writePatch(memory, keys, makePatch("one", 0), accepted).kind == Kind::Accepted);
    const node::PatchOutcome second = node::writePatch(memory, keys, makePatch("two", 0, R"({"pools":{"q":{}}})"), accepted);
    CHECK(second.kind == Kind::Conflict);
    CHECK(second.version == 1);
}

TEST_CASE("writePatch applies a patch once when replies of the store are lost", "[node]")
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        store::MemoryStore memory{systemClock};
        LossyStore lossyStore{memory, seed};
        config::Record accepted;
        node::PatchOutcome outcome;
        for (int attempt = 0; attempt < 10 && outcome.kind != Kind::Accepted; ++attempt) {
            outcome = node::writePatch(lossyStore.mock, keys, makePatch("mine", 0), accepted);
            REQUIRE(outcome.kind != Kind::Conflict);
        }
        REQUIRE(outcome.kind == Kind::Accepted);
        CHECK(outcome.version == 1);
        CHECK(node::readConfig(memory, keys).value().record.version == 1);
    }
}

TEST_CASE("writePatch reports NotApplied only if no swap can have reached the store", "[node]")
{
    MockStore mock;
    config::Record accepted;
    SECTION("the store cannot be reached")
    {
        ALLOW_CALL(mock, read(trompeloeil::_)).RETURN(absl::UnavailableError("away"));
        CHECK(node::writePatch(mock, keys, makePatch("one", 0), accepted).kind == Kind::NotApplied);
    }
    SECTION("the reply to every swap is lost")
    {
        ALLOW_CALL(mock, read(trompeloeil::_)).RETURN(std::optional<store::KeyValue>{});
        ALLOW_CALL(mock, compareAndSwap(trompeloeil::_, trompeloeil::_, trompeloeil::_, trompeloeil::_)).RETURN(absl::DeadlineExceededError("lost"));
        CHECK(node::writePatch(mock, keys, makePatch("one", 0), accepted).kind == Kind::Unknown);
    }
}

TEST_CASE("writePatch leaves the store unchanged for an invalid patch", "[node]")
{
    store::MemoryStore memory{systemClock};
    config::Record accepted;
    const node::PatchOutcome outcome = node::writePatch(memory, keys, makePatch("bad", 0, R"({"queues":{"q":{"pool":"none"}}})"), accepted);
    CHECK(outcome.kind == Kind::Invalid);
    CHECK_FALSE(memory.read(keys.config()).value().has_value());
}
