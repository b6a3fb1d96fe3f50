#include "load/load_run.h"

#include "transport/transport.h"
#include "json/json.h"
#include <algorithm>
#include <random>

namespace dragonflytray {

namespace {

    constexpr std::size_t connectionLimit = 4096; // for each entry host
    constexpr Duration answerGrace = std::chrono::milliseconds(500); // beyond a request's own deadline

    // Departure is one request that is due.
    struct Departure {
        Duration after; // the start of the run
        const LoadStream* stream;
        std::size_t number; // over the whole run
    };

    // planDepartures() draws every departure in advance, so that a run depends on its seed alone.
    std::vector<Departure> planDepartures(const LoadOptions& options)
    {
        std::vector<Departure> departures;
        std::mt19937_64 random(options.seed);
        for (const LoadStream& stream : options.streams) {
            std::exponential_distribution<double> gap(stream.rate);
            double seconds = gap(random);
            while (seconds < toSeconds(stream.length) && departures.size() < options.requestLimit) {
                departures.push_back({ stream.from + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), &stream, 0 });
                seconds += gap(random);
            }
        }
        std::sort(departures.begin(), departures.end(), [](const Departure& left, const Departure& right) { return left.after < right.after; });
        for (std::size_t i = 0; i < departures.size(); ++i)
            departures[i].number = i;
        return departures;
    }

    std::string headerOf(const HttpResponse& response, const std::string& name)
    {
        auto found = response.headers.find(name);
        return found == response.headers.end() ? std::string() : found->second;
    }

    std::string reasonOf(const HttpResponse& response)
    {
        const auto body = parseJson(response.body);
        return body.is_object() ? fieldOr<std::string>(body, "reason", "no reason") : "status " + std::to_string(response.status);
    }

    // LoadRun owns the loop and the state of one run.
    class LoadRun {
    public:
        explicit LoadRun(const LoadOptions& options)
            : options(options)
            , departures(planDepartures(options))
            , runId(std::to_string(BootClock::now().time_since_epoch().count()))
        {
            for (const LoadStream& stream : options.streams)
                this->report.declare(stream.name, stream.length);
        }

        LoadReport run()
        {
            this->start = BootClock::now();
            if (this->departures.empty())
                return this->report;
            this->sendDue();
            this->loop.run();
            return this->report;
        }

    private:
        void sendDue()
        {
            const Duration elapsed = BootClock::now() - this->start;
            while (this->next < this->departures.size() && this->departures[this->next].after <= elapsed)
                this->send(this->departures[this->next++]);
            if (this->next < this->departures.size())
                this->loop.after(this->departures[this->next].after - elapsed, [this] { this->sendDue(); });
        }

        void send(const Departure& departure)
        {
            const LoadStream& stream = *departure.stream;
            const std::string id = this->runId + "-" + std::to_string(departure.number);
            const bool isDirect = stream.target == LoadTarget::Runner;
            const Endpoint& endpoint = isDirect ? this->options.runner : this->options.entryHosts[departure.number % this->options.entryHosts.size()];
            HttpRequest request { .method = HttpMethod::Post, .target = isDirect ? "/v1/run" : "/v1/services/" + percentEncode(stream.service.value()) + "/requests", .headers = {}, .body = "body of " + id };
            request.headers = {
                { "Request-Id", id },
                { "Attempt-Id", id },
                { "Team", stream.team.value() },
                { "Priority", std::string(priorityNames.nameOf(stream.priority)) },
                { "Idempotency", std::string(idempotencyNames.nameOf(stream.idempotency)) },
                { "Deadline-Milliseconds", std::to_string(toMilliseconds(stream.deadline)) },
            };
            this->client.send(endpoint, std::move(request), stream.deadline + answerGrace, [this, &departure, id](const tl::expected<HttpResponse, SendFailure>& answer) { this->finish(departure, id, answer); });
        }

        void finish(const Departure& departure, const std::string& id, const tl::expected<HttpResponse, SendFailure>& answer)
        {
            this->report.add(departure.stream->name, this->resultOf(departure, id, answer));
            if (this->report.total() == this->departures.size())
                this->loop.stop();
        }

        LoadResult resultOf(const Departure& departure, const std::string& id, const tl::expected<HttpResponse, SendFailure>& answer) const
        {
            LoadResult result;
            result.latency = BootClock::now() - this->start - departure.after;
            if (!answer) {
                result.reason = sendFailureKindNames.nameOf(answer.error().kind);
                return result;
            }
            const bool isAnswer = answer->status == 200;
            if (isAnswer) {
                const bool isOwn = answer->body.find(id + " from ") != std::string::npos && answer->body.ends_with("body of " + id);
                result.end = isOwn ? LoadEnd::Answered : LoadEnd::Mismatched;
                result.reason = isOwn ? "" : "mismatched";
                return result;
            }
            result.end = headerOf(*answer, "Outcome") == outcomeKindNames.nameOf(OutcomeKind::Unknown) ? LoadEnd::Unknown : LoadEnd::NotRun;
            result.reason = reasonOf(*answer);
            return result;
        }

        const LoadOptions& options;
        std::vector<Departure> departures;
        std::string runId;
        IoLoop loop;
        HttpClient client { this->loop, { .connectionLimit = connectionLimit } };
        LoadReport report;
        Instant start;
        std::size_t next { 0 };
    };

} // namespace

LoadReport runLoad(const LoadOptions& options)
{
    return LoadRun(options).run();
}

} // namespace dragonflytray
