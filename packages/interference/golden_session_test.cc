#include "interference/interference.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <random>
#include <sstream>

namespace dragonflytray {
namespace {

    constexpr const char* rewriteVariable = "DRAGONFLYTRAY_REWRITE_GOLDEN"; // set to "1" to rewrite the golden files

    // Writes a session as text, one command or effect a line, each after the seconds since the start.
    struct GoldenSessionFixture {
        Interference interference { {} };
        Instant start { std::chrono::hours(1) };
        Instant now { start };
        std::mt19937_64 random;
        std::ostringstream session;

        void write(const std::string& line) { this->session << std::setw(5) << std::chrono::duration_cast<std::chrono::seconds>(this->now - this->start).count() << " " << line << "\n"; }

        void handle(const std::string& line, const InterferenceCommand& command)
        {
            if (!line.empty())
                this->write(line);
            for (const InterferenceEffect& effect : this->interference.handle(command, this->now)) {
                if (const auto* throttle = std::get_if<ThrottleTask>(&effect))
                    this->write("=> throttle " + throttle->job.value() + " on " + throttle->worker.value() + (throttle->cpuShare < 1 ? "" : " no longer"));
                if (const auto* evict = std::get_if<EvictTask>(&effect))
                    this->write("=> evict " + evict->job.value() + " from " + evict->worker.value());
            }
        }

        void place(const std::string& worker, const std::string& job, const std::string& batchClass)
        {
            this->handle("place " + job + " " + batchClass + " on " + worker, TaskPlaced { HostName(worker), JobId(job), 1, BatchClassName(batchClass), std::chrono::seconds(10) });
        }

        void remove(const std::string& worker, const std::string& job) { this->handle("gone " + job + " from " + worker, TaskRemoved { HostName(worker), JobId(job) }); }

        void configure(const std::string& customer, Objective objective)
        {
            Declaration declaration;
            declaration.objective = objective;
            declaration.services = { { .name = ServiceName("quick-checks") } };
            static constexpr ConfigurationVersion first = 1;
            this->handle("objective of " + customer, ChangeConfiguration { { first + this->version++, std::make_shared<Declaration>(declaration) } });
        }

        // advance() ticks every second and, from the 40th second on, delivers a measurement of each runner every ten seconds.
        void advance(int seconds, const std::map<std::string, double>& milliseconds)
        {
            std::normal_distribution<double> noise(0, 1);
            for (int i = 0; i < seconds; ++i) {
                this->now += std::chrono::seconds(1);
                for (const auto& [worker, p99] : milliseconds) {
                    if (i % 10 == 9 && i >= 39)
                        this->handle("", LatencyMeasured { ServiceName("quick-checks"), HostName(worker), this->now - std::chrono::seconds(40), this->now - std::chrono::seconds(30), std::chrono::microseconds(static_cast<long>((p99 + noise(this->random)) * 1000)), 400, 0.5 });
                }
                this->handle("", InterferenceTick {});
            }
        }

        void writePenalties(const std::string& worker)
        {
            for (const char* batchClass : { "report", "train" }) {
                const auto penalty = std::get<PlacementCost>(this->interference.ask(PlacementPenaltyQuery { HostName(worker), BatchClassName(batchClass) }, this->now));
                std::ostringstream line;
                line << "penalty of " << batchClass << " on " << worker << ": " << std::fixed << std::setprecision(2) << penalty.cost << (penalty.isAvoided ? ", avoided" : "");
                this->write(line.str());
            }
        }

        void writeEstimates()
        {
            const auto estimates = std::get<SlowdownEstimates>(this->interference.ask(SlowdownEstimatesQuery {}, this->now));
            for (const SlowdownEstimate& pair : estimates.pairs) {
                std::ostringstream line;
                line << "estimate " << pair.service << " " << pair.batchClass << ": " << std::fixed << std::setprecision(1) << (pair.slowdownAtZeroLoad + pair.slowdownAtFullLoad) / 2;
                this->write(line.str());
            }
        }

        void compareWithGolden(const std::string& name)
        {
            const std::string path = "golden/" + name + ".txt";
            const char* rewrite = std::getenv(rewriteVariable);
            if (rewrite && std::string(rewrite) == "1")
                std::ofstream(path) << this->session.str();
            std::ifstream file(path);
            std::stringstream golden;
            golden << file.rdbuf();
            CHECK(this->session.str() == golden.str());
        }

        ConfigurationVersion version { 0 };
    };

    TEST_CASE_METHOD(GoldenSessionFixture, "GoldenSession_harmfulTask_isThrottledThenEvicted")
    {
        this->random.seed(5);
        this->session << "seed 5\n";
        this->configure("serrano", { .tailLatency = 0.7, .throughput = 0.2, .evictions = 0.1 });
        this->handle("runner quick-checks on w1", RunnerPlaced { HostName("w1"), ServiceName("quick-checks") });
        this->handle("runner quick-checks on w2", RunnerPlaced { HostName("w2"), ServiceName("quick-checks") });
        this->writePenalties("w1");
        this->advance(300, { { "w1", 40 }, { "w2", 40 } });
        this->place("w1", "j1", "train");
        this->place("w2", "j2", "report");
        this->advance(300, { { "w1", 120 }, { "w2", 41 } });
        this->writeEstimates();
        this->writePenalties("w1");
        this->remove("w1", "j1");
        this->writePenalties("w1");
        this->place("w1", "j3", "report");
        this->advance(400, { { "w1", 41 }, { "w2", 41 } });
        this->writePenalties("w1");
        this->writePenalties("w9");

        this->compareWithGolden("harmful_neighbour");
    }

    TEST_CASE_METHOD(GoldenSessionFixture, "GoldenSession_objectiveChanges_throttledTaskIsRestored")
    {
        this->random.seed(6);
        this->session << "seed 6\n";
        this->configure("serrano", { .tailLatency = 0.7, .throughput = 0.2, .evictions = 0.1 });
        this->handle("runner quick-checks on w1", RunnerPlaced { HostName("w1"), ServiceName("quick-checks") });
        this->advance(300, { { "w1", 40 } });
        this->place("w1", "j1", "train");
        this->advance(120, { { "w1", 52 } });
        this->configure("co-op", { .tailLatency = 0.2, .throughput = 0.5, .evictions = 0.3 });
        this->advance(200, { { "w1", 52 } });
        this->writeEstimates();

        this->compareWithGolden("objective_changes");
    }

} // namespace
} // namespace dragonflytray
