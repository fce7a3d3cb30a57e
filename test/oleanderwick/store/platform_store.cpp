#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <thread>

#include "oleanderwick/store/base64.hpp"
#include "oleanderwick/store/memory_store.hpp"
#include "oleanderwick/store/platform_store.hpp"
#include "stub/store_stub.hpp"

namespace core = oleanderwick::core;
namespace store = oleanderwick::store;
namespace stub = oleanderwick::stub;

namespace
{

/** Clock that the test advances. */
class ManualClock final : public core::Clock
{
public:
    [[nodiscard]] core::TimePoint now() const noexcept override
    {
        return core::TimePoint{core::Duration{m_now.load()}};
    }

    void advance(core::Duration span)
    {
        m_now += span.count();
    }

private:
    std::atomic<core::Duration::rep> m_now{0};
};

/** PlatformStore connected to a stub of the service. */
struct StoreFixture {
    ManualClock clock;
    stub::StoreStub store{clock};
    stub::StoreServer server{store, 0};
    store::PlatformStore client{{oleanderwick::http::Endpoint{"127.0.0.1", server.port()}}, std::chrono::seconds{20}};
};

} // namespace

TEST_CASE("PlatformStore::compareAndSwap writes a key only if its revision is the expected one", "[store]")
{
    StoreFixture fixture;
    CHECK_FALSE(fixture.client.read("k").value().has_value());
    const store::SwapResult first = fixture.client.compareAndSwap("k", 0, "one", 0).value();
    REQUIRE(first.swapped);
    CHECK(fixture.client.read("k").value() == store::KeyValue{"k", "one", first.revision});
    const store::SwapResult refused = fixture.client.compareAndSwap("k", 0, "two", 0).value();
    CHECK_FALSE(refused.swapped);
    CHECK(refused.current == store::KeyValue{"k", "one", first.revision});
    CHECK(fixture.client.revision("k").value() == first.revision);
}

TEST_CASE("PlatformStore::keys lists the keys with a prefix", "[store]")
{
    StoreFixture fixture;
    for (const char *key : {"/a/1", "/a/2", "/b/1"}) {
        REQUIRE(fixture.client.compareAndSwap(key, 0, "", 0).value().swapped);
    }
    CHECK(fixture.client.keys("/a/").value() == std::vector<std::string>{"/a/1", "/a/2"});
}

TEST_CASE("PlatformStore keeps a key as long as its lease is kept alive", "[store]")
{
    StoreFixture fixture;
    const store::LeaseId lease = fixture.client.grantLease(std::chrono::seconds{5}).value();
    REQUIRE(fixture.client.compareAndSwap("k", 0, "v", lease).value().swapped);
    fixture.clock.advance(std::chrono::seconds{4});
    CHECK(fixture.client.keepAlive(lease).ok());
    fixture.clock.advance(std::chrono::seconds{4});
    CHECK(fixture.client.read("k").value().has_value());
    fixture.clock.advance(std::chrono::seconds{2});
    CHECK_FALSE(fixture.client.read("k").value().has_value());
    CHECK(fixture.client.keepAlive(lease).code() == absl::StatusCode::kNotFound);
}

TEST_CASE("PlatformStore reports DeadlineExceeded for a swap whose response was lost, as it may have been done", "[store]")
{
    StoreFixture fixture;
    fixture.store.setFaults(stub::StoreFaults{false, false, 0, 1});
    CHECK(fixture.client.compareAndSwap("k", 0, "v", 0).status().code() == absl::StatusCode::kDeadlineExceeded);
    CHECK(fixture.client.read("k").value().has_value());
}

TEST_CASE("PlatformStore reports Unavailable if it cannot connect, as nothing was sent", "[store]")
{
    store::PlatformStore client{{oleanderwick::http::Endpoint{"127.0.0.1", 1}}, std::chrono::seconds{20}};
    CHECK(client.read("k").status().code() == absl::StatusCode::kUnavailable);
}

TEST_CASE("PlatformStore::watch reports only changes after the given revision", "[store]")
{
    StoreFixture fixture;
    const store::SwapResult first = fixture.client.compareAndSwap("k", 0, "one", 0).value();
    std::vector<std::string> seen;
    std::thread writer{[&fixture, &first] {
        store::PlatformStore other{{oleanderwick::http::Endpoint{"127.0.0.1", fixture.server.port()}}, std::chrono::seconds{20}};
        REQUIRE(other.compareAndSwap("k", first.revision, "two", 0).value().swapped);
    }};
    store::PlatformStore watcher{{oleanderwick::http::Endpoint{"127.0.0.1", fixture.server.port()}}, std::chrono::seconds{20}};
    const absl::Status ended = watcher.watch("k", first.revision, [&seen](const std::optional<store::KeyValue> &change) {
        if (change) {
            seen.push_back(change->value);
        }
        return seen.empty();
    });
    writer.join();
    CHECK(ended.ok());
    CHECK(seen == std::vector<std::string>{"two"});
}

TEST_CASE("MemoryStore and PlatformStore return the same results", "[store]")
{
    StoreFixture fixture;
    store::MemoryStore memory{fixture.clock};
    const bool same = rc::check("same results for the same sequence of swaps", [&] {
        const std::vector<int> steps = *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 6));
        const std::string prefix = std::to_string(*rc::gen::arbitrary<std::uint64_t>()) + "/";
        std::map<std::string, std::pair<store::Revision, store::Revision>> known;
        for (const int step : steps) {
            const std::string key = prefix + std::to_string(step % 3);
            const bool stale = step >= 3;
            const std::pair<store::Revision, store::Revision> revisions = stale ? std::pair<store::Revision, store::Revision>{1, 1} : known[key];
            const store::SwapResult memoryResult = memory.compareAndSwap(key, revisions.first, "v" + std::to_string(step), 0).value();
            const store::SwapResult platformResult = fixture.client.compareAndSwap(key, revisions.second, "v" + std::to_string(step), 0).value();
            RC_ASSERT(memoryResult.swapped == platformResult.swapped);
            RC_ASSERT(memoryResult.current.has_value() == platformResult.current.has_value());
            RC_ASSERT(!memoryResult.current || memoryResult.current->value == platformResult.current->value);
            if (memoryResult.swapped) {
                known[key] = {memoryResult.revision, platformResult.revision};
            }
        }
        RC_ASSERT(memory.keys(prefix).value() == fixture.client.keys(prefix).value());
    });
    CHECK(same);
}

TEST_CASE("fromBase64 decodes the output of toBase64 and rejects malformed text", "[store]")
{
    const bool same = rc::check("round trip", [](const std::string &bytes) {
        RC_ASSERT(store::fromBase64(store::toBase64(bytes)) == bytes);
    });
    CHECK(same);
    CHECK_FALSE(store::fromBase64("a").has_value());
    CHECK_FALSE(store::fromBase64("****").has_value());
}

TEST_CASE("prefixEnd is the first key after all keys with the prefix", "[store]")
{
    CHECK(store::prefixEnd("/a/") == "/a0");
    CHECK(store::prefixEnd("a\xff") == "b");
}
