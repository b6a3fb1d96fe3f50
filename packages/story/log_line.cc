#include "story/log_line.h"

#include "json/json.h"

namespace dragonflytray {

namespace {

    std::string textOf(const nlohmann::json& object, const char* name)
    {
        const auto found = object.find(name);
        if (found == object.end())
            return {};
        return found->is_string() ? found->get<std::string>() : serializeJson(*found);
    }

    long numberOf(const nlohmann::json& object, const char* name)
    {
        const std::string text = textOf(object, name);
        return text.empty() ? 0 : std::strtol(text.c_str(), nullptr, 10);
    }

    // lastWordOf() is the last word before the object; collectors may write a time before the host.
    std::string lastWordOf(std::string_view text)
    {
        const auto end = text.find_last_not_of(" \t:");
        if (end == std::string_view::npos)
            return {};
        const auto begin = text.find_last_of(" \t", end);
        return std::string(text.substr(begin == std::string_view::npos ? 0 : begin + 1, end - (begin == std::string_view::npos ? 0 : begin + 1) + 1));
    }

} // namespace

tl::expected<LogLine, LineFault> parseLogLine(const std::string& host, std::string_view text)
{
    const auto begin = text.find('{');
    if (begin == std::string_view::npos)
        return tl::make_unexpected(LineFault::NoObject);
    const nlohmann::json object = parseJson(text.substr(begin));
    if (!object.is_object())
        return tl::make_unexpected(LineFault::Cut);
    const std::string named = lastWordOf(text.substr(0, begin));
    LogLine line {
        .host = named.empty() ? host : named,
        .time = textOf(object, "time"),
        .event = textOf(object, "event"),
        .id = textOf(object, "id"),
        .worker = textOf(object, "worker"),
        .outcome = textOf(object, "outcome"),
        .ageMilliseconds = numberOf(object, "ageMs"),
    };
    if (line.time.empty())
        return tl::make_unexpected(LineFault::NoTime);
    return line;
}

} // namespace dragonflytray
