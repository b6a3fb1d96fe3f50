#include "entry/agent_encoding.h"

#include "json/json.h"
#include "json/number_limits.h"
#include <stdexcept>

namespace dragonflytray {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint16_t maxPort = 65535;
    constexpr int maxPercent = 100;
    constexpr std::uint64_t maxSession = std::numeric_limits<std::uint64_t>::max();

    // The position of each kind of call in WorkerCall, which is its code in a message.
    enum class CallCode {
        Poll,
        Start,
        Stop,
        SetSpeed,
    };
    static_assert(std::variant_size_v<WorkerCall> == indexOf(CallCode::SetSpeed) + 1);

    template <typename Number>
    Number numberOf(const Json& json, std::type_identity_t<Number> max, std::type_identity_t<Number> min = 0)
    {
        const auto number = numberAs<Number>(json);
        if (!number || *number < min || *number > max)
            throw std::out_of_range("not a number in the range of its field");
        return *number;
    }

    std::uint64_t ordinalOf(const Json& json) { return numberOf<std::uint64_t>(json, maxOrdinal); }
    std::int64_t clockOf(const Json& json) { return numberOf<std::int64_t>(json, maxTime); }
    Duration periodOf(const Json& json) { return std::chrono::milliseconds(numberOf<std::int64_t>(json, maxPeriod)); }

    void append(Json& row, const WorkerAddress& to)
    {
        row.push_back(to.worker.value());
        row.push_back(to.endpoint.address);
        row.push_back(to.endpoint.port);
        row.push_back(toNumber(to.token));
    }

    void append(Json& row, const TaskRunId& run)
    {
        for (Json value : { Json(run.task.job.value()), Json(run.task.occurrence), Json(run.task.step), Json(run.task.index), Json(run.run) })
            row.push_back(std::move(value));
    }

    // RowReader reads the values of an array in their order. Its functions throw if a value is missing or invalid.
    class RowReader {
    public:
        explicit RowReader(const Json& row)
            : row(row)
        {
        }

        const Json& next() { return this->row.at(this->position++); }
        bool hasMore() const { return this->position < this->row.size(); }

        WorkerAddress address()
        {
            WorkerAddress to { WorkerId(this->next().get<std::string>()), {}, {} };
            to.endpoint.address = this->next().get<std::string>();
            to.endpoint.port = numberOf<std::uint16_t>(this->next(), maxPort);
            to.token = fencingTokenOf(ordinalOf(this->next()));
            return to;
        }

        TaskRunId run()
        {
            TaskRunId run { { JobId(this->next().get<std::string>()) } };
            for (std::uint32_t* number : { &run.task.occurrence, &run.task.step, &run.task.index })
                *number = numberOf<std::uint32_t>(this->next(), maxQuantity);
            run.run = ordinalOf(this->next());
            return run;
        }

    private:
        const Json& row;
        std::size_t position { 0 };
    };

    void encodeInto(Json& row, const PollWorker& call, Instant)
    {
        row.push_back(call.deadline ? Json(*call.deadline) : Json());
        row.push_back(call.acknowledged);
        row.push_back(toMilliseconds(call.wait));
    }

    void encodeInto(Json& row, const StartTask& call, Instant now)
    {
        append(row, call.run);
        row.push_back(call.checkpoint);
        row.push_back(call.deadline);
        row.push_back(toMilliseconds(std::max(call.expiresAt - now, Duration(0))));
    }

    void encodeInto(Json& row, const StopTask& call, Instant) { append(row, call.run); }

    void encodeInto(Json& row, const SetTaskSpeed& call, Instant)
    {
        append(row, call.run);
        row.push_back(call.percent);
    }

    WorkerCall decodePollCall(RowReader& row, Instant)
    {
        PollWorker call { .to = row.address(), .deadline = {}, .acknowledged = 0 };
        if (const Json& deadline = row.next(); !deadline.is_null())
            call.deadline = clockOf(deadline);
        call.acknowledged = ordinalOf(row.next());
        call.wait = periodOf(row.next());
        return call;
    }

    WorkerCall decodeStartCall(RowReader& row, Instant now)
    {
        StartTask call { .to = row.address(), .run = row.run(), .spec = {}, .checkpoint = {} };
        call.checkpoint = row.next().get<std::string>();
        call.deadline = clockOf(row.next());
        call.expiresAt = now + periodOf(row.next());
        return call;
    }

    WorkerCall decodeStopCall(RowReader& row, Instant) { return StopTask { row.address(), row.run() }; }

    WorkerCall decodeSpeedCall(RowReader& row, Instant)
    {
        SetTaskSpeed call { row.address(), row.run() };
        call.percent = numberOf<int>(row.next(), maxPercent);
        return call;
    }

    using CallDecoder = WorkerCall (*)(RowReader&, Instant now);
    constexpr std::array<CallDecoder, std::variant_size_v<WorkerCall>> callDecoders { &decodePollCall, &decodeStartCall, &decodeStopCall, &decodeSpeedCall };

    void decodeCall(const Json& json, Instant now, AgentRequest& request)
    {
        std::uint64_t number = 0;
        try {
            RowReader row(json);
            number = ordinalOf(row.next());
            const auto code = numberOf<std::size_t>(row.next(), callDecoders.size() - 1);
            AgentCall call { .number = number, .call = callDecoders[code](row, now) };
            if (row.hasMore())
                call.baseReport = ordinalOf(row.next());
            request.calls.push_back(std::move(call));
        } catch (const std::exception&) {
            request.unreadable.push_back(number); // the others are carried out
        }
    }

    Json encodeChange(const ReportChange& change)
    {
        Json changed = Json::array();
        for (const ChangedRun& run : change.changed) {
            Json row = Json::array({ run.index, run.load });
            if (run.percent || run.checkpoint) {
                row.push_back(run.percent ? Json(*run.percent) : Json());
                row.push_back(run.checkpoint ? Json(*run.checkpoint) : Json());
            }
            changed.push_back(std::move(row));
        }
        Json added = Json::array();
        for (const RunningTask& run : change.added) {
            Json row = Json::array();
            append(row, run.id);
            row.push_back(run.checkpoint);
            row.push_back(run.percent);
            row.push_back(run.load);
            added.push_back(std::move(row));
        }
        return Json::array({ change.removed, std::move(changed), std::move(added) });
    }

    ReportChange decodeChange(const Json& json)
    {
        ReportChange change;
        for (const Json& index : json.at(0))
            change.removed.push_back(numberOf<std::uint32_t>(index, maxQuantity));
        for (const Json& row : json.at(1)) {
            RowReader reader(row);
            ChangedRun run { .index = numberOf<std::uint32_t>(reader.next(), maxQuantity), .load = 0, .percent = {}, .checkpoint = {} };
            run.load = numberOf<std::int64_t>(reader.next(), maxQuantity);
            if (reader.hasMore()) {
                if (const Json& percent = reader.next(); !percent.is_null())
                    run.percent = numberOf<int>(percent, maxPercent);
                if (const Json& checkpoint = reader.next(); !checkpoint.is_null())
                    run.checkpoint = checkpoint.get<std::string>();
            }
            change.changed.push_back(std::move(run));
        }
        for (const Json& row : json.at(2)) {
            RowReader reader(row);
            RunningTask run { .id = reader.run(), .checkpoint = {} };
            run.checkpoint = reader.next().get<std::string>();
            run.percent = numberOf<int>(reader.next(), maxPercent);
            run.load = numberOf<std::int64_t>(reader.next(), maxQuantity);
            change.added.push_back(std::move(run));
        }
        return change;
    }

    Json encodeResult(const AgentResult& result)
    {
        Json row = Json::array({ result.number, indexOf(result.status) });
        if (!result.isPoll || result.status != WorkerCallStatus::Ok)
            return row;
        Json ended = Json::array();
        for (const EndedRun& run : result.end.ended) {
            Json end = Json::array({ run.number });
            append(end, run.id);
            end.push_back(indexOf(run.outcome));
            end.push_back(run.checkpoint);
            ended.push_back(std::move(end));
        }
        for (Json value : { Json(result.report), Json(result.baseReport), Json(result.end.clock), Json(result.end.startedAt), Json(result.end.hasMoreEnds), encodeChange(result.change), std::move(ended) })
            row.push_back(std::move(value));
        return row;
    }

    AgentResult decodeResult(const Json& json)
    {
        RowReader row(json);
        AgentResult result;
        result.number = ordinalOf(row.next());
        result.status = static_cast<WorkerCallStatus>(numberOf<std::size_t>(row.next(), workerCallStatusNames.size() - 1));
        if (!row.hasMore())
            return result;
        result.isPoll = true;
        result.report = ordinalOf(row.next());
        result.baseReport = ordinalOf(row.next());
        result.end.clock = clockOf(row.next());
        result.end.startedAt = clockOf(row.next());
        result.end.hasMoreEnds = row.next().get<bool>();
        result.change = decodeChange(row.next());
        for (const Json& entry : row.next()) {
            RowReader reader(entry);
            EndedRun run { .number = ordinalOf(reader.next()), .id = reader.run(), .outcome = RunOutcome::Failed, .checkpoint = {} };
            run.outcome = static_cast<RunOutcome>(numberOf<std::size_t>(reader.next(), runOutcomeNames.size() - 1));
            run.checkpoint = reader.next().get<std::string>();
            result.end.ended.push_back(std::move(run));
        }
        return result;
    }

    std::string toBytes(const Json& json)
    {
        std::string bytes;
        Json::to_cbor(json, bytes);
        return bytes;
    }

} // namespace

std::string encodeAgentRequest(const AgentRequest& request, Instant now)
{
    Json specs = Json::object();
    Json calls = Json::array();
    for (const auto& [job, spec] : request.specs)
        specs[job.value()] = spec;
    for (const AgentCall& call : request.calls) {
        Json row = Json::array({ call.number, call.call.index() });
        std::visit([&](const auto& value) {
            append(row, value.to);
            encodeInto(row, value, now);
        },
            call.call);
        if (call.baseReport != 0)
            row.push_back(call.baseReport);
        calls.push_back(std::move(row));
    }
    return toBytes(Json::array({ request.session, request.sentAt, toMilliseconds(request.wait), std::move(specs), std::move(calls) }));
}

std::optional<AgentRequest> decodeAgentRequest(const std::string& bytes, Instant now)
{
    const Json json = parseCbor(bytes, maxAgentRequestItems);
    if (json.is_discarded() || !json.is_array())
        return std::nullopt;
    try {
        RowReader row(json);
        AgentRequest request;
        request.session = numberOf<std::uint64_t>(row.next(), maxSession);
        request.sentAt = clockOf(row.next());
        request.wait = periodOf(row.next());
        for (const auto& [job, spec] : row.next().items())
            request.specs.emplace(JobId(job), spec.get<std::string>());
        const Json& calls = row.next();
        if (calls.size() > maxAgentCalls)
            return std::nullopt;
        for (const Json& call : calls)
            decodeCall(call, now, request);
        return request;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string encodeAgentResponse(const AgentResponse& response)
{
    Json results = Json::array();
    for (const AgentResult& result : response.results)
        results.push_back(encodeResult(result));
    return toBytes(Json::array({ response.incarnation, std::move(results) }));
}

std::optional<AgentResponse> decodeAgentResponse(const std::string& bytes)
{
    const Json json = parseCbor(bytes);
    if (json.is_discarded() || !json.is_array())
        return std::nullopt;
    try {
        AgentResponse response { .incarnation = numberOf<std::uint64_t>(json.at(0), maxSession), .results = {} };
        for (const Json& result : json.at(1)) {
            try {
                response.results.push_back(decodeResult(result));
            } catch (const std::exception&) {
                continue; // its call ends without an answer
            }
        }
        return response;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace dragonflytray
