#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace lab {

namespace {

    constexpr int backlog = 512;
    constexpr std::size_t readSize = 65536;

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int portOf(int socket)
    {
        sockaddr_in address {};
        socklen_t size = sizeof address;
        getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return text;
    }

    bool sendAll(int socket, const std::string& bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    bool readMore(int socket, std::string& buffer)
    {
        char part[readSize];
        const ssize_t count = ::recv(socket, part, sizeof part, 0);
        if (count > 0)
            buffer.append(part, static_cast<std::size_t>(count));
        return count > 0;
    }

    // readMessage() reads one message with a Content-Length; `first` receives its first line.
    bool readMessage(int socket, std::string& buffer, std::string& first, std::map<std::string, std::string>& headers, std::string& body)
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(socket, buffer))
                return false;
        }
        headers.clear();
        std::size_t position = buffer.find("\r\n");
        first = buffer.substr(0, position);
        while (position < end) {
            const std::size_t begin = position + 2;
            position = buffer.find("\r\n", begin);
            const std::string line = buffer.substr(begin, position - begin);
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            headers[lower(line.substr(0, colon))] = line.substr(value);
        }
        const auto found = headers.find("content-length");
        const std::size_t length = found == headers.end() ? 0 : std::stoul(found->second);
        while (buffer.size() < end + 4 + length) {
            if (!readMore(socket, buffer))
                return false;
        }
        body = buffer.substr(end + 4, length);
        buffer.erase(0, end + 4 + length);
        return true;
    }

} // namespace

Server::Server(int port, Handler handler)
    : handler(std::move(handler))
{
    listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(listener, backlog) != 0)
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    boundPort = portOf(listener);
    acceptor = std::thread([this] { accept(); });
}

Server::~Server()
{
    stop();
    while (connections > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
}

void Server::stop()
{
    if (stopped.exchange(true))
        return;
    ::shutdown(listener, SHUT_RDWR);
    acceptor.join();
    ::close(listener);
    const std::lock_guard lock(mutex);
    for (const int socket : sockets) {
        const linger reset { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(socket, SHUT_RDWR);
    }
}

void Server::accept()
{
    while (!stopped) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++connections;
        {
            const std::lock_guard lock(mutex);
            sockets.insert(socket);
        }
        std::thread([this, socket] {
            serve(socket);
            {
                const std::lock_guard lock(mutex);
                sockets.erase(socket);
                ::close(socket);
            }
            --connections;
        }).detach();
    }
}

void Server::serve(int socket)
{
    std::string buffer;
    std::string first;
    Request request;
    while (!stopped && readMessage(socket, buffer, first, request.headers, request.body)) {
        const std::size_t space = first.find(' ');
        request.method = first.substr(0, space);
        request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
        const auto response = handler(request);
        if (!response || stopped)
            return;
        const std::string head = "HTTP/1.1 " + std::to_string(response->status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response->body.size()) + "\r\n\r\n";
        if (!sendAll(socket, head + response->body))
            return;
    }
}

Response call(int port, const std::string& method, const std::string& target, const std::string& host, const std::string& body, int timeoutMs)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const sockaddr_in address = loopback(port);
    Response response;
    std::string head = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Dragonflytray-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n";
    if (!body.empty())
        head += "Content-Type: application/json\r\n";
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    std::string buffer;
    std::string first;
    std::map<std::string, std::string> headers;
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && sendAll(socket, head + body) && readMessage(socket, buffer, first, headers, response.body))
        response.status = std::atoi(first.c_str() + first.find(' '));
    ::close(socket);
    return response;
}

int freePort()
{
    // Below the ports that the system gives to outgoing connections.
    constexpr int firstPort = 20000;
    constexpr int lastPort = 31999;
    static std::mt19937 random(std::random_device {}());
    static std::set<int> given;
    for (;;) {
        const int port = std::uniform_int_distribution<int>(firstPort, lastPort)(random);
        if (!given.insert(port).second)
            continue;
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree = bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
        if (isFree)
            return port;
    }
}

} // namespace lab
