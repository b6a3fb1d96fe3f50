#include "peers/peer_exchange.h"

#include "peers.grpc.pb.h"
#include "peers/peer_encoding.h"
#include <map>
#include <mutex>
#include <utility>

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

    // IncomingCall is one message of another host and our answer.
    template <typename Request, typename Answer>
    struct IncomingCall {
        grpc::ServerContext context;
        Request request;
        grpc::ServerAsyncResponseWriter<Answer> writer { &this->context };
    };

    // OutgoingCall is one message of ours and the peer's answer.
    template <typename Answer>
    struct OutgoingCall {
        grpc::ClientContext context;
        Answer answer;
        grpc::Status status;
        std::unique_ptr<grpc::ClientAsyncResponseReader<Answer>> reader;
    };

    grpc::ChannelArguments channelArguments(const PeerExchange::Options& options)
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(toMilliseconds(options.keepaliveTime)));
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(toMilliseconds(options.keepaliveTimeout)));
        arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        return arguments;
    }

} // namespace

struct PeerExchange::State {
    Options options;
    Heard heard;
    wire::Peers::AsyncService service;
    std::unique_ptr<grpc::ServerCompletionQueue> queue;
    std::unique_ptr<grpc::Server> server;
    std::map<Endpoint, std::unique_ptr<wire::Peers::Stub>> stubs;
    PeerHeartbeat own;
    std::mutex mutex; // guards isStopped, and the start of every operation on the queue
    bool isStopped { false };

    // begin() runs `start`, which starts one operation on the queue, unless stop() has been called: gRPC aborts the
    // process when an operation starts on a queue that is shut down.
    template <typename Start>
    void begin(const Start& start)
    {
        std::lock_guard lock(this->mutex);
        if (!this->isStopped)
            start();
    }

    // refuseOperations() makes begin() refuse from now on. Returns false if it did already.
    bool refuseOperations()
    {
        std::lock_guard lock(this->mutex);
        return !std::exchange(this->isStopped, true);
    }

    // await() takes the next message of one kind and the one after it, for ever. `request` is the service's
    // member for this kind.
    template <typename Request, typename Answer, typename Member>
    void await(Member request, std::function<Answer()> answer)
    {
        auto call = std::make_shared<IncomingCall<Request, Answer>>();
        const auto onRequest = [this, call, request, answer](bool isOk) {
            if (!isOk)
                return;
            this->await<Request, Answer>(request, answer);
            this->heard(decode(call->request));
            this->begin([&] { call->writer.Finish(answer(), grpc::Status::OK, makeEvent([call](bool) {})); });
        };
        this->begin([&] { (this->service.*request)(&call->context, &call->request, &call->writer, this->queue.get(), this->queue.get(), makeEvent(onRequest)); });
    }

    void awaitAll()
    {
        using Service = wire::Peers::AsyncService;
        const std::function<wire::Received()> received = [] { return wire::Received(); };
        this->await<wire::Heartbeat, wire::Heartbeat>(&Service::RequestExchange, [this] { return encode(this->own); });
        this->await<wire::ShareReport, wire::Received>(&Service::RequestReport, received);
        this->await<wire::ShareGrant, wire::Received>(&Service::RequestGrant, received);
    }

    // call() sends one message through the stub's member for its kind.
    template <typename Answer, typename Member, typename Message>
    void call(const Endpoint& endpoint, Member member, const Message& message, std::function<void(const Answer&)> onAnswer)
    {
        auto call = std::make_shared<OutgoingCall<Answer>>();
        call->context.set_deadline(std::chrono::system_clock::now() + this->options.timeout);
        const auto onFinish = [call, onAnswer = std::move(onAnswer)](bool) {
            if (call->status.ok())
                onAnswer(call->answer);
        };
        this->begin([&] {
            call->reader = (this->stubOf(endpoint).*member)(&call->context, message, this->queue.get());
            call->reader->Finish(&call->answer, &call->status, makeEvent(onFinish));
        });
    }

    wire::Peers::Stub& stubOf(const Endpoint& endpoint)
    {
        auto& stub = this->stubs[endpoint];
        if (!stub) {
            const std::string target = endpoint.address + ":" + std::to_string(endpoint.port);
            stub = wire::Peers::NewStub(grpc::CreateCustomChannel(target, grpc::InsecureChannelCredentials(), channelArguments(this->options)));
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
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, static_cast<int>(toMilliseconds(this->state->options.keepaliveTime) / 2));
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.RegisterService(&this->state->service);
    this->state->queue = builder.AddCompletionQueue();
    this->state->server = builder.BuildAndStart();
    if (!this->state->server || port == 0)
        return tl::unexpected("cannot listen on " + endpoint.address + ":" + std::to_string(endpoint.port) + " for peers");
    this->state->awaitAll();
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
    if (!this->state->refuseOperations())
        return;
    this->state->server->Shutdown(std::chrono::system_clock::now());
    this->state->queue->Shutdown();
}

void PeerExchange::post(std::function<void()> action)
{
    this->state->begin([&] {
        auto alarm = std::make_shared<grpc::Alarm>();
        alarm->Set(this->state->queue.get(), gpr_now(GPR_CLOCK_MONOTONIC), makeEvent([alarm, action = std::move(action)](bool) { action(); }));
    });
}

void PeerExchange::send(const SendHeartbeat& message)
{
    this->state->own = message.heartbeat;
    this->state->call<wire::Heartbeat>(message.endpoint, &wire::Peers::Stub::AsyncExchange, encode(message.heartbeat), [this](const wire::Heartbeat& answer) {
        if (!answer.host().empty())
            this->state->heard(decode(answer));
    });
}

void PeerExchange::send(const SendShareReport& message)
{
    this->state->call<wire::Received>(message.endpoint, &wire::Peers::Stub::AsyncReport, encode(message.report), [](const wire::Received&) {});
}

void PeerExchange::send(const SendShareGrant& message)
{
    this->state->call<wire::Received>(message.endpoint, &wire::Peers::Stub::AsyncGrant, encode(message.grant), [](const wire::Received&) {});
}

} // namespace dragonflytray
