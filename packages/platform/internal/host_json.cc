#include "platform/internal/host_json.h"

#include "transport/transport.h"

namespace dragonflytray::internal {

using nlohmann::json;

std::optional<Host> decodeHost(const json& value)
{
    try {
        Host host;
        host.name = HostName(value.at("name").get<std::string>());
        auto kind = hostKindNames.parse(value.at("kind").get<std::string>());
        auto state = hostStateNames.parse(value.value("state", "live"));
        auto endpoint = parseEndpoint(value.at("endpoint").get<std::string>());
        if (!kind || !state || !endpoint)
            return std::nullopt;
        host.kind = *kind;
        host.state = *state;
        host.endpoint = *endpoint;
        host.peerEndpoint = parseEndpoint(value.value("peerEndpoint", "")).value_or(Endpoint {});
        host.dataCentre = DataCentreName(value.at("dataCentre").get<std::string>());
        host.rack = RackName(value.value("rack", ""));
        host.service = ServiceName(value.value("service", ""));
        host.worker = HostName(value.value("worker", ""));
        host.slots = value.value("slots", 0);
        host.connections = value.value("connections", 0);
        host.capacity = { value.value("processors", 0.0), value.value("memoryGigabytes", 0.0), value.value("accelerators", 0) };
        return host;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

json encodeHost(const Host& host)
{
    json value {
        { "name", host.name.value() },
        { "kind", hostKindNames.nameOf(host.kind) },
        { "state", hostStateNames.nameOf(host.state) },
        { "endpoint", formatEndpoint(host.endpoint) },
        { "dataCentre", host.dataCentre.value() },
        { "rack", host.rack.value() },
    };
    if (host.kind == HostKind::EntryHost)
        value["peerEndpoint"] = formatEndpoint(host.peerEndpoint);
    if (host.kind == HostKind::Runner) {
        value["service"] = host.service.value();
        value["worker"] = host.worker.value();
        value["slots"] = host.slots;
        value["connections"] = host.connections;
    }
    if (host.kind == HostKind::Worker) {
        value["processors"] = host.capacity.processors;
        value["memoryGigabytes"] = host.capacity.memoryGigabytes;
        value["accelerators"] = host.capacity.accelerators;
    }
    return value;
}

} // namespace dragonflytray::internal
