// standin_control: sends one HTTP request to a stand-in and prints the answer; for scripts.

#include "transport/transport.h"
#include <CLI/CLI.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace dragonflytray;
    CLI::App app("Sends one HTTP request and prints the answer's body.");
    std::string endpoint;
    std::string method;
    std::string target;
    std::string body;
    app.add_option("endpoint", endpoint)->required();
    app.add_option("method", method)->required();
    app.add_option("target", target)->required();
    app.add_option("body", body);
    CLI11_PARSE(app, argc, argv);
    auto parsedEndpoint = parseEndpoint(endpoint);
    auto parsedMethod = httpMethodNames.parse(method);
    if (!parsedEndpoint || !parsedMethod) {
        std::cerr << "the endpoint or the method is not usable\n";
        return 2;
    }
    auto answer = sendAndWait(*parsedEndpoint, { .method = *parsedMethod, .target = target, .headers = {}, .body = body }, std::chrono::seconds(5));
    if (!answer) {
        std::cerr << sendFailureKindNames.nameOf(answer.error().kind) << '\n';
        return 3;
    }
    std::cout << answer->body << '\n';
    return answer->status < 400 ? 0 : 1;
}
