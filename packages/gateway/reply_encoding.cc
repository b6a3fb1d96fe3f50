#include "gateway/reply_encoding.h"

#include "json/json.h"
#include <cmath>

namespace dragonflytray {

using nlohmann::json;

namespace {

    // httpStatusOf is the status for each reason of an outcome that is not an answer.
    constexpr std::array<unsigned, refusalReasonNames.size()> httpStatusOf {
        404, // unknown-service
        404, // unknown-team
        404, // unknown-batch-class
        400, // malformed
        413, // too-large
        503, // no-configuration
        503, // no-runner
        429, // queue-full
        503, // deadline-too-short
        504, // deadline-passed
        429, // team-quota
        503, // link-budget
        503, // retry-budget
        503, // runner-refused
        502, // runner-failed
        504, // answer-timeout
        502, // connection-lost
        503, // store-unavailable
        409, // duplicate-request
        422, // never-runnable
        499, // caller-gone
        503, // shutting-down
    };

    constexpr std::array<unsigned, submissionStatusNames.size()> submissionHttpStatus { 201, 200, 503, 504 };
    constexpr std::array<unsigned, applyStatusNames.size()> applyHttpStatus { 200, 422, 409, 503, 504 };

    HttpResponse respond(unsigned status, const json& body)
    {
        return { .status = status, .headers = {}, .body = serializeJson(body) + "\n" };
    }

    json encodeJob(const Job& job)
    {
        return {
            { "id", job.id.value() },
            { "team", job.team.value() },
            { "batchClass", job.batchClass.value() },
            { "priority", priorityNames.nameOf(job.priority) },
            { "state", jobStateNames.nameOf(job.state) },
            { "dataCentre", job.dataCentre.value() },
            { "worker", job.worker.value() },
            { "attempt", job.attempt },
            { "failures", job.failures },
            { "evictions", job.evictions },
            { "result", job.result },
            { "reason", job.reason },
        };
    }

    json encodeHost(const Host& host)
    {
        return {
            { "name", host.name.value() },
            { "kind", hostKindNames.nameOf(host.kind) },
            { "state", hostStateNames.nameOf(host.state) },
            { "dataCentre", host.dataCentre.value() },
            { "endpoint", formatEndpoint(host.endpoint) },
        };
    }

    template <typename Counts, typename Table>
    json encodeCounts(const Counts& counts, const Table& table)
    {
        json result = json::object();
        for (const auto& entry : table)
            result[std::string(entry.name)] = counts[entry.value];
        return result;
    }

    HttpResponse encode(const RoutingSummary& summary)
    {
        json runners = json::array();
        for (const RunnerSummary& runner : summary.runners)
            runners.push_back({ { "name", runner.name.value() }, { "state", hostStateNames.nameOf(runner.state) }, { "inFlight", runner.inFlight }, { "share", runner.share } });
        return respond(200, { { "answered", summary.answered }, { "lateAnswers", summary.lateAnswers }, { "waiting", summary.waiting }, { "inFlight", summary.inFlight }, { "refusals", encodeCounts(summary.refusals, refusalReasonNames) }, { "retries", encodeCounts(summary.retries, retryReasonNames) }, { "runners", runners } });
    }

    HttpResponse encode(const RequestExplanation& explanation)
    {
        return respond(explanation.steps.empty() ? 404 : 200, { { "requestId", explanation.request.value() }, { "steps", explanation.steps } });
    }

    HttpResponse encode(const JobList& list)
    {
        json jobs = json::array();
        for (const Job& job : list.jobs)
            jobs.push_back(encodeJob(job));
        return respond(200, { { "jobs", jobs } });
    }

    HttpResponse encode(const JobExplanation& explanation)
    {
        json body { { "why", explanation.why }, { "sinceSeconds", toSeconds(explanation.timeInState) } };
        if (explanation.job)
            body["job"] = encodeJob(*explanation.job);
        return respond(explanation.job ? 200 : 404, body);
    }

    HttpResponse encode(const BatchSummary& summary)
    {
        return respond(200, { { "isLeader", summary.isLeader }, { "leader", summary.leader.value() }, { "epoch", summary.epoch }, { "workers", summary.workers }, { "isEvacuated", summary.isEvacuated }, { "movedJobs", summary.movedJobs }, { "jobs", encodeCounts(summary.jobs, jobStateNames) }, { "refusals", encodeCounts(summary.refusals, refusalReasonNames) }, { "retries", encodeCounts(summary.retries, retryReasonNames) } });
    }

    HttpResponse encode(const MembershipStatus& status)
    {
        json hosts = json::array();
        for (const Host& host : status.hosts)
            hosts.push_back(encodeHost(host));
        json peers = json::array();
        for (const PeerStatus& peer : status.peers)
            peers.push_back({ { "host", peer.host.value() }, { "dataCentre", peer.dataCentre.value() }, { "version", peer.version }, { "isHeard", peer.hasHeartbeat }, { "ageSeconds", toSeconds(peer.age) } });
        json evacuated = json::array();
        for (const DataCentreName& name : status.evacuatedDataCentres)
            evacuated.push_back(name.value());
        json states = json::array();
        for (const HostStatus& state : status.hostStatuses)
            states.push_back({ { "host", state.host.value() }, { "kind", hostKindNames.nameOf(state.kind) }, { "liveness", hostLivenessNames.nameOf(state.liveness) }, { "ageSeconds", toSeconds(state.age) } });
        return respond(200, { { "host", status.self.value() }, { "dataCentre", status.dataCentre.value() }, { "version", status.version }, { "evacuatedDataCentres", evacuated }, { "isReady", status.isReady }, { "listAgeSeconds", toSeconds(status.listAge) }, { "hosts", hosts }, { "peers", peers }, { "states", states }, { "applies", encodeCounts(status.counts.applies, applyStatusNames) } });
    }

    HttpResponse encode(const ConfigurationText& text)
    {
        return respond(text.version == 0 ? 404 : 200, { { "version", text.version }, { "text", text.text } });
    }

} // namespace

HttpResponse encodeFault(unsigned status, RefusalReason reason, const std::string& detail)
{
    return respond(status, { { "outcome", outcomeKindNames.nameOf(OutcomeKind::NotRun) }, { "reason", refusalReasonNames.nameOf(reason) }, { "detail", detail } });
}

HttpResponse encodeReply(const ReplyToCaller& reply)
{
    const Outcome& outcome = reply.outcome;
    if (outcome.kind == OutcomeKind::Answered) {
        HttpResponse response { .status = 200, .contentType = "application/octet-stream", .headers = {}, .body = outcome.answer };
        response.headers["Request-Id"] = reply.request.value();
        response.headers["Outcome"] = outcomeKindNames.nameOf(outcome.kind);
        return response;
    }
    HttpResponse response = respond(httpStatusOf[indexOf(outcome.reason)], { { "requestId", reply.request.value() }, { "outcome", outcomeKindNames.nameOf(outcome.kind) }, { "reason", refusalReasonNames.nameOf(outcome.reason) }, { "detail", outcome.detail } });
    response.headers["Request-Id"] = reply.request.value();
    response.headers["Outcome"] = outcomeKindNames.nameOf(outcome.kind);
    if (outcome.retryAfter > Duration(0))
        response.headers["Retry-After"] = std::to_string(static_cast<long long>(std::ceil(toSeconds(outcome.retryAfter))));
    return response;
}

HttpResponse encodeReply(const ReplyToSubmitter& reply)
{
    json body { { "status", submissionStatusNames.nameOf(reply.status) }, { "job", encodeJob(reply.job) } };
    unsigned status = submissionHttpStatus[indexOf(reply.status)];
    const bool isFailed = reply.status == SubmissionStatus::Refused || reply.status == SubmissionStatus::Unknown;
    if (isFailed)
        body["reason"] = refusalReasonNames.nameOf(reply.reason);
    if (reply.status == SubmissionStatus::Refused)
        status = httpStatusOf[indexOf(reply.reason)];
    return respond(status, body);
}

HttpResponse encodeReply(const ReplyToOperator& reply)
{
    json findings = json::array();
    for (const Finding& finding : reply.findings.all())
        findings.push_back({ { "file", finding.place.file }, { "line", finding.place.line }, { "column", finding.place.column }, { "message", finding.message }, { "hint", finding.hint } });
    json changes = json::array();
    for (const DeclarationChange& change : reply.changes)
        changes.push_back({ { "kind", declarationChangeKindNames.nameOf(change.kind) }, { "path", change.path }, { "before", change.before }, { "after", change.after } });
    return respond(applyHttpStatus[indexOf(reply.status)], { { "status", applyStatusNames.nameOf(reply.status) }, { "version", reply.version }, { "findings", findings }, { "changes", changes } });
}

HttpResponse encodeView(const RoutingView& view)
{
    return std::visit([](const auto& value) { return encode(value); }, view);
}

HttpResponse encodeView(const BatchView& view)
{
    return std::visit([](const auto& value) { return encode(value); }, view);
}

HttpResponse encodeView(const MembershipView& view)
{
    return std::visit([](const auto& value) { return encode(value); }, view);
}

} // namespace dragonflytray
