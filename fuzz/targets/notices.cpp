#include "../target.hpp"

#include <string>

#include "oleanderwick/jobnode/owner_notice.hpp"
#include "oleanderwick/jobnode/owner_record.hpp"

namespace jobnode = oleanderwick::jobnode;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text{reinterpret_cast<const char *>(data), size};
    const absl::StatusOr<std::vector<jobnode::OwnerNotice>> notices = jobnode::noticesFromText(text);
    if (notices.ok() && jobnode::noticesFromText(jobnode::toText(*notices)).value() != *notices) {
        __builtin_trap();
    }
    const jobnode::OwnerRecord owner = jobnode::ownerFromText(text);
    if (!owner.address.empty() && jobnode::ownerFromText(jobnode::toText(owner)) != owner) {
        __builtin_trap();
    }
    return 0;
}
