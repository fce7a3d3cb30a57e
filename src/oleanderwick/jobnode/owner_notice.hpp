#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace oleanderwick::jobnode
{

/** @brief Notice to the owner that a job or a cancellation is in the store. */
struct OwnerNotice {
    enum class Kind : std::uint8_t {
        Job,
        Cancel,
    };
    Kind kind{Kind::Job};
    std::string id; /**< Id of the job. */
    std::int64_t revision{0}; /**< Store revision at which the record was written or found; 0 if the store did not say. */
    std::int64_t ageMs{0}; /**< Time in milliseconds from the storage of the record to the sending of the notice; not negative. */

    [[nodiscard]] auto operator<=>(const OwnerNotice &) const = default;
};

/** Maximum number of notices in a message. */
inline constexpr std::size_t maxNoticesPerMessage = 256;

/**
 * @brief Checks whether a text can be the id of a job in a notice.
 * @param text Text to check.
 * @return True for 1 to 64 letters, digits, dots, hyphens and underscores; the id becomes part of a key.
 */
[[nodiscard]] bool isNoticeId(std::string_view text) noexcept;

/**
 * @brief Formats a message.
 * @param notices Notices with valid ids, at most `maxNoticesPerMessage`.
 * @return JSON array with `[kind, id, revision, age in ms]` for each notice.
 */
[[nodiscard]] std::string toText(const std::vector<OwnerNotice> &notices);

/**
 * @brief Parses a message.
 * @param text Message from another node.
 * @return The notices, or `InvalidArgument` if any part of the message is malformed or it has too many notices.
 */
[[nodiscard]] absl::StatusOr<std::vector<OwnerNotice>> noticesFromText(std::string_view text);

} // namespace oleanderwick::jobnode
