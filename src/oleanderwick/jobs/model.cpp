#include "model.hpp"

#include <array>
#include <charconv>

namespace oleanderwick::jobs
{

namespace internal
{

/** Removes the part after the last dot from `text` and parses it as a number; returns false if either fails. */
template <typename Number>
bool extractNumber(std::string_view &text, Number &number)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return false;
    }
    const std::string_view part = text.substr(dot + 1);
    const std::from_chars_result result = std::from_chars(part.data(), part.data() + part.size(), number);
    text = text.substr(0, dot);
    return !part.empty() && result.ec == std::errc{} && result.ptr == part.data() + part.size();
}

} // namespace internal

std::string_view toText(JobState state) noexcept
{
    constexpr std::array<std::string_view, 5> names{"queued", "running", "completed", "failed", "cancelled"};
    return names.at(static_cast<std::size_t>(state));
}

std::string toText(const TaskName &name)
{
    return name.job + '.' + std::to_string(name.occurrence) + '.' + std::to_string(name.step) + '.' + std::to_string(name.index);
}

std::optional<TaskName> parseTaskName(std::string_view text)
{
    TaskName name;
    if (!internal::extractNumber(text, name.index) || !internal::extractNumber(text, name.step) || !internal::extractNumber(text, name.occurrence)
        || text.empty()) {
        return std::nullopt;
    }
    name.job = std::string{text};
    return name;
}

} // namespace oleanderwick::jobs
