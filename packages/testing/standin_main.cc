#include "testing/standin_main.h"

#include "platform/internal/host_json.h"
#include <csignal>
#include <cstdio>
#include <fstream>

namespace dragonflytray {

void writeEndpointLines(const std::string& path, const std::vector<std::string>& lines)
{
    const std::string partial = path + ".partial";
    {
        std::ofstream stream(partial);
        for (const std::string& line : lines)
            stream << line << '\n';
    }
    std::rename(partial.c_str(), path.c_str());
}

bool registerHost(const Endpoint& platform, const Host& host)
{
    HttpRequest request { .method = HttpMethod::Put, .target = "/hosts/" + percentEncode(host.name.value()), .headers = {}, .body = internal::encodeHost(host).dump() };
    auto answer = sendAndWait(platform, std::move(request), std::chrono::seconds(5));
    return answer && answer->status == 200;
}

void runUntilTerminated(IoLoop& loop)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    DutyThread thread({ .name = "standin" }, [&] { loop.run(); });
    int signal = 0;
    sigwait(&set, &signal);
    loop.stop();
}

} // namespace dragonflytray
