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

/** Clock that the test moves. */
class HandClock final : public core::Clock
{
public:
    [[nodiscard]] core::TimePoint now() const noexcept override
    {
        return core::TimePoint{core::Duration{m_now.load()}};
    }

    void move(core::Duration span)
    {
        m_now += span.count();
    }

private:
    std::atomic<core::Duration::rep> m_now{0};
};

/** Client over the stand-in. */
struct Platform {
    HandClock clock;
    stub::StoreStub store{clock};
    stub::StoreServer server{store, 0};
    store::PlatformStore client{{oleanderwick::http::Endpoint{"127.0.0.1", server.port()}}, std::chrono::seconds{20}};
};

} // namespace

TEST_CASE("PlatformStore swaps only what has not changed", "[store]")
{
    Platform platform;
    CHECK_FALSE(platform.client.read("k").value().has_value());
    const store::SwapResult first = platform.client.compareAndSwap("k", 0, "one", 0).value();
    REQUIRE(first.swapped);
    CHECK(platform.client.read("k").value() == store::KeyValue{"k", "one", first.revision});
    const store::SwapResult refused = platform.client.compareAndSwap("k", 0, "two", 0).value();
    CHECK_FALSE(refused.swapped);
    CHECK(refused.current == store::KeyValue{"k", "one", first.revision});
    CHECK(platform.client.revision("k").value() == first.revision);
}

TEST_CASE("PlatformStore lists the keys of a prefix", "[store]")
{
    Platform platform;
    for (const char *key : {"/a/1", "/a/2", "/b/1"}) {
        REQUIRE(platform.client.compareAndSwap(key, 0, "", 0).value().swapped);
    }
    CHECK(platform.client.keys("/a/").value() == std::vector<std::string>{"/a/1", "/a/2"});
}

TEST_CASE("PlatformStore drops a key with its lease", "[store]")
{
    Platform platform;
    const store::LeaseId lease = platform.client.grantLease(std::chrono::seconds{5}).value();
    REQUIRE(platform.client.compareAndSwap("k", 0, "v", lease).value().swapped);
    platform.clock.move(std::chrono::seconds{4});
    CHECK(platform.client.keepAlive(lease).ok());
    platform.clock.move(std::chrono::seconds{4});
    CHECK(platform.client.read("k").value().has_value());
    platform.clock.move(std::chrono::seconds{2});
    CHECK_FALSE(platform.client.read("k").value().has_value());
    CHECK(platform.client.keepAlive(lease).code() == absl::StatusCode::kNotFound);
}

TEST_CASE("PlatformStore does not assume what became of a swap whose answer was lost", "[store]")
{
    Platform platform;
    platform.store.setFaults(stub::StoreFaults{false, false, 0, 1});
    CHECK(platform.client.compareAndSwap("k", 0, "v", 0).status().code() == absl::StatusCode::kDeadlineExceeded);
    CHECK(platform.client.read("k").value().has_value());
}

TEST_CASE("PlatformStore says unavailable only when nothing was sent", "[store]")
{
    store::PlatformStore client{{oleanderwick::http::Endpoint{"127.0.0.1", 1}}, std::chrono::seconds{20}};
    CHECK(client.read("k").status().code() == absl::StatusCode::kUnavailable);
}

TEST_CASE("PlatformStore watches a key from a revision on", "[store]")
{
    Platform platform;
    const store::SwapResult first = platform.client.compareAndSwap("k", 0, "one", 0).value();
    std::vector<std::string> seen;
    std::thread writer{[&platform, &first] {
        store::PlatformStore other{{oleanderwick::http::Endpoint{"127.0.0.1", platform.server.port()}}, std::chrono::seconds{20}};
        REQUIRE(other.compareAndSwap("k", first.revision, "two", 0).value().swapped);
    }};
    store::PlatformStore watcher{{oleanderwick::http::Endpoint{"127.0.0.1", platform.server.port()}}, std::chrono::seconds{20}};
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

TEST_CASE("MemoryStore and PlatformStore answer alike", "[store]")
{
    Platform platform;
    store::MemoryStore memory{platform.clock};
    const bool same = rc::check("same answers to the same swaps", [&] {
        const std::vector<int> steps = *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 6));
        const std::string prefix = std::to_string(*rc::gen::arbitrary<std::uint64_t>()) + "/";
        std::map<std::string, std::pair<store::Revision, store::Revision>> known;
        for (const int step : steps) {
            const std::string key = prefix + std::to_string(step % 3);
            const bool stale = step >= 3;
            const std::pair<store::Revision, store::Revision> revisions = stale ? std::pair<store::Revision, store::Revision>{1, 1} : known[key];
            const store::SwapResult one = memory.compareAndSwap(key, revisions.first, "v" + std::to_string(step), 0).value();
            const store::SwapResult two = platform.client.compareAndSwap(key, revisions.second, "v" + std::to_string(step), 0).value();
            RC_ASSERT(one.swapped == two.swapped);
            RC_ASSERT(one.current.has_value() == two.current.has_value());
            RC_ASSERT(!one.current || one.current->value == two.current->value);
            if (one.swapped) {
                known[key] = {one.revision, two.revision};
            }
        }
        RC_ASSERT(memory.keys(prefix).value() == platform.client.keys(prefix).value());
    });
    CHECK(same);
}

TEST_CASE("fromBase64 reads what toBase64 wrote and refuses the rest", "[store]")
{
    const bool same = rc::check("round trip", [](const std::string &bytes) {
        RC_ASSERT(store::fromBase64(store::toBase64(bytes)) == bytes);
    });
    CHECK(same);
    CHECK_FALSE(store::fromBase64("a").has_value());
    CHECK_FALSE(store::fromBase64("****").has_value());
}

TEST_CASE("prefixEnd is the first key after the prefix", "[store]")
{
    CHECK(store::prefixEnd("/a/") == "/a0");
    CHECK(store::prefixEnd("a\xff") == "b");
}
