#include "../target.hpp"

#include <string>

#include "oleanderwick/allotment/allotment.hpp"
#include "oleanderwick/maintenance/maintenance.hpp"
#include "oleanderwick/store/base64.hpp"

namespace allotment = oleanderwick::allotment;
namespace maintenance = oleanderwick::maintenance;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text{reinterpret_cast<const char *>(data), size};
    const absl::StatusOr<allotment::Ledger> ledger = allotment::Ledger::fromText(text);
    if (ledger.ok() && allotment::Ledger::fromText(ledger->toText()).value().toText() != ledger->toText()) {
        __builtin_trap();
    }
    (void)maintenance::parseWaveList(text);
    (void)maintenance::parsePlatformList(text);
    (void)oleanderwick::store::fromBase64(text);
    return 0;
}
