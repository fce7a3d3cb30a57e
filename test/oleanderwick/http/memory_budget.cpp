#include <catch2/catch.hpp>

#include <memory>

#include "oleanderwick/http/http.hpp"

using oleanderwick::http::MemoryBudget;

namespace
{

constexpr std::size_t kilobyte = 1024;

} // namespace

TEST_CASE("MemoryBudget refuses what goes beyond it, and keeps the share as it was", "[http]")
{
    const std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(1000 * kilobyte);
    MemoryBudget::Share share{budget, true};
    CHECK(share.resize(600 * kilobyte));
    CHECK_FALSE(share.resize(1001 * kilobyte));
    CHECK(budget->usedBytes() == 600 * kilobyte);
    CHECK(share.resize(1000 * kilobyte));
    CHECK(share.resize(100 * kilobyte));
    CHECK(budget->usedBytes() == 100 * kilobyte);
}

TEST_CASE("MemoryBudget keeps a quarter for small messages and for those that may use the reserve", "[http]")
{
    const std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(1000 * kilobyte);
    MemoryBudget::Share large{budget, false};
    MemoryBudget::Share other{budget, false};
    MemoryBudget::Share small{budget, false};
    MemoryBudget::Share privileged{budget, true};
    CHECK(large.resize(700 * kilobyte));
    CHECK_FALSE(other.resize(100 * kilobyte));
    CHECK(small.resize(64 * kilobyte));
    CHECK(privileged.resize(200 * kilobyte));
    CHECK_FALSE(privileged.resize(300 * kilobyte));
}

TEST_CASE("MemoryBudget gets back what a share holds when it is destroyed, and doesn't count the smallest messages", "[http]")
{
    const std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(100 * kilobyte);
    {
        MemoryBudget::Share share{budget, true};
        CHECK(share.resize(90 * kilobyte));
        MemoryBudget::Share smallest{budget, false};
        CHECK(smallest.resize(16 * kilobyte));
        CHECK(budget->usedBytes() == 90 * kilobyte);
    }
    CHECK(budget->usedBytes() == 0);
}
