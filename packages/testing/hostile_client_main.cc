// hostile_client: untrusted clients of one server, for process tests. Each connection sends the beginning of a request, then one
// piece again and again up to a number of bytes, reads nothing and stays open until the process is terminated.

#include "testing/standin_main.h"
#include "transport/transport.h"
#include <CLI/CLI.hpp>
#include <array>
#include <functional>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace dragonflytray {

namespace {

    using boost::asio::ip::tcp;

    // HostileBehaviour lists what a client does to use up a server's memory or connections.
    enum class HostileBehaviour {
        EndlessTrailers,
        LongTrailer,
        LongChunkExtension,
        SmallChunks,
        EndlessHeaders,
        ManyFields,
        Pipelined,
        SlowBody,
        AnnouncedSize,
        Idle,
        AgentManyValues,
        AgentUnreadableCalls,
        AgentLargeSpec,
        AgentManyWorkers,
        AgentLongAddresses,
    };

    constexpr NameTable hostileBehaviourNames { std::to_array<NameEntry<HostileBehaviour>>({
        { HostileBehaviour::EndlessTrailers, "endless-trailers" },
        { HostileBehaviour::LongTrailer, "long-trailer" },
        { HostileBehaviour::LongChunkExtension, "long-chunk-extension" },
        { HostileBehaviour::SmallChunks, "small-chunks" },
        { HostileBehaviour::EndlessHeaders, "endless-headers" },
        { HostileBehaviour::ManyFields, "many-fields" },
        { HostileBehaviour::Pipelined, "pipelined" },
        { HostileBehaviour::SlowBody, "slow-body" },
        { HostileBehaviour::AnnouncedSize, "announced-size" },
        { HostileBehaviour::Idle, "idle" },
        { HostileBehaviour::AgentManyValues, "agent-many-values" },
        { HostileBehaviour::AgentUnreadableCalls, "agent-unreadable-calls" },
        { HostileBehaviour::AgentLargeSpec, "agent-large-spec" },
        { HostileBehaviour::AgentManyWorkers, "agent-many-workers" },
        { HostileBehaviour::AgentLongAddresses, "agent-long-addresses" },
    }) };
    static_assert(hostileBehaviourNames.isWhole(HostileBehaviour::AgentLongAddresses));

    constexpr std::string_view chunkedHead = "POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr std::string_view announcedHead = "POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\n\r\n";
    constexpr std::size_t fieldsOfManyFields = 3900; // of four bytes each: just under the limit on the bytes of a header

    std::string repeated(std::string_view piece, std::size_t count)
    {
        std::string result;
        for (std::size_t i = 0; i < count; ++i)
            result += piece;
        return result;
    }

    // HostileScript is what a connection sends: `head` once, then `piece` again and again.
    struct HostileScript {
        std::string head;
        std::string piece;
    };

    using Json = nlohmann::json;

    std::string toCbor(const Json& json)
    {
        std::string bytes;
        Json::to_cbor(json, bytes);
        return bytes;
    }

    constexpr std::size_t exchangeBodySize = (4 << 20) - 64; // just under the limit on the body of an exchange
    constexpr std::size_t largeSpecSize = 3'900'000;
    constexpr std::size_t startsOfLargeSpec = 256; // as many as wait for one worker
    constexpr std::size_t pollsOfWorker = 8; // as many as there are connections to one worker
    constexpr std::size_t addressSize = 100'000; // not an IP address
    constexpr std::uint64_t monthMilliseconds = 30ULL * 24 * 3600 * 1000; // the longest period of a message

    // cborArray() is the head of an array of `count` items and the items.
    std::string cborArray(std::uint32_t count, const std::string& items)
    {
        std::string bytes("\x9a");
        for (unsigned shift : { 24U, 16U, 8U, 0U })
            bytes += static_cast<char>(count >> shift);
        return bytes + items;
    }

    // agentExchange() is an exchange with an agent, as a leader sends it.
    std::string agentExchange(const std::string& session, const Json& specs, const std::string& calls)
    {
        const std::string body = "\x85" + session + toCbor(toMilliseconds(BootClock::now().time_since_epoch())) + toCbor(0) + toCbor(specs) + calls;
        return "POST /agent/exchange HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string manyValues(const std::vector<std::uint16_t>&) { return agentExchange(cborArray(exchangeBodySize, std::string(exchangeBodySize, '\xa0')), Json::object(), cborArray(0, {})); }
    std::string unreadableCalls(const std::vector<std::uint16_t>&) { return agentExchange(toCbor(1), Json::object(), cborArray(exchangeBodySize, std::string(exchangeBodySize, '\x80'))); }

    std::string largeSpec(const std::vector<std::uint16_t>& silentPorts)
    {
        std::string calls;
        for (std::size_t run = 1; run <= startsOfLargeSpec; ++run)
            calls += toCbor(Json::array({ run, 1, "w", "127.0.0.1", silentPorts.front(), 1, "a", 0, 0, 0, run, "", 0, monthMilliseconds }));
        return agentExchange(toCbor(1), { { "a", std::string(largeSpecSize, 'x') } }, cborArray(startsOfLargeSpec, calls));
    }

    std::string manyWorkers(const std::vector<std::uint16_t>& silentPorts)
    {
        std::string calls;
        std::uint32_t number = 0;
        for (const std::uint16_t port : silentPorts) {
            for (std::size_t i = 0; i < pollsOfWorker; ++i)
                calls += toCbor(Json::array({ ++number, 0, "w" + std::to_string(port), "127.0.0.1", port, 1, Json(), 0, monthMilliseconds }));
        }
        return agentExchange(toCbor(1), Json::object(), cborArray(number, calls));
    }

    // longAddresses() names other addresses at each call.
    std::string longAddresses(const std::vector<std::uint16_t>&)
    {
        std::random_device device;
        constexpr std::uint32_t count = exchangeBodySize / (addressSize + 64);
        std::string calls;
        for (std::uint32_t number = 1; number <= count; ++number)
            calls += toCbor(Json::array({ number, 0, "w", std::to_string(device()) + std::string(addressSize, 'x'), 1, 1, Json(), 0, 0 }));
        return agentExchange(toCbor(1), Json::object(), cborArray(count, calls));
    }

    using AgentExchangeMaker = std::string (*)(const std::vector<std::uint16_t>& silentPorts);

    // The exchanges of the behaviours from AgentManyValues on.
    constexpr std::array agentExchangeMakers { std::to_array<AgentExchangeMaker>({ &manyValues, &unreadableCalls, &largeSpec, &manyWorkers, &longAddresses }) };
    static_assert(indexOf(HostileBehaviour::AgentManyValues) + agentExchangeMakers.size() == hostileBehaviourNames.size());

    HostileScript scriptOf(HostileBehaviour behaviour, const std::vector<std::uint16_t>& silentPorts)
    {
        if (behaviour >= HostileBehaviour::AgentManyValues)
            return { agentExchangeMakers[indexOf(behaviour) - indexOf(HostileBehaviour::AgentManyValues)](silentPorts), {} };
        constexpr std::size_t pieceSize = 4096;
        const std::string chunk = "1;name=\"" + std::string(24, 'x') + "\"\r\ny\r\n";
        const std::string request = "GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n";
        const std::array<HostileScript, hostileBehaviourNames.size()> scripts { {
            { std::string(chunkedHead) + "1\r\ny\r\n0\r\n", repeated("t: value\r\n", pieceSize / 10) },
            { std::string(chunkedHead) + "1\r\ny\r\n0\r\nt: ", std::string(pieceSize, 'x') },
            { std::string(chunkedHead) + "1;name=", std::string(pieceSize, 'x') },
            { std::string(chunkedHead), repeated(chunk, pieceSize / chunk.size()) },
            { "GET /a/ HTTP/1.1\r\nHost: a\r\n", repeated("t: value\r\n", pieceSize / 10) },
            { "POST /a/ HTTP/1.1\r\nContent-Length: 200000\r\n" + repeated("a:\r\n", fieldsOfManyFields) + "\r\n", {} },
            { {}, repeated(request, pieceSize / request.size()) },
            { std::string(announcedHead), std::string(pieceSize, 'x') },
            { std::string(announcedHead), {} },
            { {}, {} },
        } };
        return scripts[indexOf(behaviour)];
    }

    // HostileConnection sends one script over one connection.
    class HostileConnection {
    public:
        HostileConnection(boost::asio::io_context& context, HostileScript script, std::size_t bytes)
            : socket(context)
            , script(std::move(script))
            , bytes(bytes)
        {
        }

        void connect(const tcp::endpoint& endpoint)
        {
            this->socket.async_connect(endpoint, [this](boost::system::error_code error) {
                this->hasProgress = true;
                if (!error)
                    this->write(this->script.head);
            });
        }

        // takeProgress() says whether anything was sent since the last call.
        bool takeProgress() { return std::exchange(this->hasProgress, false); }
        std::size_t sentBytes() const { return this->sent; }

    private:
        void write(const std::string& text)
        {
            boost::asio::async_write(this->socket, boost::asio::buffer(text), [this](boost::system::error_code error, std::size_t count) {
                this->hasProgress = true;
                this->sent += count;
                if (!error && !this->script.piece.empty() && this->sent + this->script.piece.size() <= this->bytes)
                    this->write(this->script.piece);
            });
        }

        tcp::socket socket;
        const HostileScript script;
        std::size_t bytes;
        std::size_t sent { 0 };
        bool hasProgress { false };
    };

    // HostileClients runs `count` connections and calls `settled` once none of them has sent anything for a second.
    class HostileClients {
    public:
        HostileClients(boost::asio::io_context& context, HostileBehaviour behaviour, std::size_t count, std::size_t bytes, const std::vector<std::uint16_t>& silentPorts)
            : timer(context)
        {
            for (std::size_t i = 0; i < count; ++i)
                this->connections.emplace_back(context, scriptOf(behaviour, silentPorts), bytes);
        }

        void start(const tcp::endpoint& endpoint, std::function<void(std::size_t sentBytes)> settled)
        {
            this->settled = std::move(settled);
            for (HostileConnection& connection : this->connections)
                connection.connect(endpoint);
            this->watchProgress();
        }

    private:
        void watchProgress()
        {
            this->timer.expires_after(std::chrono::seconds(1));
            this->timer.async_wait([this](boost::system::error_code) {
                std::size_t sentBytes = 0;
                bool hasProgress = false;
                for (HostileConnection& connection : this->connections) {
                    hasProgress = connection.takeProgress() || hasProgress;
                    sentBytes += connection.sentBytes();
                }
                if (hasProgress)
                    return this->watchProgress();
                this->settled(sentBytes);
            });
        }

        boost::asio::steady_timer timer;
        std::list<HostileConnection> connections;
        std::function<void(std::size_t)> settled;
    };

    // SilentWorkers are listening sockets whose connections are never accepted: calls to them are not answered.
    class SilentWorkers {
    public:
        SilentWorkers(boost::asio::io_context& context, std::size_t count)
        {
            for (std::size_t i = 0; i < count; ++i) {
                this->acceptors.emplace_back(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
                this->ports.push_back(this->acceptors.back().local_endpoint().port());
            }
        }

        const std::vector<std::uint16_t>& portNumbers() const { return this->ports; }

    private:
        std::list<tcp::acceptor> acceptors;
        std::vector<std::uint16_t> ports;
    };

} // namespace

} // namespace dragonflytray

int main(int argc, char** argv)
{
    using namespace dragonflytray;
    CLI::App app("Untrusted clients of one server, for tests.");
    std::string endpointsFile;
    std::string endpointText;
    std::string behaviourName;
    std::size_t count = 1;
    std::size_t bytes = 0;
    std::size_t silentWorkers = 1;
    app.add_option("--endpoints-file", endpointsFile, "written once no connection has sent anything for a second")->required();
    app.add_option("--endpoint", endpointText)->required();
    app.add_option("--behaviour", behaviourName)->required();
    app.add_option("--connections", count);
    app.add_option("--bytes", bytes, "that each connection sends at most");
    app.add_option("--silent-workers", silentWorkers, "at which calls through an agent are aimed");
    CLI11_PARSE(app, argc, argv);
    const auto endpoint = parseEndpoint(endpointText);
    const auto behaviour = hostileBehaviourNames.parse(behaviourName);
    if (!endpoint || !behaviour) {
        std::cerr << "the endpoint or the behaviour is not usable\n";
        return 2;
    }
    boost::asio::io_context context;
    const SilentWorkers workers(context, silentWorkers);
    HostileClients clients(context, *behaviour, count, bytes, workers.portNumbers());
    clients.start({ boost::asio::ip::make_address(endpoint->address), endpoint->port }, [&](std::size_t sentBytes) {
        std::cout << "sent " << sentBytes << " bytes\n"
                  << std::flush;
        writeEndpointLines(endpointsFile, { "sent=" + std::to_string(sentBytes) });
    });
    const auto work = boost::asio::make_work_guard(context); // until the process is terminated
    context.run();
    return 0;
}
