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
        received = digest;
        return own;
    }

    std::string configRecord() override
    {
        return "{}";
    }

    membership::Digest own;
    membership::Digest received;
};

membership::Digest makeDigest()
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

TEST_CASE("digestFromText parses the output of toText", "[peer]")
{
    CHECK(peer::digestFromText(peer::toText(makeDigest())).value() == makeDigest());
}

TEST_CASE("digestFromText rejects another message version and malformed text", "[peer]")
{
    std::string other = peer::toText(makeDigest());
    other.replace(other.find("\"v\":1"), 5, "\"v\":2");
    const std::string text = GENERATE_COPY(std::string{other}, std::string{}, std::string{"[]"}, std::string{R"({"v":1})"}, std::string{R"({"v":1,"node":5})"});
    CHECK_FALSE(peer::digestFromText(text).ok());
}

// Guards against a negative number that a conversion turns into a large one, which no later message exceeds.
TEST_CASE("digestFromText rejects negative sequence numbers and versions", "[peer]")
{
    const std::string field = GENERATE("\"seq\":7", "\"version\":3", "\"ledger\":[1");
    std::string text = peer::toText(makeDigest());
    const std::size_t at = text.find(field);
    REQUIRE(at != std::string::npos);
    text.insert(at + field.size() - 1, "-");
    CHECK_FALSE(peer::digestFromText(text).ok());
}

TEST_CASE("Endpoint passes on the peer's digest and replies with its own", "[peer]")
{
    FixedService service;
    service.own = makeDigest();
    const peer::Endpoint endpoint{service};
    membership::Digest peerDigest = makeDigest();
    peerDigest.node = core::NodeId{"n9.xyz"};
    const std::string reply = endpoint.handle(callText(peerDigest));
    CHECK(service.received == peerDigest);
    CHECK_THAT(reply, Catch::Contains("n1.abc"));
}

TEST_CASE("Endpoint replies to malformed messages with an error", "[peer]")
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

TEST_CASE("Endpoint handles randomly changed messages without failing", "[peer]")
{
    FixedService service;
    const peer::Endpoint endpoint{service};
    const std::string valid = callText(makeDigest());
    const bool survived = rc::check("changed and truncated messages", [&] {
        std::string text = valid;
        const int changeCount = *rc::gen::inRange(1, 6);
        for (int change = 0; change < changeCount; ++change) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        }
        (void)endpoint.handle(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size())));
        (void)endpoint.handle(text);
    });
    CHECK(survived);
}
