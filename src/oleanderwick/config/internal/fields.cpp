#include "fields.hpp"

#include <algorithm>

namespace oleanderwick::config::internal
{

FieldReader::FieldReader(const nlohmann::json &object, std::string path, std::vector<std::string> &errors)
    : m_object{object}
    , m_path{std::move(path)}
    , m_errors{errors}
{
    if (!m_object.is_object()) {
        m_errors.push_back((m_path.empty() ? "/" : m_path) + ": has to be an object");
    }
}

std::string FieldReader::pathOf(const std::string &name) const
{
    return m_path + "/" + name;
}

void FieldReader::fail(const std::string &name, const std::string &message)
{
    m_errors.push_back(pathOf(name) + ": " + message);
}

const nlohmann::json *FieldReader::find(const char *name, bool required)
{
    m_knownFields.emplace_back(name);
    if (!m_object.is_object()) {
        return nullptr;
    }
    const auto field = m_object.find(name);
    if (field != m_object.end()) {
        return &*field;
    }
    if (required) {
        fail(name, "is missing");
    }
    return nullptr;
}

void FieldReader::text(const char *name, std::string &value, bool required)
{
    const nlohmann::json *field = find(name, required);
    if (field == nullptr) {
        return;
    }
    if (!field->is_string()) {
        fail(name, "has to be a string");
        return;
    }
    value = field->get<std::string>();
}

void FieldReader::number(const char *name, std::uint32_t &value, bool required)
{
    const nlohmann::json *field = find(name, required);
    if (field == nullptr) {
        return;
    }
    if (!field->is_number_unsigned() || field->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
        fail(name, "has to be a whole number from 0 to 4294967295");
        return;
    }
    value = field->get<std::uint32_t>();
}

void FieldReader::boolean(const char *name, bool &value)
{
    const nlohmann::json *field = find(name, false);
    if (field == nullptr) {
        return;
    }
    if (!field->is_boolean()) {
        fail(name, "has to be true or false");
        return;
    }
    value = field->get<bool>();
}

const nlohmann::json *FieldReader::object(const char *name)
{
    const nlohmann::json *field = find(name, false);
    if (field != nullptr && !field->is_object()) {
        fail(name, "has to be an object");
        return nullptr;
    }
    return field;
}

const nlohmann::json *FieldReader::array(const char *name)
{
    const nlohmann::json *field = find(name, false);
    if (field != nullptr && !field->is_array()) {
        fail(name, "has to be an array");
        return nullptr;
    }
    return field;
}

void FieldReader::rejectUnknown()
{
    if (!m_object.is_object()) {
        return;
    }
    for (auto field = m_object.begin(); field != m_object.end(); ++field) {
        if (std::find(m_knownFields.begin(), m_knownFields.end(), field.key()) == m_knownFields.end()) {
            fail(field.key(), "is not a known field");
        }
    }
}

} // namespace oleanderwick::config::internal
