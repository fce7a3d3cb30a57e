#include "patch.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "../../core/json_reading.hpp"
#include "../codec.hpp"

namespace oleanderwick::config
{

namespace internal
{

constexpr std::size_t maxNestingDepth = 32;

/** Detects excessive nesting before the parsed text reaches recursive functions such as `merge_patch` and `dump`. */
bool isTooDeep(const std::string &text)
{
    std::size_t depth = 0;
    bool quoted = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (quoted) {
            index += character == '\\' ? 1 : 0;
            quoted = character != '"';
        } else if (character == '"') {
            quoted = true;
        } else if (character == '{' || character == '[') {
            ++depth;
        } else if ((character == '}' || character == ']') && depth > 0) {
            --depth;
        }
        if (depth > maxNestingDepth) {
            return true;
        }
    }
    return false;
}

absl::StatusOr<nlohmann::json> patchedDocument(nlohmann::json document, const Patch &patch)
{
    if (isTooDeep(patch.body)) {
        return absl::InvalidArgumentError("/: the patch is nested too deeply");
    }
    const nlohmann::json body = core::parseJsonOrDiscard(patch.body);
    if (body.is_discarded()) {
        return absl::InvalidArgumentError("/: the patch is not JSON");
    }
    if (patch.format == PatchFormat::MergePatch) {
        document.merge_patch(body);
        return document;
    }
    try {
        return document.patch(body);
    } catch (const nlohmann::json::exception &error) {
        return absl::InvalidArgumentError(absl::StrCat("/: ", error.what()));
    }
}

std::vector<std::string> changedPaths(const nlohmann::json &before, const nlohmann::json &after)
{
    std::vector<std::string> paths;
    for (const nlohmann::json &step : nlohmann::json::diff(before, after)) {
        paths.push_back(step["path"].get<std::string>());
    }
    constexpr std::size_t maxRecordedPaths = 16;
    if (paths.size() > maxRecordedPaths) {
        paths.resize(maxRecordedPaths);
        paths.emplace_back("...");
    }
    return paths;
}

} // namespace internal

const Change *findChange(const Record &record, const std::string &patchId) noexcept
{
    const auto found = std::find_if(record.history.begin(), record.history.end(), [&patchId](const Change &change) {
        return change.patchId == patchId;
    });
    return found == record.history.end() ? nullptr : &*found;
}

absl::StatusOr<Record> applyPatch(const Record &record, const Patch &patch)
{
    if (findChange(record, patch.id) != nullptr) {
        return record;
    }
    if (patch.base != record.version) {
        return absl::FailedPreconditionError(absl::StrCat("the current configuration version is ", record.version));
    }
    const nlohmann::json before = toJson(record.document);
    absl::StatusOr<nlohmann::json> after = internal::patchedDocument(before, patch);
    if (!after.ok()) {
        return after.status();
    }
    absl::StatusOr<Document> document = documentFromJson(*after);
    if (!document.ok()) {
        return document.status();
    }
    Record next{record.version + 1, *std::move(document), record.history};
    next.history.push_back(Change{next.version, patch.id, patch.author, internal::changedPaths(before, toJson(next.document))});
    if (next.history.size() > maxHistory) {
        next.history.erase(next.history.begin());
    }
    return next;
}

} // namespace oleanderwick::config
