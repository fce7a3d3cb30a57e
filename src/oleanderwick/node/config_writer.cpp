#include "config_writer.hpp"

namespace oleanderwick::node
{

namespace internal
{

constexpr int maxAttempts = 4;

PatchOutcome rejected(const absl::Status &status, config::Version version)
{
    using Kind = PatchOutcome::Kind;
    const Kind kind = status.code() == absl::StatusCode::kFailedPrecondition ? Kind::Conflict : Kind::Invalid;
    return PatchOutcome{kind, version, std::string{status.message()}};
}

} // namespace internal

absl::StatusOr<StoredRecord> readConfig(store::Store &store, const StoreKeys &keys)
{
    const absl::StatusOr<std::optional<store::KeyValue>> found = store.read(keys.config());
    if (!found.ok()) {
        return found.status();
    }
    if (!found->has_value()) {
        return StoredRecord{};
    }
    absl::StatusOr<config::Record> record = config::recordFromText((*found)->value);
    if (!record.ok()) {
        return record.status();
    }
    return StoredRecord{*std::move(record), (*found)->revision};
}

PatchOutcome writePatch(store::Store &store, const StoreKeys &keys, const config::Patch &patch, config::Record &accepted)
{
    using Kind = PatchOutcome::Kind;
    // A swap whose reply was lost may still take effect until another swap of the same key has been made.
    bool pending = false;
    std::string detail;
    for (int attempt = 0; attempt < internal::maxAttempts; ++attempt) {
        const absl::StatusOr<StoredRecord> before = readConfig(store, keys);
        if (!before.ok()) {
            detail = std::string{before.status().message()};
            continue;
        }
        const absl::StatusOr<config::Record> next = config::applyPatch(before->record, patch);
        if (!next.ok()) {
            return internal::rejected(next.status(), before->record.version);
        }
        if (next->version == before->record.version) {
            accepted = *next;
            return PatchOutcome{Kind::Accepted, config::findChange(*next, patch.id)->version, ""};
        }
        const absl::StatusOr<store::SwapResult> swapped = store.compareAndSwap(keys.config(), before->revision, config::toText(*next), 0);
        if (swapped.ok() && swapped->swapped) {
            accepted = *next;
            return PatchOutcome{Kind::Accepted, next->version, ""};
        }
        if (!swapped.ok()) {
            pending = pending || swapped.status().code() != absl::StatusCode::kUnavailable;
            detail = std::string{swapped.status().message()};
        }
    }
    return PatchOutcome{pending ? Kind::Unknown : Kind::NotApplied, 0, detail};
}

} // namespace oleanderwick::node
