#include <catch2/catch.hpp>

#include "oleanderwick/node/config_keeper.hpp"

namespace config = oleanderwick::config;
namespace node = oleanderwick::node;

TEST_CASE("ConfigKeeper ignores records of the same or an earlier version", "[node]")
{
    node::DecisionRing ring{16};
    node::ConfigKeeper keeper{ring};
    config::Record record;
    record.version = 5;
    CHECK(keeper.offer(record));
    record.version = 4;
    CHECK_FALSE(keeper.offer(record));
    record.version = 5;
    CHECK_FALSE(keeper.offer(record));
    CHECK(keeper.current()->version() == 5);
}
