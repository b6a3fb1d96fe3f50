#include "testing/runner_standin.h"

#include <nlohmann/json.hpp>

namespace dragonflytray {

using nlohmann::json;

RunnerStandin::RunnerStandin(IoLoop& loop, Options options)
    : loop(loop)
    , options(std::move(options))
    , faults(loop)
    , server(loop, { .endpoint = this->options.endpoint }, [this](HttpRequest request, std::shared_ptr<HttpReply> reply) { this->take(std::move(request), std::move(reply)); })
{
}

void RunnerStandin::take(HttpRequest request, std::shared_ptr<HttpReply> reply)
{
    const auto path = request.path();
    if (path == std::vector<std::string> { "faults" })
        return this->faults.take(request, *reply, this->server);
    if (path == std::vector<std::string> { "statistics" })
        return reply->send(this->statistics());
    if (this->faults.refuses(*reply))
        return;
    if (path == std::vector<std::string> { "v1", "run" })
        return this->run(request, std::move(reply));
    if (path == std::vector<std::string> { "v1", "watch" })
        return this->watch(request, std::move(reply));
    reply->send({ .status = 404, .headers = {}, .body = "{}" });
}

void RunnerStandin::run(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
{
    if (this->options.hasGuards && this->inFlight >= this->options.slots) {
        ++this->refused;
        HttpResponse refusal { .status = 503, .headers = {}, .body = "{}" };
        refusal.headers = { { "Outcome", "not-run" }, { "Attempt-Id", request.header("attempt-id") } };
        return reply->send(std::move(refusal));
    }
    ++this->runs[request.header("request-id")];
    ++this->inFlight;
    this->highestInFlight = std::max(this->highestInFlight, this->inFlight);
    this->loop.after(this->options.serviceTime, [this, request, reply] { this->finish(request, reply); });
}

void RunnerStandin::finish(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
{
    --this->inFlight;
    HttpResponse answer { .status = 200, .contentType = "text/plain", .headers = {}, .body = "answer to " + request.header("request-id") + " from " + this->options.name + ": " + request.body };
    answer.headers = { { "Attempt-Id", request.header("attempt-id") } };
    this->faults.answer(std::move(reply), std::move(answer));
}

void RunnerStandin::watch(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
{
    const std::uint64_t cursor = std::strtoull(request.query("cursor").value_or("0").c_str(), nullptr, 10);
    reply->beginStream({ .status = 200, .contentType = "application/x-ndjson", .headers = {}, .body = {} });
    this->sendWatchMessage(std::move(reply), cursor + 1);
}

void RunnerStandin::sendWatchMessage(std::shared_ptr<HttpReply> reply, std::uint64_t cursor)
{
    const json message { { "cursor", std::to_string(cursor) }, { "runner", this->options.name } };
    if (!reply->sendPart(message.dump() + "\n"))
        return;
    this->loop.after(this->options.watchInterval, [this, reply, cursor] { this->sendWatchMessage(reply, cursor + 1); });
}

HttpResponse RunnerStandin::statistics() const
{
    std::uint64_t total = 0;
    json repeated = json::array();
    for (const auto& [id, count] : this->runs) {
        total += static_cast<std::uint64_t>(count);
        if (count > 1)
            repeated.push_back(id);
    }
    json body { { "name", this->options.name }, { "runs", total }, { "repeated", repeated }, { "inFlight", this->inFlight }, { "highestInFlight", this->highestInFlight }, { "refused", this->refused } };
    return { .status = 200, .headers = {}, .body = body.dump() };
}

} // namespace dragonflytray
