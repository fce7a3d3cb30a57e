#include <catch2/catch.hpp>

#include "oleanderwick/config/config.hpp"

namespace config = oleanderwick::config;
namespace core = oleanderwick::core;

namespace
{

config::Snapshot snapshotWithKey(const std::string &secret)
{
    config::Record record;
    record.version = 1;
    config::Team team;
    team.keys.emplace(core::KeyId{"k"}, config::TeamKey{config::sha256Hex(secret)});
    record.document.teams.emplace(core::TeamId{"t"}, team);
    record.document.teams.emplace(core::TeamId{"other"}, config::Team{});
    return config::Snapshot{record};
}

} // namespace

TEST_CASE("Snapshot finds the team of a key", "[config]")
{
    const config::Snapshot snapshot = snapshotWithKey("secret");
    CHECK(snapshot.teamOf(config::PresentedKey{core::KeyId{"k"}, "secret"}) == core::TeamId{"t"});
}

TEST_CASE("Snapshot rejects a wrong secret and an unknown key id", "[config]")
{
    const config::Snapshot snapshot = snapshotWithKey("secret");
    CHECK_FALSE(snapshot.teamOf(config::PresentedKey{core::KeyId{"k"}, "Secret"}).has_value());
    CHECK_FALSE(snapshot.teamOf(config::PresentedKey{core::KeyId{"x"}, "secret"}).has_value());
}

TEST_CASE("Snapshot allows a queue to its listed teams only", "[config]")
{
    config::Queue queue;
    queue.teams.emplace_back("t");
    CHECK(config::Snapshot::allows(queue, core::TeamId{"t"}));
    CHECK_FALSE(config::Snapshot::allows(queue, core::TeamId{"other"}));
}

TEST_CASE("parseKey splits id and secret", "[config]")
{
    CHECK(config::parseKey("k.s") == config::PresentedKey{core::KeyId{"k"}, "s"});
    const std::string bad = GENERATE(std::string{}, std::string{"k"}, std::string{".s"}, std::string{"k."}, std::string(300, 'a') + ".s");
    CHECK_FALSE(config::parseKey(bad).has_value());
}

TEST_CASE("Secrets differ and their digests do not contain them", "[config]")
{
    const std::string secret = config::randomHex();
    CHECK(secret != config::randomHex());
    CHECK(config::sha256Hex(secret).find(secret) == std::string::npos);
}
