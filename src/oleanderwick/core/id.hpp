#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "fwd.hpp"

namespace oleanderwick::core
{

/**
 * @brief Strongly typed name; names with different tags do not convert to each other.
 * @tparam Tag Type that tells the kinds of names apart.
 */
template <typename Tag>
class Id
{
public:
    /** @brief Type of the text. */
    using value_type = std::string;

    Id() = default;

    /**
     * @brief Creates a name from its text.
     * @param name Text of the name; empty for no name.
     */
    explicit Id(value_type name) noexcept
        : m_name{std::move(name)}
    {
    }

    /** @return Text of the name; empty if it was never set. */
    [[nodiscard]] const value_type &text() const noexcept
    {
        return m_name;
    }

    /** @return True if the text is empty, as after default construction. */
    [[nodiscard]] bool empty() const noexcept
    {
        return m_name.empty();
    }

    [[nodiscard]] auto operator<=>(const Id &) const = default;
    [[nodiscard]] bool operator==(const Id &) const = default;

private:
    value_type m_name;
};

} // namespace oleanderwick::core

template <typename Tag>
struct std::hash<oleanderwick::core::Id<Tag>> {
    [[nodiscard]] std::size_t operator()(const oleanderwick::core::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text());
    }
};
