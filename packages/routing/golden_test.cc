// Golden tests: each file under golden/ holds a seed and one command or effect per line. A line that begins with
// "> " is a command, one with "< " an effect, and one with "# " a comment. With ROUTING_GOLDEN=rewrite in the
// environment, the test replaces the effects in the files by the actual ones.

#include "routing/routing_fixture.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace dragonflytray {
namespace {

    constexpr std::string_view commandPrefix = "> ";
    constexpr std::string_view seedPrefix = "seed ";

    std::string format(const SharesHeld& effect)
    {
        std::string text = "shares-held";
        for (const SlotShare& share : effect.held)
            text += " " + share.runner.value() + "=" + std::to_string(share.slots);
        text += " wanted";
        for (const SlotShare& share : effect.wanted)
            text += " " + share.runner.value() + "=" + std::to_string(share.slots);
        return text;
    }

    std::string format(AttemptId attempt) { return std::to_string(static_cast<std::uint64_t>(attempt)); }
    std::string format(const SendToRunner& effect) { return "send-to-runner " + format(effect.attempt) + " " + effect.runner.value() + " " + effect.request.id.value(); }
    std::string format(const ForwardToPeer& effect) { return "forward-to-peer " + format(effect.attempt) + " " + effect.peer.value() + " " + effect.request.id.value(); }
    std::string format(const StartWatch& effect) { return "start-watch " + effect.service.value() + " " + effect.cursor; }
    std::string format(const WriteTransaction& effect)
    {
        const RowKey& key = effect.transaction.conditions.at(0).key;
        return (effect.transaction.deletes.empty() ? "insert-row " : "delete-row ") + effect.transaction.id.value() + " " + key.name;
    }
    std::string format(const ReplyToCaller& effect)
    {
        const Outcome& outcome = effect.outcome;
        std::string text = "reply " + effect.request.value() + " " + std::string(outcomeKindNames.nameOf(outcome.kind));
        if (outcome.kind != OutcomeKind::Answered)
            text += " " + std::string(refusalReasonNames.nameOf(outcome.reason)) + " retry-after-ms " + std::to_string(toMilliseconds(outcome.retryAfter));
        return text;
    }

    // GoldenSession executes the commands of one file on a RoutingFixture with three data centres in two regions.
    class GoldenSession : RoutingFixture {
    public:
        explicit GoldenSession(std::uint64_t seed)
        {
            this->options.seed = seed;
            this->options.shouldClaim = true;
            this->routing = Routing(this->options);
            Declaration declaration;
            declaration.teams = { { .name = TeamName("desk") }, { .name = TeamName("lab"), .weight = 3 } };
            declaration.services = { { .name = ServiceName("checks"), .queueLimit = 4 } };
            declaration.regions = { { RegionName("near"), { DataCentreName("dc1"), DataCentreName("dc2") } }, { RegionName("far"), { DataCentreName("dc3") } } };
            this->routing.handle(ChangeConfiguration { { 1, std::make_shared<Declaration>(declaration) } }, this->now);
        }

        // execute() executes one command line and returns its effects, one per line.
        std::vector<std::string> execute(const std::string& line)
        {
            std::istringstream words(line);
            std::string verb;
            words >> verb;
            std::vector<std::string> lines;
            for (const RoutingEffect& effect : this->routing.handle(this->commandOf(verb, words), this->now))
                lines.push_back(std::visit([](const auto& value) { return format(value); }, effect));
            return lines;
        }

    private:
        RoutingCommand commandOf(const std::string& verb, std::istringstream& words)
        {
            using Maker = RoutingCommand (GoldenSession::*)(std::istringstream&);
            static const std::map<std::string, Maker> makers {
                { "hosts", &GoldenSession::hosts }, { "submit", &GoldenSession::submission }, { "answer", &GoldenSession::answer }, { "fail", &GoldenSession::failure },
                { "table", &GoldenSession::tableAnswer }, { "wait", &GoldenSession::wait }, { "gone", &GoldenSession::gone }, { "stop", &GoldenSession::stop }
            };
            REQUIRE(makers.contains(verb));
            return (this->*makers.at(verb))(words);
        }

        // hosts NAME@DATACENTRE...: names with `e` are entry hosts, all others runners of two slots.
        RoutingCommand hosts(std::istringstream& words)
        {
            ChangeHosts change;
            for (std::string word; words >> word;) {
                const std::size_t at = word.find('@');
                Host host = this->makeRunner(word.substr(0, at));
                host.dataCentre = DataCentreName(word.substr(at + 1));
                host.kind = word.starts_with('e') ? HostKind::EntryHost : HostKind::Runner;
                change.hosts.push_back(host);
            }
            return change;
        }

        // submit TOKEN ID TEAM PRIORITY IDEMPOTENCY DEADLINE-MS
        RoutingCommand submission(std::istringstream& words)
        {
            std::uint64_t token = 0;
            std::string id;
            std::string team;
            std::string priority;
            std::string idempotency;
            long milliseconds = 0;
            words >> token >> id >> team >> priority >> idempotency >> milliseconds;
            Request request = this->makeRequest(id, idempotencyNames.parse(idempotency).value());
            request.team = TeamName(team);
            request.priority = priorityNames.parse(priority).value();
            request.deadline = this->now + std::chrono::milliseconds(milliseconds);
            return SubmitRequest { ReplyToken(token), request };
        }

        RoutingCommand answer(std::istringstream& words)
        {
            std::uint64_t attempt = 0;
            words >> attempt;
            return RunnerAnswered { AttemptId(attempt), "answer" };
        }

        // fail ATTEMPT REASON not-run|unknown
        RoutingCommand failure(std::istringstream& words)
        {
            std::uint64_t attempt = 0;
            std::string reason;
            std::string kind;
            words >> attempt >> reason >> kind;
            return RunnerFailed { AttemptId(attempt), retryReasonNames.parse(reason).value(), outcomeKindNames.parse(kind).value() == OutcomeKind::NotRun };
        }

        // table TRANSACTION STATUS [WRITER-OF-THE-ROW]
        RoutingCommand tableAnswer(std::istringstream& words)
        {
            std::string id;
            std::string status;
            std::string writer;
            words >> id >> status >> writer;
            TransactionResult result { TransactionId(id), transactionStatusNames.parse(status).value(), 7, {} };
            if (!writer.empty())
                result.conflicts = { { {}, 7, TransactionId(writer), std::nullopt } };
            return result;
        }

        // wait MS: advances the clock, then handles a tick.
        RoutingCommand wait(std::istringstream& words)
        {
            long milliseconds = 0;
            words >> milliseconds;
            this->now += std::chrono::milliseconds(milliseconds);
            return RoutingTick {};
        }

        RoutingCommand gone(std::istringstream& words)
        {
            std::uint64_t token = 0;
            words >> token;
            return CallerGone { ReplyToken(token) };
        }

        RoutingCommand stop(std::istringstream&) { return StopAdmission {}; }
    };

    // replay() returns the text of a golden file with its effects replaced by the actual ones.
    std::string replay(const std::string& text)
    {
        std::istringstream lines(text);
        std::string line;
        std::getline(lines, line);
        REQUIRE(line.starts_with(seedPrefix));
        std::string result = line + "\n";
        GoldenSession session(std::stoull(line.substr(seedPrefix.size())));
        while (std::getline(lines, line)) {
            if (line.starts_with("< "))
                continue;
            result += line + "\n";
            if (!line.starts_with(commandPrefix))
                continue;
            for (const std::string& effect : session.execute(line.substr(commandPrefix.size())))
                result += "< " + effect + "\n";
        }
        return result;
    }

    struct GoldenFixture {
        static std::string readFile(const std::filesystem::path& path)
        {
            std::ifstream file(path);
            return { std::istreambuf_iterator<char>(file), {} };
        }

        static bool shouldRewrite()
        {
            const char* mode = std::getenv("ROUTING_GOLDEN");
            return mode && std::string_view(mode) == "rewrite";
        }
    };

    TEST_CASE_METHOD(GoldenFixture, "GoldenSession_replayed_givesTheSameEffects")
    {
        std::size_t sessions = 0;
        for (const auto& entry : std::filesystem::directory_iterator(ROUTING_GOLDEN_FOLDER)) {
            ++sessions;
            const std::string text = readFile(entry.path());
            const std::string replayed = replay(text);
            if (shouldRewrite())
                std::ofstream(entry.path()) << replayed;
            INFO(entry.path());
            CHECK(replayed == (shouldRewrite() ? readFile(entry.path()) : text));
        }
        CHECK(sessions >= 4);
    }

} // namespace
} // namespace dragonflytray
