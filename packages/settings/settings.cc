#include "settings/settings.h"

#include "transport/transport.h"

namespace dragonflytray {

Endpoint readEndpoint(YamlMap& map, const std::string& key, Presence presence)
{
    const std::string text = presence == Presence::Required ? map.text(key) : map.text(key, "");
    if (text.empty())
        return {};
    auto endpoint = parseEndpoint(text);
    if (!endpoint)
        map.addFinding(key, "`" + key + "` must be an IP address and a port", "for example 127.0.0.1:8080");
    return endpoint.value_or(Endpoint {});
}

Duration readMilliseconds(YamlMap& map, const std::string& key, NumberRule bounds, Duration fallback)
{
    bounds.fallback = static_cast<double>(toMilliseconds(fallback));
    return std::chrono::milliseconds(static_cast<long long>(map.number(key, bounds)));
}

LogOptions readLog(YamlMap map)
{
    LogOptions log;
    log.level = map.choice("level", logLevelNames, log.level);
    log.format = map.choice("format", logFormatNames, log.format);
    map.finish();
    return log;
}

} // namespace dragonflytray
