#include "transport/http_message.h"

#include <charconv>

namespace dragonflytray {

namespace {

    std::optional<int> hexDigit(char digit)
    {
        int value = 0;
        auto [end, error] = std::from_chars(&digit, &digit + 1, value, 16);
        if (error != std::errc() || end != &digit + 1)
            return std::nullopt;
        return value;
    }

    std::string percentDecode(std::string_view text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                auto high = hexDigit(text[i + 1]);
                auto low = hexDigit(text[i + 2]);
                if (high && low) {
                    result += static_cast<char>(*high * 16 + *low);
                    i += 2;
                    continue;
                }
            }
            result += text[i];
        }
        return result;
    }

    bool isUnreserved(char character)
    {
        return std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '.' || character == '_' || character == '~';
    }

} // namespace

std::vector<std::string> HttpRequest::path() const
{
    std::string_view rest = std::string_view(this->target).substr(0, this->target.find('?'));
    std::vector<std::string> segments;
    while (!rest.empty()) {
        const std::size_t slash = rest.find('/');
        std::string_view segment = rest.substr(0, slash);
        if (!segment.empty())
            segments.push_back(percentDecode(segment));
        rest = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    }
    return segments;
}

std::optional<std::string> HttpRequest::query(std::string_view name) const
{
    const std::size_t mark = this->target.find('?');
    if (mark == std::string::npos)
        return std::nullopt;
    std::string_view rest = std::string_view(this->target).substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t ampersand = rest.find('&');
        std::string_view pair = rest.substr(0, ampersand);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
        rest = ampersand == std::string_view::npos ? std::string_view() : rest.substr(ampersand + 1);
    }
    return std::nullopt;
}

std::string HttpRequest::header(const std::string& name) const
{
    auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (char character : text) {
        if (isUnreserved(character)) {
            result += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        result += '%';
        result += digits[byte / 16];
        result += digits[byte % 16];
    }
    return result;
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return Endpoint { std::string(text.substr(0, colon)), port };
}

std::string formatEndpoint(const Endpoint& endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace dragonflytray
