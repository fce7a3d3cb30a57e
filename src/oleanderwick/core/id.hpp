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
 * @brief Name of one kind of thing; names of different kinds do not mix.
 * @tparam Tag Kind of thing that is named.
 */
template <typename Tag>
class Id
{
public:
    /** @brief Representation of the name. */
    using value_type = std::string;

    Id() = default;

    /**
     * @brief Wraps a name.
     * @param name Text of the name.
     */
    explicit Id(value_type name) noexcept
        : m_name{std::move(name)}
    {
    }

    /** @return The text of the name. */
    [[nodiscard]] const value_type &text() const noexcept
    {
        return m_name;
    }

    /** @return True for the name that was never set. */
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
