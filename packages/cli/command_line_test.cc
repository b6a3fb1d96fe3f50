// Arguments may hold any bytes, and responses values of any type: an argument that can't be sent is a finding, a response is
// printed as far as it can be read, and the process goes on.

#include "cli/cli.h"

#include "entry/duty_fixture.h"
#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>

namespace dragonflytray {
namespace {

    // CommandLineFixture runs single commands against an entry host that answers `answer` to each request.
    class CommandLineFixture {
    protected:
        CommandLineFixture()
            : originalOutput(std::cout.rdbuf(this->output.rdbuf()))
            , originalErrors(std::cerr.rdbuf(this->output.rdbuf()))
        {
        }
        ~CommandLineFixture()
        {
            std::cout.rdbuf(this->originalOutput);
            std::cerr.rdbuf(this->originalErrors);
        }

        // run() returns what the command has printed.
        std::string run(const std::vector<std::string>& arguments, OutputForm form = OutputForm::Json)
        {
            this->output.str({});
            CLI::App app;
            Context context { .host = formatEndpoint(this->host.endpoint()), .output = form };
            for (const auto add : { &addApply, &addCancel, &addSubmit, &addBench, &addDiff, &addExplain, &addShow, &addStatus })
                add(app, context);
            app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
            this->exitCode = context.exitCode;
            return this->output.str();
        }

        StandinAnswer answer; // set before run()
        ExitCode exitCode { ExitCode::Done }; // of the last command

    private:
        std::ostringstream output;
        std::streambuf* originalOutput;
        std::streambuf* originalErrors;
        StandinPeer host { [this](const std::string&) { return this->answer; } };
    };

} // namespace

TEST_CASE_METHOD(CommandLineFixture, "CommandLine_argumentIsNotUtf8_isNamedAndNothingIsSubmitted")
{
    this->answer.body = R"({"status":"accepted"})";
    CHECK(this->run({ "submit", "job", "--team", "a\xc3\xa7", "--class", "b" }).find("accepted") != std::string::npos);
    CHECK(this->run({ "submit", "job", "--team", "a\xe7", "--class", "b" }) == "the argument \"a\xef\xbf\xbd\" is not UTF-8\n");
    CHECK(this->exitCode == ExitCode::Faulty);
}

TEST_CASE_METHOD(CommandLineFixture, "CommandLine_answerHasOtherTypes_isPrinted")
{
    const std::string ownSource = "CMakeLists.txt";
    const std::vector<std::vector<std::string>> commands { { "apply", ownSource }, { "apply", ownSource, "--base", "1" }, { "diff", ownSource }, { "show", "configuration" }, { "show", "jobs" }, { "status" }, { "cancel", "job" }, { "explain", "job", "job" }, { "bench", "--stream", "name=a,team=t,service=s,rate=50,seconds=0.2" } };
    for (const std::string body : { R"({"version":"7","text":7,"findings":[3,{"hint":3,"line":"3"}],"changes":[3,{"kind":3}],"reason":7,"jobs":7})", R"({"version":-1,"findings":"text","changes":7})", R"([{"a":1},{"b":[]}])", "7", "", "{\"text\":\"\xe7\"}" }) {
        this->answer = { .status = 503, .body = body };
        for (const std::vector<std::string>& command : commands) {
            for (const auto& form : outputFormNames) {
                INFO(command.front() << " as " << form.name << ": " << body);
                CHECK_NOTHROW(this->run(command, form.value));
            }
        }
    }
}

TEST_CASE_METHOD(CommandLineFixture, "CommandLine_answerIsNestedDeeply_isNotPrinted")
{
    this->answer.body = std::string(200'000, '[') + std::string(200'000, ']');
    CHECK(this->run({ "explain", "job", "job" }) == "<discarded>\n");
}

TEST_CASE_METHOD(CommandLineFixture, "Render_textIsNotUtf8_isReplaced")
{
    std::ostringstream stream;
    render(stream, nlohmann::json::array({ "\xe7" }), OutputForm::Json);
    CHECK(stream.str() == "[\n  \"\xef\xbf\xbd\"\n]\n");
}

} // namespace dragonflytray
