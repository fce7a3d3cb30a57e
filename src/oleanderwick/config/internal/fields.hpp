#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace oleanderwick::config::internal
{

/** @brief Reads the fields of a JSON object and collects all errors with their paths. */
class FieldReader
{
public:
    /**
     * @brief Starts reading an object; adds an error if the value is not one.
     * @param object JSON value; has to outlive the reader.
     * @param path Path of the value in the document; empty for the root.
     * @param errors Receives one line per error; has to outlive the reader.
     */
    FieldReader(const nlohmann::json &object, std::string path, std::vector<std::string> &errors);

    /** @brief Reads a string; `value` stays unchanged if the field is invalid (an error) or absent (an error only if `required`). */
    void text(const char *name, std::string &value, bool required = false);
    /** @brief Reads an integer from 0 to 2^32-1; `value` stays unchanged if the field is invalid (an error) or absent (an error only if `required`). */
    void number(const char *name, std::uint32_t &value, bool required = false);
    /** @brief Reads a boolean; `value` stays unchanged if the field is invalid (an error) or absent. */
    void boolean(const char *name, bool &value);

    /**
     * @brief Finds an object field.
     * @param name Name of the field.
     * @return The object, or null if the field is absent or has another type; the latter adds an error.
     */
    [[nodiscard]] const nlohmann::json *object(const char *name);

    /**
     * @brief Finds an array field.
     * @param name Name of the field.
     * @return The array, or null if the field is absent or has another type; the latter adds an error.
     */
    [[nodiscard]] const nlohmann::json *array(const char *name);

    /** @brief Adds an error for each field that none of the calls above named. */
    void rejectUnknown();

    /** @return Path of a field in the document. */
    [[nodiscard]] std::string pathOf(const std::string &name) const;

    /** @brief Adds an error with the path of a field. */
    void fail(const std::string &name, const std::string &message);

private:
    [[nodiscard]] const nlohmann::json *find(const char *name, bool required);

    const nlohmann::json &m_object;
    std::string m_path;
    std::vector<std::string> &m_errors;
    std::vector<std::string> m_knownFields;
};

} // namespace oleanderwick::config::internal
