#include "../target.hpp"

#include <string>

#include "oleanderwick/peer/peer.hpp"

namespace membership = oleanderwick::membership;
namespace peer = oleanderwick::peer;

namespace
{

class EchoService final : public peer::Service
{
public:
    membership::Digest exchange(const membership::Digest &digest) override
    {
        return digest;
    }

    std::string configRecord() override
    {
        return "{}";
    }
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static EchoService service;
    static const peer::Endpoint endpoint{service};
    const std::string text{reinterpret_cast<const char *>(data), size};
    (void)endpoint.handle(text);
    const absl::StatusOr<membership::Digest> digest = peer::digestFromText(text);
    if (digest.ok() && peer::digestFromText(peer::toText(*digest)).value() != *digest) {
        __builtin_trap();
    }
    return 0;
}
