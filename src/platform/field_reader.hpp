#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wire.hpp"

namespace oleanderwick::platform
{

/** @brief Numbers that a field may have. */
struct IntegerRange {
    std::int64_t least{0};
    std::int64_t most{0};

    [[nodiscard]] bool operator==(const IntegerRange &) const = default;
};

/** @name Ranges of fields from outside; sums over all jobs and workers of a fleet stay far from the limits of 64-bit integers */
/** @{ */
inline constexpr IntegerRange cpuRange{0, 1'000'000'000}; /**< Thousandths of a core. */
inline constexpr IntegerRange memoryRange{0, 1'000'000'000'000}; /**< Megabytes. */
inline constexpr IntegerRange gpuRange{0, 1'000'000};
inline constexpr IntegerRange durationRange{0, 1'000'000'000'000}; /**< Milliseconds. */
inline constexpr IntegerRange unixTimeRange{0, 1'000'000'000'000'000}; /**< Milliseconds. */
inline constexpr IntegerRange counterRange{0, 1LL << 53}; /**< Run numbers, numbers of run ends, and the like. */
/** @} */

/** @brief Reads fields of a JSON object from outside and remembers the first one that is malformed. */
class FieldReader
{
public:
    /**
     * @brief Creates a reader.
     * @param object Object to read from; must outlive the reader. A value of another type reads as an object without fields.
     */
    explicit FieldReader(const json &object);

    /**
     * @brief Reads an integer; a floating-point number is rounded.
     * @param name Name of the field.
     * @param range Numbers that the field may have.
     * @param fallback Value if the field is missing or null.
     * @return The number; the fallback also if the field is malformed.
     */
    [[nodiscard]] std::int64_t integer(const char *name, const IntegerRange &range, std::int64_t fallback = 0);

    /**
     * @brief Reads a string.
     * @param name Name of the field.
     * @return The string; empty if the field is missing, null or malformed.
     */
    [[nodiscard]] std::string string(const char *name);

    /**
     * @brief Reads a boolean.
     * @param name Name of the field.
     * @return The value; false if the field is missing, null or malformed.
     */
    [[nodiscard]] bool boolean(const char *name);

    /** @return Resource amounts of the fields `cpu`, `mem_mb` and `gpu`; 0 for each one that is missing, null or malformed. */
    [[nodiscard]] jobs::Resources resources();

    /**
     * @brief Finds a field of a type.
     * @param name Name of the field.
     * @param type Type that the field has to have.
     * @return The field; null if it is missing, null or malformed.
     */
    [[nodiscard]] const json *find(const char *name, json::value_t type);

    /**
     * @brief Records that a field is malformed; only the first one counts.
     * @param name Name of the field.
     * @param reason What is wrong with it.
     */
    void fail(std::string_view name, std::string_view reason);

    /** @return Which field is malformed and why; empty if none is. */
    [[nodiscard]] const std::string &error() const noexcept;

private:
    [[nodiscard]] const json *find(const char *name) const;

    const json &m_object;
    std::string m_error;
};

} // namespace oleanderwick::platform
