#include <catch2/catch.hpp>

#include <thread>

#include "oleanderwick/core/core.hpp"

namespace core = oleanderwick::core;

TEST_CASE("BoundedRing rejects elements while it is full", "[core]")
{
    core::BoundedRing<int> ring{2};
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(ring.pop() == 1);
    CHECK(ring.tryPush(3));
}

TEST_CASE("BoundedRing reserves capacity for more important elements", "[core]")
{
    core::BoundedRing<int> ring{4};
    CHECK(ring.tryPushBelow(1, 2));
    CHECK(ring.tryPushBelow(2, 2));
    CHECK_FALSE(ring.tryPushBelow(3, 2));
    CHECK(ring.tryPush(4));
    CHECK(ring.size() == 3);
}

TEST_CASE("BoundedRing delivers the elements of another thread in FIFO order", "[core]")
{
    core::BoundedRing<int> ring{8};
    std::thread producer{[&ring] {
        for (int value = 0; value < 1000; ++value) {
            ring.push(value);
        }
    }};
    bool ordered = true;
    for (int value = 0; value < 1000; ++value) {
        ordered = ordered && ring.pop() == value;
    }
    producer.join();
    CHECK(ordered);
    int unused = 0;
    CHECK_FALSE(ring.tryPop(unused));
    CHECK(ring.size() == 0);
}
