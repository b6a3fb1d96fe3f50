#include "gateway/worker_encoding.h"

#include "json/json.h"

namespace dragonflytray {

using nlohmann::json;

namespace {

    constexpr unsigned statusOk = 200;

    json encodeStart(const TaskStart& start)
    {
        return {
            { "job", start.job.value() },
            { "attempt", start.attempt },
            { "processors", start.need.processors },
            { "memoryGigabytes", start.need.memoryGigabytes },
            { "accelerators", start.need.accelerators },
            { "declaredRunMilliseconds", toMilliseconds(start.declaredRunTime) },
            { "payload", start.payload },
            { "checkpoint", start.checkpoint },
        };
    }

    json encodeStops(const std::vector<TaskAttempt>& stops)
    {
        json result = json::array();
        for (const TaskAttempt& stop : stops)
            result.push_back({ { "job", stop.job.value() }, { "attempt", stop.attempt }, { "checkpoint", stop.shouldCheckpoint } });
        return result;
    }

    TaskReport decodeReport(const json& value)
    {
        TaskReport report;
        report.job = JobId(value.at("job").get<std::string>());
        report.attempt = value.at("attempt").get<std::uint32_t>();
        report.phase = taskPhaseNames.parse(value.at("phase").get<std::string>()).value_or(TaskPhase::Unknown);
        report.result = value.value("result", "");
        report.checkpoint = value.value("checkpoint", "");
        report.usage = { value.value("processors", 0.0), value.value("memoryGigabytes", 0.0), value.value("accelerators", 0) };
        return report;
    }

} // namespace

HttpRequest encodeContact(const ContactWorker& contact)
{
    json starts = json::array();
    for (const TaskStart& start : contact.starts)
        starts.push_back(encodeStart(start));
    const json body {
        { "worker", contact.worker.value() },
        { "dataCentre", contact.dataCentre.value() },
        { "epoch", contact.epoch },
        { "leaseMilliseconds", toMilliseconds(contact.lease) },
        { "starts", starts },
        { "stops", encodeStops(contact.stops) },
        { "renewals", encodeStops(contact.renewals) },
    };
    return { .method = HttpMethod::Post, .target = "/v1/contact", .headers = {}, .body = serializeJson(body) };
}

BatchCommand decodeContact(const HostName& worker, Epoch epoch, const tl::expected<HttpResponse, SendFailure>& answer)
{
    if (!answer || answer->status != statusOk)
        return WorkerUnreachable { worker, epoch };
    try {
        WorkerReported reported { worker, epoch, {} };
        const json body = parseJson(answer->body);
        for (const json& value : body.at("reports"))
            reported.reports.push_back(decodeReport(value));
        return reported;
    } catch (const json::exception&) {
        return WorkerUnreachable { worker, epoch };
    }
}

} // namespace dragonflytray
