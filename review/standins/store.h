#pragma once

// A stand-in of the platform's store: rows, transactions and feeds, as the users' pages describe them.

#include "http.h"

#include <condition_variable>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

std::int64_t steadyMilliseconds();
std::string encodeBase64(const std::string& bytes);
std::size_t decodedSize(const std::string& base64);

class Store {
public:
    Store();

    void open() { this->server.open(0); }
    int port() const { return this->server.port(); }

    // put() and remove() change a row of another writer, such as a runner or the operator.
    void put(const std::string& table, const std::string& key, const Json& value);
    void remove(const std::string& table, const std::string& key);

    // refused() is how many transactions were refused with 400 because of the size of a row.
    std::size_t refused() const { return this->refusedCount; }
    std::size_t largestRow() const { return this->largestRefusedRow; }

private:
    struct RowKey {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const RowKey&) const = default;
    };
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
        bool isDeleted { false };
    };

    Response handle(const Request& request);
    Response transact(const Json& body);
    Response get(const Request& request);
    Response feed(const Request& request);
    Response answer(int status, Json body) const;
    static RowKey keyOf(const Json& row);
    static Json encode(const RowKey& key, const Row& row);
    void write(const RowKey& key, Row row);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<RowKey, Row> rows;
    std::map<std::uint64_t, std::vector<RowKey>> changes; // by version
    std::uint64_t version { 0 };
    std::atomic<std::size_t> refusedCount { 0 };
    std::atomic<std::size_t> largestRefusedRow { 0 };
    Server server;
};

} // namespace review
