// Replays golden sessions of one entry host. In the files, a line `> command` is input and the lines below it are the
// expected effects. `DRAGONFLYTRAY_REWRITE_GOLDEN=1 membership_test "Golden*"` rewrites them; review the diff before you
// commit it.

#include "membership/membership.h"

#include "membership/object_key.h"
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace dragonflytray {
namespace {

    struct GoldenFixture {
        Membership membership { { .self = HostName("e1"), .dataCentre = DataCentreName("dc1") } };
        Instant now { std::chrono::seconds(100) };
        TransactionId lastTransaction;
        std::ostringstream output;

        static std::string textOf(const std::string& customer) { return "customer: " + customer + "\nregions: []\nteams: []\n"; }
        static std::string shortKey(const std::string& key) { return key.substr(0, 20); }

        RowChange readRow(std::istringstream& words) const
        {
            ConfigurationVersion version = 0;
            RowVersion revision = 0;
            std::string customer;
            std::string writer;
            words >> version >> revision >> customer >> writer;
            const TransactionId id = writer == "own" ? this->lastTransaction : TransactionId(writer);
            return { { RowKind::Configuration, "current" }, revision, id, ConfigurationRow { version, objectKeyOf(textOf(customer)), {} } };
        }

        MembershipCommand readApply(std::istringstream& words) const
        {
            std::uint64_t token = 0;
            ConfigurationVersion base = 0;
            std::string customer;
            words >> token >> base >> customer;
            return ApplyDeclaration { ReplyToken(token), "a.yaml", textOf(customer), base };
        }

        MembershipCommand readObjectWritten(std::istringstream& words) const
        {
            std::string customer;
            std::string end;
            words >> customer >> end;
            return ObjectWritten { objectKeyOf(textOf(customer)), end == "written" };
        }

        MembershipCommand readTransaction(std::istringstream& words) const
        {
            std::string status;
            words >> status;
            TransactionResult result { this->lastTransaction, transactionStatusNames.parse(status).value(), 0, {} };
            if (result.status == TransactionStatus::Committed)
                words >> result.revision;
            else if (result.status == TransactionStatus::Conflict)
                result.conflicts.push_back(this->readRow(words));
            return result;
        }

        MembershipCommand readRows(std::istringstream& words) const { return RowsRead { true, 0, { this->readRow(words) } }; }

        MembershipCommand readObject(std::istringstream& words) const
        {
            std::string customer;
            words >> customer;
            return ObjectRead { objectKeyOf(textOf(customer)), textOf(customer) };
        }

        MembershipCommand readPeer(std::istringstream& words) const
        {
            std::string host;
            std::string customer;
            ConfigurationVersion version = 0;
            words >> host >> version >> customer;
            return HeartbeatReceived { { HostName(host), DataCentreName("dc1"), version, objectKeyOf(textOf(customer)), false } };
        }

        MembershipCommand readTick(std::istringstream& words)
        {
            long long milliseconds = 0;
            words >> milliseconds;
            this->now += std::chrono::milliseconds(milliseconds);
            return MembershipTick {};
        }

        void replayLine(const std::string& line)
        {
            using Reader = MembershipCommand (*)(GoldenFixture&, std::istringstream&);
            static const std::map<std::string, Reader> readers {
                { "apply", [](GoldenFixture& self, std::istringstream& words) { return self.readApply(words); } },
                { "object-written", [](GoldenFixture& self, std::istringstream& words) { return self.readObjectWritten(words); } },
                { "transaction", [](GoldenFixture& self, std::istringstream& words) { return self.readTransaction(words); } },
                { "rows", [](GoldenFixture& self, std::istringstream& words) { return self.readRows(words); } },
                { "object", [](GoldenFixture& self, std::istringstream& words) { return self.readObject(words); } },
                { "peer", [](GoldenFixture& self, std::istringstream& words) { return self.readPeer(words); } },
                { "tick", [](GoldenFixture& self, std::istringstream& words) { return self.readTick(words); } },
            };
            std::istringstream words(line);
            std::string name;
            words >> name;
            this->output << "> " << line << "\n";
            const MembershipCommand command = readers.at(name)(*this, words);
            for (const MembershipEffect& effect : this->membership.handle(command, this->now))
                std::visit([this](const auto& value) { this->print(value); }, effect);
        }

        void print(const WriteTransaction& effect)
        {
            this->lastTransaction = effect.transaction.id;
            const auto& row = std::get<ConfigurationRow>(effect.transaction.writes.front().value);
            this->output << "write-row " << effect.transaction.id << " at revision " << effect.transaction.conditions.front().version << ": version " << row.version << " " << shortKey(row.objectKey) << ", history " << row.history.size() << "\n";
        }
        void print(const ReadRows& effect) { this->output << "read-rows after " << effect.after << "\n"; }
        void print(const ReadObject& effect) { this->output << "read-object " << shortKey(effect.key) << "\n"; }
        void print(const WriteObject& effect) { this->output << "write-object " << shortKey(effect.key) << "\n"; }
        void print(const ReadHostList&) { this->output << "read-host-list\n"; }
        void print(const SendHeartbeat& effect) { this->output << "send-heartbeat " << effect.peer << "\n"; }
        void print(const PublishHosts& effect) { this->output << "publish-hosts " << effect.hosts.size() << "\n"; }
        void print(const PublishConfiguration& effect) { this->output << "publish-configuration " << effect.inForce.version << " of " << effect.inForce.declaration->customer << "\n"; }
        void print(const ReplyToOperator& effect)
        {
            this->output << "reply " << static_cast<std::uint64_t>(effect.token) << ": " << applyStatusNames.nameOf(effect.status) << ", version " << effect.version << "\n";
            for (const DeclarationChange& change : effect.changes)
                this->output << "  " << describeChange(change) << "\n";
        }
    };

    TEST_CASE_METHOD(GoldenFixture, "GoldenSession_replayed_hasTheSameEffects")
    {
        const std::string path = std::string("golden/") + GENERATE("apply.txt", "apply_ambiguous.txt", "apply_race.txt", "peers_and_silent_table.txt");
        CAPTURE(path);
        std::ifstream stream(path);
        REQUIRE(stream);
        std::string golden;
        for (std::string line; std::getline(stream, line);) {
            golden += line + "\n";
            if (line.starts_with("> "))
                this->replayLine(line.substr(2));
        }
        if (std::getenv("DRAGONFLYTRAY_REWRITE_GOLDEN"))
            std::ofstream(path) << this->output.str();
        else
            CHECK(this->output.str() == golden);
    }

} // namespace
} // namespace dragonflytray
