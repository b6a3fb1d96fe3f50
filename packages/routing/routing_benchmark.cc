// Measures the time of routing decisions, and compares runner choices and queue orders in simulated time.

#include "routing/routing_simulation.h"

#include <chrono>
#include <cstdio>

namespace dragonflytray {
namespace {

    constexpr int decisionCount = 200000; // per measurement

    std::string formatName(std::string_view name)
    {
        return std::string(name);
    }

    Routing::Options optionsFor(RunnerChoiceKind choice)
    {
        return { .self = HostName("e1"), .dataCentre = DataCentreName("dc1"), .runnerChoice = choice };
    }

    Routing makeRouting(RunnerChoiceKind choice, int runners)
    {
        Routing routing(optionsFor(choice));
        auto declaration = std::make_shared<Declaration>();
        declaration->teams = { { .name = TeamName("desk") } };
        declaration->services = { { .name = ServiceName("checks") } };
        routing.handle(ChangeConfiguration { { 1, declaration } }, Instant());
        std::vector<Host> hosts;
        for (int i = 0; i < runners; ++i) {
            Host host;
            host.name = HostName("runner-" + std::to_string(i));
            host.kind = HostKind::Runner;
            host.dataCentre = DataCentreName("dc1");
            host.service = ServiceName("checks");
            host.slots = 8;
            hosts.push_back(host);
        }
        routing.handle(ChangeHosts { hosts }, Instant());
        return routing;
    }

    // microsecondsPerDecision() returns the mean of submissions and answers, with half of the slots in use.
    double microsecondsPerDecision(RunnerChoiceKind choice, int runners)
    {
        Routing routing = makeRouting(choice, runners);
        Instant now { std::chrono::seconds(100) };
        const int open = runners * 4;
        std::uint64_t answered = 0;
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < decisionCount + open; ++i) {
            now += std::chrono::microseconds(20);
            Request request;
            request.id = RequestId(std::to_string(i));
            request.team = TeamName("desk");
            request.service = ServiceName("checks");
            request.idempotency = Idempotency::Idempotent;
            request.deadline = now + std::chrono::seconds(1);
            routing.handle(SubmitRequest { ReplyToken(static_cast<std::uint64_t>(i)), request }, now);
            if (i >= open)
                routing.handle(RunnerAnswered { AttemptId(++answered), {} }, now);
        }
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
        return elapsed.count() / (2.0 * decisionCount + open);
    }

    double percentile(std::vector<double> samples, double share)
    {
        if (samples.empty())
            return 0;
        const auto rank = samples.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(samples.size() - 1) * share);
        std::nth_element(samples.begin(), rank, samples.end());
        return *rank;
    }

    void printDecisionTimes()
    {
        std::printf("time of a decision, microseconds (mean of %d submissions and answers)\n", decisionCount);
        std::printf("%-22s %12s %12s\n", "choice", "66 runners", "2000 runners");
        for (const auto& choice : runnerChoiceNames)
            std::printf("%-22s %12.2f %12.2f\n", formatName(choice.name).c_str(), microsecondsPerDecision(choice.value, 66), microsecondsPerDecision(choice.value, 2000));
    }

    void compareRunnerChoices()
    {
        std::printf("\nchoice of runner: 66 runners, a tenth four times as slow, half of capacity, 20 s, seed 1\n");
        std::printf("%-22s %10s %10s %10s\n", "choice", "p50 ms", "p99 ms", "answered");
        for (const auto& choice : runnerChoiceNames) {
            RoutingSimulation simulation({ .routing = optionsFor(choice.value), .runners = 66, .slowFraction = 0.1 });
            const auto loads = simulation.run(std::chrono::seconds(20), { { .requestsPerSecond = simulation.capacity() / 2 } });
            std::printf("%-22s %10.1f %10.1f %10.3f\n", formatName(choice.name).c_str(), 1e3 * percentile(loads[0].latencies, 0.5), 1e3 * percentile(loads[0].latencies, 0.99),
                static_cast<double>(loads[0].answered) / static_cast<double>(loads[0].sent));
        }
    }

    void compareQueueOrders(Priority floodingClass)
    {
        std::printf("\nqueue order: ten times the capacity of %s work, the others at 0.7 of their floors, 20 s, seed 1\n", formatName(priorityNames.nameOf(floodingClass)).c_str());
        std::printf("%-22s %10s %10s %10s %10s\n", "order", "class", "p99 ms", "answered", "goodput");
        for (const auto& order : queueOrderNames) {
            Routing::Options options = optionsFor(RunnerChoiceKind::LatencyEightChoices);
            options.queueOrder = order.value;
            RoutingSimulation simulation({ .routing = options });
            std::vector<SimulatedLoad> loads;
            for (const auto& priority : priorityNames)
                loads.push_back({ .priority = priority.value, .requestsPerSecond = simulation.capacity() * (priority.value == floodingClass ? 10 : 0.7 * options.floors[indexOf(priority.value)]) });
            loads = simulation.run(std::chrono::seconds(20), std::move(loads));
            double goodput = 0;
            for (const SimulatedLoad& load : loads)
                goodput += static_cast<double>(load.answeredBeforeEnd) / (20 * simulation.capacity());
            for (const SimulatedLoad& load : loads)
                std::printf("%-22s %10s %10.1f %10.3f %10.3f\n", formatName(order.name).c_str(), formatName(priorityNames.nameOf(load.priority)).c_str(), 1e3 * percentile(load.latencies, 0.99),
                    static_cast<double>(load.answered) / static_cast<double>(load.sent), goodput);
        }
    }

} // namespace
} // namespace dragonflytray

int main()
{
    dragonflytray::printDecisionTimes();
    dragonflytray::compareRunnerChoices();
    dragonflytray::compareQueueOrders(dragonflytray::Priority::Low);
    dragonflytray::compareQueueOrders(dragonflytray::Priority::Urgent);
    return 0;
}
