#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int listenOn(int port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        const sockaddr_in address = loopback(port);
        if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || ::listen(socket, 512) != 0) {
            ::close(socket);
            return -1;
        }
        return socket;
    }

    int portOf(int socket)
    {
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
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

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return text;
    }

    std::string decodePercent(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }

    // Message is the head and the body of a request or a response.
    struct Message {
        std::string firstLine;
        std::map<std::string, std::string> headers;
        std::string body;
    };

    // read() reads one message; `buffer` keeps what follows it.
    std::optional<Message> read(int socket, std::string& buffer, const std::function<bool()>& mayGoOn)
    {
        const auto more = [&] {
            while (mayGoOn()) {
                pollfd wait { socket, POLLIN, 0 };
                if (::poll(&wait, 1, 50) == 0)
                    continue;
                char bytes[65536];
                const ssize_t count = ::recv(socket, bytes, sizeof(bytes), 0);
                if (count <= 0)
                    return false;
                buffer.append(bytes, static_cast<std::size_t>(count));
                return true;
            }
            return false;
        };
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more())
                return std::nullopt;
        }
        Message message;
        std::size_t begin = buffer.find("\r\n");
        message.firstLine = buffer.substr(0, begin);
        while (begin < end) {
            const std::size_t next = buffer.find("\r\n", begin + 2);
            const std::string line = buffer.substr(begin + 2, next - begin - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos)
                message.headers[lowerCase(line.substr(0, colon))] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
            begin = next;
        }
        buffer.erase(0, end + 4);
        const auto length = message.headers.find("content-length");
        const std::size_t size = length == message.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
        while (buffer.size() < size) {
            if (!more())
                return std::nullopt;
        }
        message.body = buffer.substr(0, size);
        buffer.erase(0, size);
        return message;
    }

    Request requestOf(Message message)
    {
        Request request { .method = {}, .path = {}, .query = {}, .headers = std::move(message.headers), .body = std::move(message.body) };
        const std::size_t first = message.firstLine.find(' ');
        const std::size_t second = message.firstLine.find(' ', first + 1);
        request.method = message.firstLine.substr(0, first);
        const std::string target = message.firstLine.substr(first + 1, second - first - 1);
        const std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
        while (!rest.empty()) {
            const std::size_t end = std::min(rest.find('&'), rest.size());
            const std::string field = rest.substr(0, end);
            const std::size_t equals = field.find('=');
            if (equals != std::string::npos)
                request.query[field.substr(0, equals)] = decodePercent(field.substr(equals + 1));
            rest.erase(0, end + 1);
        }
        return request;
    }

} // namespace

Server::Server(Handler handler)
    : handler(std::move(handler))
{
}

void Server::open(int port)
{
    for (int attempt = 0; attempt < 100 && this->listener < 0; ++attempt) {
        this->listener = listenOn(port);
        if (this->listener < 0)
            ::usleep(20'000);
    }
    if (this->listener < 0)
        std::_Exit(2);
    this->boundPort = portOf(this->listener);
    this->isOpen = true;
    this->acceptor = std::thread([this] { this->accept(); });
}

void Server::close()
{
    if (!this->isOpen.exchange(false))
        return;
    this->acceptor.join();
    ::close(this->listener);
    this->listener = -1;
    {
        const std::lock_guard lock(this->mutex);
        for (const int socket : this->sockets)
            ::shutdown(socket, SHUT_RDWR);
    }
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
}

void Server::accept()
{
    while (this->isOpen) {
        pollfd wait { this->listener, POLLIN, 0 };
        if (::poll(&wait, 1, 20) <= 0 || this->isCut)
            continue;
        const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const int yes = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        const std::lock_guard lock(this->mutex);
        this->sockets.insert(socket);
        this->threads.emplace_back([this, socket] { this->serve(socket); });
    }
}

void Server::serve(int socket)
{
    std::string buffer;
    while (this->isOpen) {
        auto message = read(socket, buffer, [this] { return this->isOpen.load(); });
        while (this->isCut && this->isOpen)
            ::usleep(20'000);
        if (!message || !this->isOpen)
            break;
        const Response response = this->handler(requestOf(std::move(*message)));
        while (this->isCut && this->isOpen)
            ::usleep(20'000);
        if (!this->isOpen || response.status == 0)
            break;
        if (!sendAll(socket, "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body))
            break;
    }
    const std::lock_guard lock(this->mutex);
    this->sockets.erase(socket);
    ::close(socket);
}

Response call(int port, const std::string& head, const std::string& body, int timeoutMilliseconds)
{
    const auto now = [] {
        timespec time {};
        ::clock_gettime(CLOCK_MONOTONIC, &time);
        return time.tv_sec * 1000 + time.tv_nsec / 1'000'000;
    };
    const auto deadline = now() + timeoutMilliseconds;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    Response response;
    const bool isSent = ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0
        && sendAll(socket, head + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
    std::string buffer;
    if (auto message = isSent ? read(socket, buffer, [&] { return now() < deadline; }) : std::nullopt) {
        response.status = static_cast<int>(std::strtol(message->firstLine.substr(std::min<std::size_t>(9, message->firstLine.size())).c_str(), nullptr, 10));
        response.body = std::move(message->body);
    }
    ::close(socket);
    return response;
}

int freePort()
{
    const int socket = listenOn(0);
    const int port = portOf(socket);
    ::close(socket);
    return port;
}

} // namespace review
