#include "platform/internal/row_json.h"

namespace dragonflytray::internal {

using nlohmann::json;

namespace {

    template <typename Enum, std::size_t Count>
    Enum decodeEnum(const json& value, const NameTable<Enum, Count>& table)
    {
        auto parsed = table.parse(value.get<std::string>());
        if (!parsed)
            throw std::runtime_error("unknown name " + value.get<std::string>());
        return *parsed;
    }

    json encodeCapacity(const Capacity& capacity)
    {
        return { { "processors", capacity.processors }, { "memoryGigabytes", capacity.memoryGigabytes }, { "accelerators", capacity.accelerators } };
    }

    Capacity decodeCapacity(const json& value)
    {
        return { value.at("processors").get<double>(), value.at("memoryGigabytes").get<double>(), value.at("accelerators").get<int>() };
    }

    json encode(const LeaderRow& row)
    {
        return { { "holder", row.holder.value() }, { "epoch", row.epoch } };
    }

    json encode(const LeaderBeatRow& row)
    {
        return { { "epoch", row.epoch }, { "beat", row.beat } };
    }

    json encode(const ConfigurationRow& row)
    {
        json history = json::array();
        for (const ConfigurationRecord& record : row.history)
            history.push_back({ { "version", record.version }, { "objectKey", record.objectKey }, { "writer", record.writer.value() } });
        return { { "version", row.version }, { "objectKey", row.objectKey }, { "history", history } };
    }

    json encode(const RequestRow& row)
    {
        return { { "entryHost", row.entryHost.value() } };
    }

    json encode(const Job& job)
    {
        json failedOn = json::array();
        for (const HostName& worker : job.failedOn)
            failedOn.push_back(worker.value());
        return {
            { "id", job.id.value() },
            { "team", job.team.value() },
            { "batchClass", job.batchClass.value() },
            { "priority", priorityNames.nameOf(job.priority) },
            { "need", encodeCapacity(job.need) },
            { "declaredRunMilliseconds", toMilliseconds(job.declaredRunTime) },
            { "payload", job.payload },
            { "dataCentre", job.dataCentre.value() },
            { "state", jobStateNames.nameOf(job.state) },
            { "attempt", job.attempt },
            { "worker", job.worker.value() },
            { "epoch", job.epoch },
            { "failures", job.failures },
            { "evictions", job.evictions },
            { "checkpoint", job.checkpoint },
            { "result", job.result },
            { "reason", job.reason },
            { "isCancelRequested", job.isCancelRequested },
            { "failedOn", failedOn },
        };
    }

    TableRow decodeLeader(const json& value)
    {
        return LeaderRow { HostName(value.at("holder").get<std::string>()), value.at("epoch").get<Epoch>() };
    }

    TableRow decodeLeaderBeat(const json& value)
    {
        return LeaderBeatRow { value.at("epoch").get<Epoch>(), value.at("beat").get<std::uint64_t>() };
    }

    TableRow decodeJob(const json& value)
    {
        Job job;
        job.id = JobId(value.at("id").get<std::string>());
        job.team = TeamName(value.at("team").get<std::string>());
        job.batchClass = BatchClassName(value.at("batchClass").get<std::string>());
        job.priority = decodeEnum(value.at("priority"), priorityNames);
        job.need = decodeCapacity(value.at("need"));
        job.declaredRunTime = std::chrono::milliseconds(value.at("declaredRunMilliseconds").get<long long>());
        job.payload = value.at("payload").get<std::string>();
        job.dataCentre = DataCentreName(value.at("dataCentre").get<std::string>());
        job.state = decodeEnum(value.at("state"), jobStateNames);
        job.attempt = value.at("attempt").get<std::uint32_t>();
        job.worker = HostName(value.at("worker").get<std::string>());
        job.epoch = value.at("epoch").get<Epoch>();
        job.failures = value.at("failures").get<std::uint32_t>();
        job.evictions = value.at("evictions").get<std::uint32_t>();
        job.checkpoint = value.at("checkpoint").get<std::string>();
        job.result = value.at("result").get<std::string>();
        job.reason = value.at("reason").get<std::string>();
        job.isCancelRequested = value.value("isCancelRequested", false);
        for (const json& worker : value.value("failedOn", json::array()))
            job.failedOn.emplace_back(worker.get<std::string>());
        return job;
    }

    TableRow decodeConfiguration(const json& value)
    {
        ConfigurationRow row { value.at("version").get<ConfigurationVersion>(), value.at("objectKey").get<std::string>(), {} };
        for (const json& record : value.value("history", json::array()))
            row.history.push_back({ record.at("version").get<ConfigurationVersion>(), record.at("objectKey").get<std::string>(), TransactionId(record.at("writer").get<std::string>()) });
        return row;
    }

    TableRow decodeRequest(const json& value)
    {
        return RequestRow { HostName(value.at("entryHost").get<std::string>()) };
    }

    // In the order of RowKind.
    using Decoder = TableRow (*)(const json&);
    constexpr std::array<Decoder, rowKindNames.size()> decoders { &decodeLeader, &decodeLeaderBeat, &decodeJob, &decodeConfiguration, &decodeRequest };

} // namespace

std::string formatKey(const RowKey& key)
{
    return std::string(rowKindNames.nameOf(key.kind)) + "/" + key.name;
}

std::optional<RowKey> parseKey(const std::string& text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos)
        return std::nullopt;
    auto kind = rowKindNames.parse(std::string_view(text).substr(0, slash));
    if (!kind)
        return std::nullopt;
    return RowKey { *kind, text.substr(slash + 1) };
}

json encodeRow(const TableRow& row)
{
    return std::visit([](const auto& value) { return encode(value); }, row);
}

json encodeTransaction(const Transaction& transaction)
{
    json conditions = json::array();
    for (const RowCondition& condition : transaction.conditions)
        conditions.push_back({ { "key", formatKey(condition.key) }, { "version", condition.version } });
    json writes = json::array();
    for (const RowWrite& write : transaction.writes)
        writes.push_back({ { "key", formatKey(write.key) }, { "value", encodeRow(write.value) } });
    json deletes = json::array();
    for (const RowKey& key : transaction.deletes)
        deletes.push_back(formatKey(key));
    return { { "id", transaction.id.value() }, { "conditions", conditions }, { "writes", writes }, { "deletes", deletes } };
}

std::optional<RowChange> decodeRow(const json& value)
{
    try {
        auto key = parseKey(value.at("key").get<std::string>());
        if (!key)
            return std::nullopt;
        RowChange change { *key, value.at("version").get<RowVersion>(), TransactionId(value.value("transaction", "")), std::nullopt };
        if (value.contains("value") && !value["value"].is_null())
            change.value = decoders[indexOf(key->kind)](value["value"]);
        return change;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace dragonflytray::internal
