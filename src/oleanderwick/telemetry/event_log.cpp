#include "event_log.hpp"

#include <cstdint>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace oleanderwick::telemetry
{

Event::Event(std::string_view name)
    : m_line{"event="}
{
    m_line += name;
}

Event &Event::with(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    const bool isPlain = !value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos;
    if (isPlain) {
        m_line += value;
        return *this;
    }
    m_line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            m_line += '\\';
        }
        m_line += character == '\n' || character == '\r' || character == '\t' ? ' ' : character;
    }
    m_line += '"';
    return *this;
}

Event &Event::with(std::string_view key, std::int64_t value)
{
    return with(key, std::string_view{std::to_string(value)});
}

Event &Event::append(std::string_view pairs)
{
    if (!pairs.empty()) {
        m_line += ' ';
        m_line += pairs;
    }
    return *this;
}

const std::string &Event::line() const noexcept
{
    return m_line;
}

void configureLog()
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    el::Loggers::reconfigureAllLoggers(settings);
}

void log(const Event &event)
{
    LOG(INFO) << event.line();
}

} // namespace oleanderwick::telemetry
