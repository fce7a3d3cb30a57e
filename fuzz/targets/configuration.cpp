#include "../target.hpp"

#include <string>

#include "oleanderwick/config/config.hpp"

namespace config = oleanderwick::config;

namespace
{

const config::Record &validRecord()
{
    static const config::Record record = config::applyPatch({}, config::Patch{"first", "ana", 0, config::PatchFormat::MergePatch, R"({"pools":{"p":{}},
        "instances":{"i":{"pool":"p","address":"127.0.0.1:9000"}},"teams":{"t":{"upperLimit":5}},"queues":{"q":{"pool":"p","teams":["t"]}}})"})
                                             .value();
    return record;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text{reinterpret_cast<const char *>(data), size};
    const config::Record &record = validRecord();
    for (const config::PatchFormat format : {config::PatchFormat::MergePatch, config::PatchFormat::JsonPatch}) {
        const absl::StatusOr<config::Record> next = config::applyPatch(record, config::Patch{"second", "ben", record.version, format, text});
        // An accepted record has to read back as the same record.
        if (next.ok() && config::recordFromText(config::toText(*next)).value() != *next) {
            __builtin_trap();
        }
    }
    (void)config::recordFromText(text);
    (void)config::parseKey(text);
    return 0;
}
