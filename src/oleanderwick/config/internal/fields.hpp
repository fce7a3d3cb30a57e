#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace oleanderwick::config::internal
{

/** @brief Reads the fields of a JSON object and gathers every error by its path. */
class FieldReader
{
public:
    /**
     * @brief Starts reading an object.
     * @param object JSON value that has to be an object.
     * @param path Path of the value in the document.
     * @param errors Where errors are added.
     */
    FieldReader(const nlohmann::json &object, std::string path, std::vector<std::string> &errors);

    /** @brief Reads a text; absent leaves the value. */
    void text(const char *name, std::string &value, bool required = false);
    /** @brief Reads a number from 0 to 2^32-1; absent leaves the value. */
    void number(const char *name, std::uint32_t &value, bool required = false);
    /** @brief Reads a truth value; absent leaves the value. */
    void boolean(const char *name, bool &value);

    /**
     * @brief Finds an object field.
     * @param name Name of the field.
     * @return The object, or null if it is absent or no object.
     */
    [[nodiscard]] const nlohmann::json *object(const char *name);

    /**
     * @brief Finds an array field.
     * @param name Name of the field.
     * @return The array, or null if it is absent or no array.
     */
    [[nodiscard]] const nlohmann::json *array(const char *name);

    /** @brief Adds an error for each field that nobody asked for. */
    void rejectUnknown();

    /** @return The path of a field. */
    [[nodiscard]] std::string pathOf(const std::string &name) const;

    /** @brief Adds an error at a field. */
    void fail(const std::string &name, const std::string &what);

private:
    [[nodiscard]] const nlohmann::json *find(const char *name, bool required);

    const nlohmann::json &m_object;
    std::string m_path;
    std::vector<std::string> &m_errors;
    std::vector<std::string> m_known;
};

} // namespace oleanderwick::config::internal
