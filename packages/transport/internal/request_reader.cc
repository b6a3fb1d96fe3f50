#include "transport/internal/request_reader.h"

#include <algorithm>
#include <iterator>

#include <boost/beast/http/error.hpp>

namespace dragonflytray::internal {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::size_t headerPiece = 4 << 10; // bytes of one read; a usual request fits
    constexpr std::size_t bodyPiece = 16 << 10;

    std::optional<HttpMethod> methodOf(http::verb verb)
    {
        return httpMethodNames.parse(std::string_view(http::to_string(verb).data(), http::to_string(verb).size()));
    }

    std::string lowerCase(beast::string_view text)
    {
        std::string result(text.data(), text.size());
        for (char& character : result)
            character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        return result;
    }

    ClientRefusal refusalOf(const beast::error_code& error)
    {
        if (error == http::error::body_limit)
            return ClientRefusal::BodyTooLarge;
        if (error == http::error::header_limit)
            return ClientRefusal::HeaderTooLarge;
        return ClientRefusal::Malformed;
    }

} // namespace

RequestReader::RequestReader(const RequestLimits& limits)
    : limits(limits)
    , buffer(std::max(limits.buffer, limits.header))
{
    (void)this->begin();
}

ReadProgress RequestReader::append(std::string_view bytes)
{
    boost::asio::buffer_copy(this->buffer.prepare(bytes.size()), boost::asio::buffer(bytes));
    return this->commit(bytes.size());
}

boost::asio::mutable_buffer RequestReader::prepare()
{
    const std::size_t piece = this->parser->is_header_done() ? bodyPiece : headerPiece;
    return this->buffer.prepare(std::min(piece, this->buffer.max_size() - this->buffer.size()));
}

ReadProgress RequestReader::commit(std::size_t count)
{
    this->buffer.commit(count);
    this->wire += count;
    return this->parse();
}

ReadProgress RequestReader::begin()
{
    this->wire = this->buffer.size();
    this->headerBytes = 0;
    this->parser.emplace();
    this->parser->body_limit(this->limits.body);
    this->parser->header_limit(static_cast<std::uint32_t>(this->limits.header));
    return this->parse();
}

ReceivedRequest RequestReader::take()
{
    auto message = this->parser->release();
    ReceivedRequest result { .method = methodOf(message.method()), .request = {}, .isKeptAlive = message.keep_alive() };
    result.request.method = result.method.value_or(HttpMethod::Get);
    result.request.target = std::string(message.target());
    for (const auto& field : message)
        result.request.headers[lowerCase(field.name_string())] = std::string(field.value());
    result.request.body = std::move(message.body());
    this->parser.reset();
    this->buffer.shrink_to_fit();
    return result;
}

std::size_t RequestReader::heldBytes() const
{
    return this->buffer.capacity() + this->headerBytes + (this->parser ? this->parser->get().body().capacity() : 0);
}

ReadProgress RequestReader::parse()
{
    bool isStalled = false;
    while (this->buffer.size() > 0 && !isStalled) {
        if (const ReadProgress progress = this->parseOnce(isStalled); progress != ReadProgress::Incomplete)
            return progress;
    }
    if (this->wire > this->limits.wire)
        return this->refuse(ClientRefusal::RequestTooLarge);
    if (this->buffer.size() >= this->buffer.max_size())
        return this->refuse(ClientRefusal::FramingTooLarge);
    return ReadProgress::Incomplete;
}

ReadProgress RequestReader::parseOnce(bool& isStalled)
{
    const bool isInHeader = !this->parser->is_header_done();
    this->parser->eager(!isInHeader); // the end of the header is seen before the body is parsed
    beast::error_code error;
    const std::size_t used = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(used);
    if (error && error != http::error::need_more)
        return this->refuse(refusalOf(error));
    if (isInHeader)
        this->headerBytes += used;
    if (isInHeader && this->headerBytes + (this->parser->is_header_done() ? 0 : this->buffer.size()) > this->limits.header)
        return this->refuse(ClientRefusal::HeaderTooLarge);
    if ((isInHeader || this->parser->is_done()) && this->fieldCount() > this->limits.fields)
        return this->refuse(ClientRefusal::TooManyFields);
    isStalled = error || used == 0;
    return this->parser->is_done() ? ReadProgress::Complete : ReadProgress::Incomplete;
}

ReadProgress RequestReader::refuse(ClientRefusal value)
{
    this->cause = value;
    this->parser.reset();
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    return ReadProgress::Refused;
}

std::size_t RequestReader::fieldCount() const
{
    const auto& fields = this->parser->get().base();
    return static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
}

} // namespace dragonflytray::internal
