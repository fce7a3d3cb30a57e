#include "json_reading.hpp"

#include <cmath>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>

namespace oleanderwick::core
{

namespace internal
{

using nlohmann::json;

/** Builds a value from the events of the parser, and ends the parsing at the first one that is out of bounds. */
class BoundedBuilder
{
public:
    explicit BoundedBuilder(std::size_t maxValues)
        : m_maxValues{maxValues}
    {
    }

    [[nodiscard]] json &root() noexcept
    {
        return m_root;
    }

    [[nodiscard]] const std::string &error() const noexcept
    {
        return m_error;
    }

    /** @name Events, with the names that the parser calls */
    /** @{ */
    bool null()
    {
        return add(nullptr);
    }

    bool boolean(bool value)
    {
        return add(value);
    }

    bool number_integer(std::int64_t value) // NOLINT(readability-identifier-naming)
    {
        return add(value);
    }

    bool number_unsigned(std::uint64_t value) // NOLINT(readability-identifier-naming)
    {
        constexpr std::uint64_t maxInteger = std::numeric_limits<std::int64_t>::max();
        return value <= maxInteger ? add(value) : fail("a number is out of range");
    }

    bool number_float(double value, const std::string & /*text*/) // NOLINT(readability-identifier-naming)
    {
        // Also false for a number that is not finite.
        constexpr double beyondIntegers = 9223372036854775808.0;
        return std::abs(value) < beyondIntegers ? add(value) : fail("a number is out of range");
    }

    bool string(std::string &value)
    {
        return add(std::move(value));
    }

    bool binary(json::binary_t & /*value*/)
    {
        return fail("binary values are not JSON");
    }

    bool start_object(std::size_t /*count*/) // NOLINT(readability-identifier-naming)
    {
        return open(json::value_t::object);
    }

    bool key(std::string &name)
    {
        m_field = &(*m_open.back())[std::move(name)];
        return true;
    }

    bool end_object() // NOLINT(readability-identifier-naming)
    {
        return close();
    }

    bool start_array(std::size_t /*count*/) // NOLINT(readability-identifier-naming)
    {
        return open(json::value_t::array);
    }

    bool end_array() // NOLINT(readability-identifier-naming)
    {
        return close();
    }

    bool parse_error(std::size_t position, const std::string & /*token*/, const json::exception &error) // NOLINT(readability-identifier-naming)
    {
        // The parser's own message may quote bytes that are not printable.
        constexpr int numberOverflow = 406;
        return fail(error.id == numberOverflow ? "a number is out of range" : absl::StrCat("malformed JSON at byte ", position));
    }
    /** @} */

private:
    bool fail(std::string error)
    {
        m_error = std::move(error);
        return false;
    }

    bool add(json value)
    {
        return isWithinLimit() && place(std::move(value)) != nullptr;
    }

    bool isWithinLimit()
    {
        return ++m_values <= m_maxValues || fail(absl::StrCat("more than ", m_maxValues, " values"));
    }

    bool open(json::value_t type)
    {
        if (m_open.size() >= maxJsonDepth) {
            return fail(absl::StrCat("nested more than ", maxJsonDepth, " levels deep"));
        }
        if (!isWithinLimit()) {
            return false;
        }
        m_open.push_back(place(json(type)));
        return true;
    }

    bool close()
    {
        m_open.pop_back();
        return true;
    }

    json *place(json value)
    {
        if (m_open.empty()) {
            m_root = std::move(value);
            return &m_root;
        }
        if (m_open.back()->is_array()) {
            m_open.back()->push_back(std::move(value));
            return &m_open.back()->back();
        }
        *m_field = std::move(value);
        return m_field;
    }

    json m_root;
    std::vector<json *> m_open; /**< Arrays and objects that contain the current position, the innermost last. */
    json *m_field{nullptr}; /**< Field of the innermost object that gets the next value. */
    std::size_t m_maxValues;
    std::size_t m_values{0};
    std::string m_error;
};

} // namespace internal

absl::StatusOr<nlohmann::json> parseJson(std::string_view text, std::size_t maxValues)
{
    internal::BoundedBuilder builder{maxValues};
    if (!nlohmann::json::sax_parse(text, &builder)) {
        return absl::InvalidArgumentError(builder.error());
    }
    return std::move(builder.root());
}

nlohmann::json parseJsonOrDiscard(std::string_view text, std::size_t maxValues)
{
    absl::StatusOr<nlohmann::json> value = parseJson(text, maxValues);
    return value.ok() ? *std::move(value) : nlohmann::json(nlohmann::json::value_t::discarded);
}

} // namespace oleanderwick::core
