#include "field_reader.hpp"

#include <absl/strings/str_cat.h>

namespace oleanderwick::platform
{

FieldReader::FieldReader(const json &object)
    : m_object{object}
{
}

const json *FieldReader::find(const char *name) const
{
    const auto field = m_object.find(name);
    return field == m_object.end() || field->is_null() ? nullptr : &*field;
}

const json *FieldReader::find(const char *name, json::value_t type)
{
    const json *field = find(name);
    if (field != nullptr && field->type() != type) {
        fail(name, absl::StrCat("is a ", field->type_name()));
        return nullptr;
    }
    return field;
}

std::int64_t FieldReader::integer(const char *name, const IntegerRange &range, std::int64_t fallback)
{
    const json *field = find(name);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->is_number()) {
        fail(name, absl::StrCat("is a ", field->type_name(), " instead of a number"));
        return fallback;
    }
    const std::int64_t value = readInteger(m_object, name);
    if (value < range.least || value > range.most) {
        fail(name, "is out of range");
        return fallback;
    }
    return value;
}

std::string FieldReader::string(const char *name)
{
    const json *field = find(name, json::value_t::string);
    return field == nullptr ? std::string{} : field->get<std::string>();
}

bool FieldReader::boolean(const char *name)
{
    const json *field = find(name, json::value_t::boolean);
    return field != nullptr && field->get<bool>();
}

jobs::Resources FieldReader::resources()
{
    return {integer("cpu", cpuRange), integer("mem_mb", memoryRange), integer("gpu", gpuRange)};
}

void FieldReader::fail(std::string_view name, std::string_view reason)
{
    if (m_error.empty()) {
        m_error = absl::StrCat(std::string{name}, " ", std::string{reason});
    }
}

const std::string &FieldReader::error() const noexcept
{
    return m_error;
}

} // namespace oleanderwick::platform
