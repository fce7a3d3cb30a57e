#include "owner_notice.hpp"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** Names in the order of `OwnerNotice::Kind`. */
constexpr std::array<std::string_view, 2> kindNames{"job", "cancel"};
constexpr std::size_t maxIdLength = 64;
/** A day; keeps times that are computed from the age in range. */
constexpr std::int64_t maxAgeMs = 86'400'000;
/** Bounds what a malformed message costs; a complete message is shorter. */
constexpr std::size_t maxMessageBytes = maxNoticesPerMessage * 128;

} // namespace internal

bool isNoticeId(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= internal::maxIdLength && std::all_of(text.begin(), text.end(), [](char character) {
        return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '.' || character == '-' || character == '_';
    });
}

std::string toText(const std::vector<OwnerNotice> &notices)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const OwnerNotice &notice : notices) {
        rows.push_back({internal::kindNames.at(static_cast<std::size_t>(notice.kind)), notice.id, notice.revision, notice.ageMs});
    }
    return rows.dump();
}

absl::StatusOr<std::vector<OwnerNotice>> noticesFromText(std::string_view text)
{
    if (text.size() > internal::maxMessageBytes) {
        return absl::InvalidArgumentError("the message is too long");
    }
    const nlohmann::json rows = core::parseJsonOrDiscard(text);
    if (!rows.is_array() || rows.size() > maxNoticesPerMessage) {
        return absl::InvalidArgumentError("a message is an array with a bounded number of notices");
    }
    std::vector<OwnerNotice> notices;
    for (const nlohmann::json &row : rows) {
        const bool hasFields =
            row.is_array() && row.size() == 4 && row[0].is_string() && row[1].is_string() && row[2].is_number_integer() && row[3].is_number_integer();
        const auto kind =
            hasFields ? std::find(internal::kindNames.begin(), internal::kindNames.end(), row[0].get_ref<const std::string &>()) : internal::kindNames.end();
        if (kind == internal::kindNames.end()) {
            return absl::InvalidArgumentError(absl::StrCat("notice ", notices.size(), " is malformed"));
        }
        OwnerNotice notice;
        notice.kind = static_cast<OwnerNotice::Kind>(kind - internal::kindNames.begin());
        notice.id = row[1].get<std::string>();
        notice.revision = row[2].get<std::int64_t>();
        notice.ageMs = row[3].get<std::int64_t>();
        if (!isNoticeId(notice.id) || notice.revision < 0 || notice.ageMs < 0 || notice.ageMs > internal::maxAgeMs) {
            return absl::InvalidArgumentError(absl::StrCat("notice ", notices.size(), " has a field that is out of bounds"));
        }
        notices.push_back(std::move(notice));
    }
    return notices;
}

} // namespace oleanderwick::jobnode
