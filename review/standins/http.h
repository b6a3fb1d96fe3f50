#pragma once

// A small blocking HTTP/1.1 server and client for the stand-ins of the review, on loopback addresses only.

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct Request {
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Response {
    int status { 0 }; // 0: no answer
    std::string body;
};

// Server serves each connection on a thread of its own.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;

    explicit Server(Handler handler);
    ~Server() { this->close(); }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // open() listens on `port` of 127.0.0.1, or on a free one if it is 0.
    void open(int port);

    // close() ends all connections, as the end of a process does.
    void close();

    // cut() makes the server read and answer nothing until heal(), without closing anything, as a partition does.
    void cut() { this->isCut = true; }
    void heal() { this->isCut = false; }

    int port() const { return this->boundPort; }

private:
    void accept();
    void serve(int socket);

    Handler handler;
    int listener { -1 };
    int boundPort { 0 };
    std::atomic<bool> isOpen { false };
    std::atomic<bool> isCut { false };
    std::thread acceptor;
    std::mutex mutex;
    std::set<int> sockets;
    std::vector<std::thread> threads;
};

// call() sends one request to a port of 127.0.0.1 and waits for its answer; status 0 if there is none within the timeout.
Response call(int port, const std::string& head, const std::string& body, int timeoutMilliseconds);

// freePort() returns a port of 127.0.0.1 on which nobody listens.
int freePort();

} // namespace review
