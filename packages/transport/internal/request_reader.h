#pragma once

// Parses the requests of one connection within limits; for this library's own sources.

#include "transport/client_refusal.h"
#include "transport/http_message.h"
#include "transport/request_limits.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

namespace dragonflytray::internal {

// ReceivedBody is a body in a string that grows as bytes arrive. Beast's string_body reserves the announced size at once.
struct ReceivedBody {
    using value_type = std::string;

    class reader {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : body(body)
        {
        }

        static void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& error) { error = {}; }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& error)
        {
            error = {};
            std::size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                this->body.append(static_cast<const char*>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            return count;
        }

        static void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& body;
    };
};

// ReadProgress is how far the present request is.
enum class ReadProgress {
    Incomplete,
    Complete,
    Refused, // refusal() says why; nothing is read any more
};

// ReceivedRequest is a whole request as it came in.
struct ReceivedRequest {
    std::optional<HttpMethod> method; // nothing if it is not supported
    HttpRequest request;
    bool isKeptAlive { false };
};

// RequestReader holds the bytes that are not parsed yet and the request that is being parsed. After Complete, take() comes before
// the next call; the bytes of a pipelined request stay in the buffer.
class RequestReader {
public:
    explicit RequestReader(const RequestLimits& limits);

    // append() copies bytes and parses them. There are no more than prepare() has room for.
    ReadProgress append(std::string_view bytes);

    // prepare() is room for bytes of the peer; commit() parses those that have been written there.
    boost::asio::mutable_buffer prepare();
    ReadProgress commit(std::size_t count);

    // begin() prepares for the next request and parses what there is of it.
    ReadProgress begin();

    // take() hands over the whole request and releases the memory that is not needed for what has arrived after it.
    ReceivedRequest take();

    // hasBytes() says whether bytes have arrived that are not parsed yet.
    bool hasBytes() const { return this->buffer.size() > 0; }

    // heldBytes() is the memory that the present request takes.
    std::size_t heldBytes() const;

    ClientRefusal refusal() const { return this->cause; }

private:
    using Parser = boost::beast::http::request_parser<ReceivedBody>;

    ReadProgress parse();
    ReadProgress refuse(ClientRefusal value);

    // parseOnce() gives the buffer to the parser; Incomplete without `isStalled` means that there is more to parse.
    ReadProgress parseOnce(bool& isStalled);

    std::size_t fieldCount() const;

    const RequestLimits& limits;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::size_t wire { 0 }; // bytes of the present request that have arrived
    std::size_t headerBytes { 0 };
    ClientRefusal cause { ClientRefusal::Malformed };
};

} // namespace dragonflytray::internal
