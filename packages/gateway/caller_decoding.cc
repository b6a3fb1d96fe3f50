#include "gateway/caller_decoding.h"

#include "gateway/reply_encoding.h"
#include "json/json.h"
#include <charconv>

namespace dragonflytray {

using nlohmann::json;
using Decoded = tl::expected<CallerCall, HttpResponse>;

namespace {

    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusNotFound = 404;
    constexpr std::size_t idLimit = 200; // characters of an id
    constexpr Duration defaultDeadline = std::chrono::seconds(2);
    constexpr long long maximumDeadline = 24LL * 3600 * 1000; // milliseconds

    // Incoming is one HTTP request on its way through a decoder.
    struct Incoming {
        HttpRequest request;
        std::vector<std::string> path;
        ReplyToken token;
        Instant now;
    };

    tl::unexpected<HttpResponse> malformed(const std::string& detail)
    {
        return tl::unexpected(encodeFault(statusBadRequest, RefusalReason::Malformed, detail));
    }

    bool isUsableId(const std::string& id)
    {
        return !id.empty() && id.size() <= idLimit && std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 0x7f; });
    }

    std::optional<long long> wholeNumber(const std::string& text)
    {
        long long value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    Decoded decodeSubmitRequest(Incoming incoming)
    {
        HttpRequest& http = incoming.request;
        Request request;
        request.id = RequestId(http.header("request-id"));
        if (!isUsableId(request.id.value()))
            return malformed("the header Request-Id is missing or not usable");
        request.team = TeamName(http.header("team"));
        request.service = ServiceName(incoming.path[2]);
        const std::string priority = http.header("priority");
        const auto parsedPriority = priorityNames.parse(priority.empty() ? "normal" : priority);
        if (!parsedPriority)
            return malformed("the header Priority must be urgent, normal or low");
        request.priority = *parsedPriority;
        const std::string idempotency = http.header("idempotency");
        const auto parsedIdempotency = idempotencyNames.parse(idempotency.empty() ? "non-idempotent" : idempotency);
        if (!parsedIdempotency)
            return malformed("the header Idempotency must be idempotent or non-idempotent");
        request.idempotency = *parsedIdempotency;
        request.deadline = incoming.now + defaultDeadline;
        if (const std::string text = http.header("deadline-milliseconds"); !text.empty()) {
            const auto milliseconds = wholeNumber(text);
            if (!milliseconds || *milliseconds <= 0 || *milliseconds > maximumDeadline)
                return malformed("the header Deadline-Milliseconds must be a whole number from 1 to one day");
            request.deadline = incoming.now + std::chrono::milliseconds(*milliseconds);
        }
        request.body = std::make_shared<const std::string>(std::move(http.body));
        return SubmitRequest { incoming.token, std::move(request) };
    }

    Decoded decodeOpenWatch(Incoming incoming)
    {
        return OpenWatch { incoming.token, TeamName(incoming.request.header("team")), ServiceName(incoming.path[2]), incoming.request.query("cursor").value_or("") };
    }

    Decoded decodeSubmitJob(Incoming incoming)
    {
        const json body = parseJson(incoming.request.body);
        if (!body.is_object())
            return malformed("the body must be a JSON object");
        try {
            Job job;
            job.id = JobId(body.value("id", ""));
            if (!isUsableId(job.id.value()))
                return malformed("`id` is missing or not usable");
            job.team = TeamName(body.value("team", ""));
            job.batchClass = BatchClassName(body.value("batchClass", ""));
            const auto priority = priorityNames.parse(body.value("priority", "normal"));
            if (!priority)
                return malformed("`priority` must be urgent, normal or low");
            job.priority = *priority;
            job.need = { body.value("processors", 0.0), body.value("memoryGigabytes", 0.0), body.value("accelerators", 0) };
            if (job.need.processors < 0 || job.need.memoryGigabytes < 0 || job.need.accelerators < 0)
                return malformed("sizes must not be negative");
            const double runSeconds = body.value("runSeconds", 0.0);
            if (!(runSeconds >= 0 && runSeconds < 1e7))
                return malformed("`runSeconds` is out of range");
            job.declaredRunTime = std::chrono::milliseconds(static_cast<long long>(runSeconds * 1000));
            job.payload = body.value("payload", "");
            return SubmitJob { incoming.token, std::move(job) };
        } catch (const json::exception&) {
            return malformed("a member of the body has the wrong type");
        }
    }

    Decoded decodeListJobs(Incoming incoming)
    {
        ListJobsQuery query;
        if (auto name = incoming.request.query("state")) {
            query.state = jobStateNames.parse(*name);
            if (!query.state)
                return malformed("`state` is not a state of a job");
        }
        return BatchQuery(query);
    }

    Decoded decodeExplainJob(Incoming incoming)
    {
        return BatchQuery(ExplainJobQuery { JobId(incoming.path[2]) });
    }

    Decoded decodeCancelJob(Incoming incoming)
    {
        return CancelJob { incoming.token, JobId(incoming.path[2]) };
    }

    Decoded decodeExplainRequest(Incoming incoming)
    {
        return RoutingQuery(ExplainRequestQuery { RequestId(incoming.path[2]) });
    }

    Decoded decodeApply(Incoming incoming)
    {
        const auto base = wholeNumber(incoming.request.query("base").value_or(""));
        if (!base || *base < 0)
            return malformed("the query `base` must be the version that the file is based on");
        return ApplyDeclaration { incoming.token, incoming.request.query("file").value_or("declaration"), std::move(incoming.request.body), static_cast<ConfigurationVersion>(*base) };
    }

    Decoded decodeConfiguration(Incoming incoming)
    {
        const auto version = wholeNumber(incoming.request.query("version").value_or("0"));
        if (!version || *version < 0)
            return malformed("the query `version` must be a version of the configuration");
        return MembershipQuery(ConfigurationQuery { static_cast<ConfigurationVersion>(*version) });
    }

    Decoded decodeStatus(Incoming)
    {
        return MembershipQuery(StatusQuery {});
    }

    Decoded decodeRoutingStatus(Incoming)
    {
        return RoutingQuery(RoutingSummaryQuery {});
    }

    Decoded decodeBatchStatus(Incoming)
    {
        return BatchQuery(BatchSummaryQuery {});
    }

    Decoded decodeHealth(Incoming incoming)
    {
        return *healthQueryNames.parse(incoming.path[0]);
    }

    // Route is one line of the table of paths; `*` stands for any one segment.
    struct Route {
        HttpMethod method;
        std::vector<std::string> pattern;
        Decoded (*decode)(Incoming);
    };

    const std::vector<Route>& routes()
    {
        static const std::vector<Route> table {
            { HttpMethod::Post, { "v1", "services", "*", "requests" }, &decodeSubmitRequest },
            { HttpMethod::Get, { "v1", "services", "*", "watch" }, &decodeOpenWatch },
            { HttpMethod::Get, { "v1", "requests", "*" }, &decodeExplainRequest },
            { HttpMethod::Post, { "v1", "jobs" }, &decodeSubmitJob },
            { HttpMethod::Get, { "v1", "jobs" }, &decodeListJobs },
            { HttpMethod::Get, { "v1", "jobs", "*" }, &decodeExplainJob },
            { HttpMethod::Delete, { "v1", "jobs", "*" }, &decodeCancelJob },
            { HttpMethod::Post, { "v1", "configuration" }, &decodeApply },
            { HttpMethod::Get, { "v1", "configuration" }, &decodeConfiguration },
            { HttpMethod::Get, { "v1", "status" }, &decodeStatus },
            { HttpMethod::Get, { "v1", "status", "requests" }, &decodeRoutingStatus },
            { HttpMethod::Get, { "v1", "status", "batch" }, &decodeBatchStatus },
            { HttpMethod::Get, { "live" }, &decodeHealth },
            { HttpMethod::Get, { "ready" }, &decodeHealth },
            { HttpMethod::Get, { "metrics" }, &decodeHealth },
        };
        return table;
    }

    bool matches(const std::vector<std::string>& pattern, const std::vector<std::string>& path)
    {
        return std::equal(pattern.begin(), pattern.end(), path.begin(), path.end(), [](const std::string& part, const std::string& segment) {
            return part == "*" || part == segment;
        });
    }

} // namespace

Decoded decodeCall(HttpRequest request, ReplyToken token, Instant now)
{
    std::vector<std::string> path = request.path();
    for (const Route& route : routes()) {
        if (route.method == request.method && matches(route.pattern, path))
            return route.decode({ std::move(request), std::move(path), token, now });
    }
    return tl::unexpected(encodeFault(statusNotFound, RefusalReason::Malformed, "no such method and path"));
}

} // namespace dragonflytray
