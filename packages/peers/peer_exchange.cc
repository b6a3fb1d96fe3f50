#include "peers/peer_exchange.h"

#include "peers.grpc.pb.h"
#include <map>

#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>

namespace dragonflytray {

namespace {

    // Event is one entry of the completion queue; it deletes itself once it has run.
    struct Event {
        std::function<void(bool)> action;
    };

    void* makeEvent(std::function<void(bool)> action)
    {
        return new Event { std::move(action) };
    }

    wire::Heartbeat encode(const PeerHeartbeat& heartbeat)
    {
        wire::Heartbeat message;
        message.set_host(heartbeat.host.value());
        message.set_data_centre(heartbeat.dataCentre.value());
        message.set_version(heartbeat.version);
        message.set_object_key(heartbeat.objectKey);
        message.set_is_leaving(heartbeat.isLeaving);
        return message;
    }

    PeerHeartbeat decode(const wire::Heartbeat& message)
    {
        return { HostName(message.host()), DataCentreName(message.data_centre()), message.version(), message.object_key(), message.is_leaving() };
    }

    // IncomingCall is one heartbeat of another host and our answer.
    struct IncomingCall {
        grpc::ServerContext context;
        wire::Heartbeat request;
        grpc::ServerAsyncResponseWriter<wire::Heartbeat> writer { &this->context };
    };

    // OutgoingCall is one heartbeat of ours and the peer's answer.
    struct OutgoingCall {
        grpc::ClientContext context;
        wire::Heartbeat answer;
        grpc::Status status;
        std::unique_ptr<grpc::ClientAsyncResponseReader<wire::Heartbeat>> reader;
    };

} // namespace

struct PeerExchange::State {
    Options options;
    Heard heard;
    wire::Peers::AsyncService service;
    std::unique_ptr<grpc::ServerCompletionQueue> queue;
    std::unique_ptr<grpc::Server> server;
    std::map<Endpoint, std::unique_ptr<wire::Peers::Stub>> stubs;
    PeerHeartbeat own;

    void awaitCall()
    {
        auto call = std::make_shared<IncomingCall>();
        this->service.RequestExchange(&call->context, &call->request, &call->writer, this->queue.get(), this->queue.get(), makeEvent([this, call](bool isOk) {
            if (!isOk)
                return;
            this->awaitCall();
            this->answer(call);
        }));
    }

    void answer(const std::shared_ptr<IncomingCall>& call)
    {
        this->heard(decode(call->request));
        call->writer.Finish(encode(this->own), grpc::Status::OK, makeEvent([call](bool) {}));
    }

    wire::Peers::Stub& stubOf(const Endpoint& endpoint)
    {
        auto& stub = this->stubs[endpoint];
        if (!stub) {
            const std::string target = endpoint.address + ":" + std::to_string(endpoint.port);
            stub = wire::Peers::NewStub(grpc::CreateChannel(target, grpc::InsecureChannelCredentials()));
        }
        return *stub;
    }
};

PeerExchange::PeerExchange(Options options, Heard heard)
    : state(std::make_unique<State>())
{
    this->state->options = std::move(options);
    this->state->heard = std::move(heard);
}

PeerExchange::~PeerExchange() = default;

tl::expected<Endpoint, std::string> PeerExchange::start()
{
    const Endpoint& endpoint = this->state->options.endpoint;
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(endpoint.address + ":" + std::to_string(endpoint.port), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&this->state->service);
    this->state->queue = builder.AddCompletionQueue();
    this->state->server = builder.BuildAndStart();
    if (!this->state->server || port == 0)
        return tl::unexpected("cannot listen on " + endpoint.address + ":" + std::to_string(endpoint.port) + " for peers");
    this->state->awaitCall();
    return Endpoint { endpoint.address, static_cast<std::uint16_t>(port) };
}

void PeerExchange::run()
{
    void* tag = nullptr;
    bool isOk = false;
    while (this->state->queue->Next(&tag, &isOk)) {
        std::unique_ptr<Event> event(static_cast<Event*>(tag));
        event->action(isOk);
    }
}

void PeerExchange::stop()
{
    this->state->server->Shutdown(std::chrono::system_clock::now());
    this->state->queue->Shutdown();
}

void PeerExchange::post(std::function<void()> action)
{
    auto alarm = std::make_shared<grpc::Alarm>();
    alarm->Set(this->state->queue.get(), gpr_now(GPR_CLOCK_MONOTONIC), makeEvent([alarm, action = std::move(action)](bool) { action(); }));
}

void PeerExchange::send(const SendHeartbeat& message)
{
    this->state->own = message.heartbeat;
    auto call = std::make_shared<OutgoingCall>();
    call->context.set_deadline(std::chrono::system_clock::now() + this->state->options.timeout);
    call->reader = this->state->stubOf(message.endpoint).AsyncExchange(&call->context, encode(message.heartbeat), this->state->queue.get());
    call->reader->Finish(&call->answer, &call->status, makeEvent([this, call](bool) {
        if (call->status.ok() && !call->answer.host().empty())
            this->state->heard(decode(call->answer));
    }));
}

} // namespace dragonflytray
