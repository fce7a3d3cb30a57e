#include "owner_notice.hpp"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace oleanderwick::jobnode
{

namespace internal
{

/** Names in the order of `OwnerNotice::Kind`. */
constexpr std::array<std::string_view, 2> kindNames{"job", "cancel"};
constexpr std::size_t maxIdLength = 64;
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
        rows.push_back({internal::kindNames.at(static_cast<std::size_t>(notice.kind)), notice.id, notice.revision});
    }
    return rows.dump();
}

absl::StatusOr<std::vector<OwnerNotice>> noticesFromText(std::string_view text)
{
    if (text.size() > internal::maxMessageBytes) {
        return absl::InvalidArgumentError("the message is too long");
    }
    const nlohmann::json rows = nlohmann::json::parse(text, nullptr, false);
    if (!rows.is_array() || rows.size() > maxNoticesPerMessage) {
        return absl::InvalidArgumentError("a message is an array with a bounded number of notices");
    }
    std::vector<OwnerNotice> notices;
    for (const nlohmann::json &row : rows) {
        const bool hasFields = row.is_array() && row.size() == 3 && row[0].is_string() && row[1].is_string() && row[2].is_number_integer();
        const auto kind =
            hasFields ? std::find(internal::kindNames.begin(), internal::kindNames.end(), row[0].get_ref<const std::string &>()) : internal::kindNames.end();
        if (kind == internal::kindNames.end() || !isNoticeId(row[1].get_ref<const std::string &>()) || row[2].get<std::int64_t>() < 0) {
            return absl::InvalidArgumentError(absl::StrCat("notice ", notices.size(), " is malformed"));
        }
        notices.push_back({static_cast<OwnerNotice::Kind>(kind - internal::kindNames.begin()), row[1].get<std::string>(), row[2].get<std::int64_t>()});
    }
    return notices;
}

} // namespace oleanderwick::jobnode
