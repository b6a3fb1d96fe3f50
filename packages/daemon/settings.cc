#include "daemon/settings.h"

#include "transport/transport.h"
#include "yaml/yaml.h"

namespace dragonflytray {

namespace {

    constexpr double largestCount = 1e9;

    Endpoint readEndpoint(YamlMap& map, const std::string& key)
    {
        const std::string text = map.text(key);
        if (text.empty())
            return {};
        auto endpoint = parseEndpoint(text);
        if (!endpoint)
            map.addFinding(key, "`" + key + "` must be an IP address and a port", "for example 127.0.0.1:8080");
        return endpoint.value_or(Endpoint {});
    }

    std::size_t readCount(YamlMap& map, const std::string& key, std::size_t fallback)
    {
        return static_cast<std::size_t>(map.number(key, { .minimum = 1, .maximum = largestCount, .fallback = static_cast<double>(fallback), .isWhole = true }));
    }

    Duration readMilliseconds(YamlMap& map, const std::string& key, Duration fallback)
    {
        return std::chrono::milliseconds(static_cast<long long>(map.number(key, { .maximum = largestCount, .fallback = static_cast<double>(toMilliseconds(fallback)) })));
    }

    Limits readLimits(YamlMap map)
    {
        Limits limits;
        limits.bodyBytes = readCount(map, "bodyBytes", limits.bodyBytes);
        limits.headerBytes = readCount(map, "headerBytes", limits.headerBytes);
        limits.connections = readCount(map, "connections", limits.connections);
        limits.ringMessages = readCount(map, "ringMessages", limits.ringMessages);
        limits.platformTimeout = readMilliseconds(map, "platformTimeoutMilliseconds", limits.platformTimeout);
        limits.watchSilence = readMilliseconds(map, "watchSilenceMilliseconds", limits.watchSilence);
        limits.shutdownGrace = readMilliseconds(map, "shutdownGraceMilliseconds", limits.shutdownGrace);
        map.finish();
        return limits;
    }

    LogOptions readLog(YamlMap map)
    {
        LogOptions log;
        log.level = map.choice("level", logLevelNames, log.level);
        log.format = map.choice("format", logFormatNames, log.format);
        map.finish();
        return log;
    }

} // namespace

tl::expected<Settings, Findings> parseSettings(const std::string& text, const std::string& file)
{
    Findings findings;
    YamlMap root = YamlMap::parse(text, file, findings);
    if (!findings.isEmpty())
        return tl::unexpected(std::move(findings));
    Settings settings;
    settings.host = HostName(root.text("host"));
    settings.dataCentre = DataCentreName(root.text("dataCentre"));
    settings.region = RegionName(root.text("region"));
    settings.callers = readEndpoint(root, "callers");
    settings.peers = readEndpoint(root, "peers");
    settings.platform = readEndpoint(root, "platform");
    settings.seed = static_cast<std::uint64_t>(root.number("seed", { .maximum = largestCount, .fallback = 1, .isWhole = true }));
    settings.shareSource = root.choice("shareSource", shareSourceNames, settings.shareSource);
    settings.limits = readLimits(root.map("limits"));
    settings.log = readLog(root.map("log"));
    root.finish();
    if (!findings.isEmpty())
        return tl::unexpected(std::move(findings));
    return settings;
}

} // namespace dragonflytray
