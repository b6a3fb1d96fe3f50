#pragma once

// HTTP messages as plain values, apart from the library that puts them on the wire.

#include "base/base.h"
#include "model/model.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflytray {

// HttpMethod lists the methods that the system's edges use.
enum class HttpMethod {
    Get,
    Post,
    Put,
    Delete,
};

inline constexpr NameTable httpMethodNames { std::to_array<NameEntry<HttpMethod>>({
    { HttpMethod::Get, "GET" },
    { HttpMethod::Post, "POST" },
    { HttpMethod::Put, "PUT" },
    { HttpMethod::Delete, "DELETE" },
}) };
static_assert(httpMethodNames.isWhole(HttpMethod::Delete));

// HttpHeaders maps lower-case header names to values.
using HttpHeaders = std::map<std::string, std::string>;

// HttpRequest is one whole request. `target` is the path with its query.
struct HttpRequest {
    HttpMethod method { HttpMethod::Get };
    std::string target;
    HttpHeaders headers;
    std::string body;

    // path() is the target without its query, split at each slash and percent-decoded.
    std::vector<std::string> path() const;

    // query() is the decoded value of one query parameter, or nothing.
    std::optional<std::string> query(std::string_view name) const;

    // header() is the value of one header by its lower-case name, or empty.
    std::string header(const std::string& name) const;
};

// HttpResponse is one whole response, or the head of a stream.
struct HttpResponse {
    unsigned status { 200 };
    std::string contentType { "application/json" };
    HttpHeaders headers {};
    std::string body {};
};

// percentEncode() makes `text` safe as one segment of a path or one value of a query.
std::string percentEncode(std::string_view text);

// parseEndpoint() reads `address:port`, or nothing when it is neither.
std::optional<Endpoint> parseEndpoint(std::string_view text);

// formatEndpoint() is `address:port`.
std::string formatEndpoint(const Endpoint& endpoint);

} // namespace dragonflytray
