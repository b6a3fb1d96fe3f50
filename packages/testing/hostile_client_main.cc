// hostile_client: untrusted clients of one server, for process tests. Each connection sends the beginning of a request, then one
// piece again and again up to a number of bytes, reads nothing and stays open until the process is terminated.

#include "testing/standin_main.h"
#include "transport/transport.h"
#include <CLI/CLI.hpp>
#include <array>
#include <functional>
#include <iostream>
#include <list>
#include <utility>

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
    }) };
    static_assert(hostileBehaviourNames.isWhole(HostileBehaviour::Idle));

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

    HostileScript scriptOf(HostileBehaviour behaviour)
    {
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
        HostileConnection(boost::asio::io_context& context, const HostileScript& script, std::size_t bytes)
            : socket(context)
            , script(script)
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
        const HostileScript& script;
        std::size_t bytes;
        std::size_t sent { 0 };
        bool hasProgress { false };
    };

    // HostileClients runs `count` connections and calls `settled` once none of them has sent anything for a second.
    class HostileClients {
    public:
        HostileClients(boost::asio::io_context& context, HostileBehaviour behaviour, std::size_t count, std::size_t bytes)
            : timer(context)
            , script(scriptOf(behaviour))
        {
            for (std::size_t i = 0; i < count; ++i)
                this->connections.emplace_back(context, this->script, bytes);
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
        HostileScript script;
        std::list<HostileConnection> connections;
        std::function<void(std::size_t)> settled;
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
    app.add_option("--endpoints-file", endpointsFile, "written once no connection has sent anything for a second")->required();
    app.add_option("--endpoint", endpointText)->required();
    app.add_option("--behaviour", behaviourName)->required();
    app.add_option("--connections", count);
    app.add_option("--bytes", bytes, "that each connection sends at most");
    CLI11_PARSE(app, argc, argv);
    const auto endpoint = parseEndpoint(endpointText);
    const auto behaviour = hostileBehaviourNames.parse(behaviourName);
    if (!endpoint || !behaviour) {
        std::cerr << "the endpoint or the behaviour is not usable\n";
        return 2;
    }
    boost::asio::io_context context;
    HostileClients clients(context, *behaviour, count, bytes);
    clients.start({ boost::asio::ip::make_address(endpoint->address), endpoint->port }, [&](std::size_t sentBytes) {
        std::cout << "sent " << sentBytes << " bytes\n"
                  << std::flush;
        writeEndpointLines(endpointsFile, { "sent=" + std::to_string(sentBytes) });
    });
    const auto work = boost::asio::make_work_guard(context); // until the process is terminated
    context.run();
    return 0;
}
