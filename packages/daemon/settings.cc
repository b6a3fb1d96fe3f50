#include "daemon/settings.h"

#include "settings/settings.h"

namespace dragonflytray {

namespace {

    constexpr double largestCount = 1e9;
    constexpr NumberRule millisecondBounds { .maximum = largestCount };

    std::size_t readCount(YamlMap& map, const std::string& key, std::size_t fallback)
    {
        return static_cast<std::size_t>(map.number(key, { .minimum = 1, .maximum = largestCount, .fallback = static_cast<double>(fallback), .isWhole = true }));
    }

    Limits readLimits(YamlMap map)
    {
        Limits limits;
        limits.bodyBytes = readCount(map, "bodyBytes", limits.bodyBytes);
        limits.headerBytes = readCount(map, "headerBytes", limits.headerBytes);
        limits.connections = readCount(map, "connections", limits.connections);
        limits.ringMessages = readCount(map, "ringMessages", limits.ringMessages);
        limits.platformTimeout = readMilliseconds(map, "platformTimeoutMilliseconds", millisecondBounds, limits.platformTimeout);
        limits.watchSilence = readMilliseconds(map, "watchSilenceMilliseconds", millisecondBounds, limits.watchSilence);
        limits.shutdownGrace = readMilliseconds(map, "shutdownGraceMilliseconds", millisecondBounds, limits.shutdownGrace);
        map.finish();
        return limits;
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
    settings.callers = readEndpoint(root, "callers", Presence::Required);
    settings.peers = readEndpoint(root, "peers", Presence::Required);
    settings.platform = readEndpoint(root, "platform", Presence::Required);
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
