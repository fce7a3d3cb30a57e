#include "../target.hpp"

#include <string>

#include "oleanderwick/settings/settings.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    (void)oleanderwick::settings::parse(std::string{reinterpret_cast<const char *>(data), size});
    return 0;
}
