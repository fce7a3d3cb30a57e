#include "../target.hpp"

#include <string>

#include "oleanderwick/jobnode/log_sink.hpp"
#include "oleanderwick/jobs/codec.hpp"
#include "platform/ingress.hpp"
#include "platform/routes.hpp"
#include "platform/store_client.hpp"
#include "platform/store_translator.hpp"
#include "platform/worker_client.hpp"

namespace http = oleanderwick::http;
namespace jobnode = oleanderwick::jobnode;
namespace jobs = oleanderwick::jobs;
namespace platform = oleanderwick::platform;

namespace
{

class NoOutput final : public jobnode::LogOutput
{
public:
    bool tryWrite(std::string /*batch*/) override
    {
        return true;
    }
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static http::Loop loop;
    static jobnode::LogSink log{loop, std::make_unique<NoOutput>()};
    const std::string text{reinterpret_cast<const char *>(data), size};
    platform::StoreTranslator translator{log};
    (void)translator.parseWorker(jobs::StoreItem{"servers/w1", text, 1});
    (void)translator.parseOperatorItem(jobs::StoreItem{"op/config", text, 1});
    (void)translator.parseOperatorItem(jobs::StoreItem{"op/wave/3", text, 1});
    (void)platform::parseReport(text);
    (void)platform::readStoreReply({oleanderwick::routing::ExchangeOutcome::Complete, http::Response{200, {}, text}}, "items");
    const absl::StatusOr<jobs::Job> job = platform::parseSubmission(text);
    // A job that was accepted has to read back as the same job.
    if (job.ok() && jobs::jobFromRecord(jobs::toRecord(*job)).value() != *job) {
        __builtin_trap();
    }
    (void)jobs::jobFromRecord(text);
    const absl::StatusOr<jobs::JobRecord> record = jobs::progressFromRecord(text);
    if (record.ok() && jobs::progressFromRecord(jobs::toRecord(*record)).value() != *record) {
        __builtin_trap();
    }
    return 0;
}
