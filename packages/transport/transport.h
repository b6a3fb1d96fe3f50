#pragma once

// The public header of the `transport` library: an event loop and HTTP/1.1 in both directions, on
// Boost.Asio and Boost.Beast. No Boost header is needed by its users.
//
// Example:
//
//     IoLoop loop;
//     HttpServer server(loop, { .endpoint = { "127.0.0.1", 0 } }, [](HttpRequest, std::shared_ptr<HttpReply> reply) {
//         reply->send({ .status = 200, .body = "hello" });
//     });
//     auto bound = server.start();
//     loop.run();

#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "transport/io_loop.h"
