#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "oleanderwick/peer/peer.hpp"

namespace core = oleanderwick::core;
namespace allotment = oleanderwick::allotment;
namespace membership = oleanderwick::membership;
namespace peer = oleanderwick::peer;

namespace
{

class FixedService final : public peer::Service
{
public:
    membership::Digest exchange(const membership::Digest &digest) override
    {
        heard = digest;
        return own;
    }

    std::string record() override
    {
        return "{}";
    }

    membership::Digest own;
    membership::Digest heard;
};

membership::Digest sample()
{
    membership::Digest digest;
    digest.node = core::NodeId{"n1.abc"};
    digest.sequence = 7;
    digest.version = 3;
    digest.alive = {core::NodeId{"n1.abc"}, core::NodeId{"n2.def"}};
    digest.demands = {allotment::TeamDemand{core::PoolId{"p"}, core::TeamId{"t"}, 4, 5, 6, 7}};
    digest.permitRequests = {allotment::PermitRequest{allotment::Group{allotment::Group::Kind::Pool, "p"}, 2}};
    digest.ledgerSequences = {1, 2, 3, 4, 5, 6, 7, 8};
    return digest;
}

std::string callText(const membership::Digest &digest)
{
    return R"({"jsonrpc":"2.0","id":1,"method":"exchange","params":{"body":)" + peer::toText(digest) + "}}";
}

} // namespace

TEST_CASE("digestFromText reads what toText wrote", "[peer]")
{
    CHECK(peer::digestFromText(peer::toText(sample())).value() == sample());
}

TEST_CASE("digestFromText refuses another version and malformed text", "[peer]")
{
    std::string other = peer::toText(sample());
    other.replace(other.find("\"v\":1"), 5, "\"v\":2");
    const std::string text = GENERATE_COPY(std::string{other}, std::string{}, std::string{"[]"}, std::string{R"({"v":1})"}, std::string{R"({"v":1,"node":5})"});
    CHECK_FALSE(peer::digestFromText(text).ok());
}

TEST_CASE("Endpoint exchanges digests", "[peer]")
{
    FixedService service;
    service.own = sample();
    const peer::Endpoint endpoint{service};
    membership::Digest theirs = sample();
    theirs.node = core::NodeId{"n9.xyz"};
    const std::string answer = endpoint.handle(callText(theirs));
    CHECK(service.heard == theirs);
    CHECK_THAT(answer, Catch::Contains("n1.abc"));
}

TEST_CASE("Endpoint answers hostile messages with an error", "[peer]")
{
    FixedService service;
    const peer::Endpoint endpoint{service};
    const std::string text = GENERATE(std::string{},
                                      std::string{"nonsense"},
                                      std::string(5000, '['),
                                      std::string{R"({"jsonrpc":"2.0","id":1,"method":"nowhere","params":{}})"},
                                      std::string{R"({"jsonrpc":"2.0","id":1,"method":"exchange","params":[1]})"},
                                      std::string{R"([{"jsonrpc":"2.0"},5])"});
    CHECK_THAT(endpoint.handle(text), Catch::Contains("error"));
}

TEST_CASE("Endpoint survives any message", "[peer]")
{
    FixedService service;
    const peer::Endpoint endpoint{service};
    const std::string sound = callText(sample());
    const bool survived = rc::check("cut, changed and doubled messages", [&] {
        std::string text = sound;
        const int changes = *rc::gen::inRange(1, 6);
        for (int change = 0; change < changes; ++change) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        }
        (void)endpoint.handle(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size())));
        (void)endpoint.handle(text);
    });
    CHECK(survived);
}
