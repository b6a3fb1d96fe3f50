#include "cli/connection.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace dragonflytray {

std::optional<HttpResponse> exchange(Context& context, HttpRequest request)
{
    auto endpoint = parseEndpoint(context.host);
    if (!endpoint) {
        std::cerr << "--host must be an IP address and a port, for example 127.0.0.1:8080\n";
        context.exitCode = ExitCode::Faulty;
        return std::nullopt;
    }
    auto answer = sendAndWait(*endpoint, std::move(request), context.timeout);
    if (answer)
        return std::move(*answer);
    std::cerr << "No answer from " << context.host << ": " << sendFailureKindNames.nameOf(answer.error().kind) << "\n";
    context.exitCode = answer.error().isSurelyNotSent ? ExitCode::Unreachable : ExitCode::Unknown;
    return std::nullopt;
}

std::optional<std::string> readInput(Context& context, const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream stream(path);
    if (stream) {
        text << stream.rdbuf();
        return text.str();
    }
    std::cerr << path << ": the file cannot be read\n";
    context.exitCode = ExitCode::Faulty;
    return std::nullopt;
}

ExitCode exitCodeOf(unsigned status)
{
    constexpr unsigned firstClientError = 400;
    constexpr unsigned unprocessable = 422;
    constexpr unsigned badGateway = 502;
    constexpr unsigned gatewayTimeout = 504;
    if (status < firstClientError)
        return ExitCode::Done;
    if (status == firstClientError || status == unprocessable)
        return ExitCode::Faulty;
    if (status == badGateway || status == gatewayTimeout)
        return ExitCode::Unknown;
    return ExitCode::Refused;
}

} // namespace dragonflytray
