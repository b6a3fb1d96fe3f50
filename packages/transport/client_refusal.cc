#include "transport/client_refusal.h"

namespace dragonflytray {

namespace {

    constexpr Duration lineInterval = std::chrono::seconds(10);

} // namespace

std::optional<std::string> RefusalSummary::add(ClientRefusal cause, Instant now)
{
    ++this->total[cause];
    if (this->lastLine && now < *this->lastLine + lineInterval)
        return std::nullopt;
    this->lastLine = now;
    std::string sentence = "Clients are refused or disconnected:";
    const char* separator = " ";
    for (const auto& [value, name] : clientRefusalNames) {
        if (this->total[value] == this->logged[value])
            continue;
        sentence += separator + std::string(name) + " " + std::to_string(this->total[value] - this->logged[value]);
        separator = ", ";
    }
    this->logged = this->total;
    return sentence + ".";
}

} // namespace dragonflytray
