#include "testing/faults.h"

#include <nlohmann/json.hpp>

namespace dragonflytray {

bool FaultSwitch::set(const std::string& body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return false;
    auto parsed = faultNames.parse(json.value("fault", ""));
    if (!parsed)
        return false;
    this->fault = *parsed;
    this->delay = std::chrono::milliseconds(json.value("milliseconds", 0));
    if (this->fault != Fault::Silent)
        this->silenced.clear();
    return true;
}

void FaultSwitch::take(const HttpRequest& request, HttpReply& reply, HttpServer& server)
{
    const bool isSet = this->set(request.body);
    reply.send({ .status = isSet ? 200U : 400U, .headers = {}, .body = "{}" });
    if (isSet && this->fault == Fault::SilentConnections)
        server.silenceConnections();
}

bool FaultSwitch::refuses(HttpReply& reply) const
{
    if (this->fault != Fault::Down)
        return false;
    reply.send({ .status = 503, .headers = {}, .body = "{}" });
    return true;
}

void FaultSwitch::answer(std::shared_ptr<HttpReply> reply, HttpResponse response)
{
    switch (this->fault) {
    case Fault::LoseAnswers:
        return; // the dropped reply closes the connection
    case Fault::Silent:
        this->silenced.push_back(std::move(reply));
        return;
    case Fault::Slow:
        this->loop.after(this->delay, [reply, response = std::move(response)] { reply->send(response); });
        return;
    default:
        reply->send(std::move(response));
    }
}

} // namespace dragonflytray
