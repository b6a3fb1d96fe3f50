#pragma once

// Blocking HTTP/1.1 over loopback TCP for the stand-ins of the review: a server with a thread for each connection, and a client.

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace lab {

struct Request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Response {
    int status { 0 }; // 0: no answer
    std::string body;
};

// Handler returns the response, or nothing to close the connection without one.
using Handler = std::function<std::optional<Response>(const Request&)>;

class Server {
public:
    // The server listens on 127.0.0.1; port 0 selects a free one.
    Server(int port, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    int port() const { return boundPort; }
    bool isStopped() const { return stopped; }

    // stop() closes the listening socket and resets all connections, as the end of a process does.
    void stop();

private:
    void accept();
    void serve(int socket);

    Handler handler;
    int listener { -1 };
    int boundPort { 0 };
    std::atomic<bool> stopped { false };
    std::atomic<int> connections { 0 };
    std::mutex mutex;
    std::set<int> sockets;
    std::thread acceptor;
};

// call() sends a request on a new connection and returns the response; status 0 means that there was none within `timeoutMs`.
Response call(int port, const std::string& method, const std::string& target, const std::string& host, const std::string& body, int timeoutMs);

// freePort() returns a port on which nothing listens at present.
int freePort();

} // namespace lab
