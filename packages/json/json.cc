#include "json/json.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace dragonflytray {

using nlohmann::json;

namespace {

    // isShallowJson() returns true if no more than maxNestingDepth brackets are open at any point of the text.
    bool isShallowJson(std::string_view text)
    {
        std::size_t depth = 0;
        bool isInString = false;
        for (std::size_t position = 0; position < text.size(); ++position) {
            const char character = text[position];
            if (isInString && character == '\\') {
                ++position; // the escaped character may be a quote
            } else if (character == '"') {
                isInString = !isInString;
            } else if (!isInString && (character == '[' || character == '{')) {
                if (++depth > maxNestingDepth)
                    return false;
            } else if (!isInString && (character == ']' || character == '}') && depth > 0) {
                --depth;
            }
        }
        return true;
    }

    // The major types of CBOR (RFC 8949, section 3.1).
    enum class CborType {
        Unsigned,
        Negative,
        Bytes,
        Text,
        Array,
        Map,
        Tag,
        Simple,
    };

    // CborItem is the head of one item.
    struct CborItem {
        CborType type { CborType::Unsigned };
        std::uint64_t argument { 0 }; // a value, a length, or a number of items
    };

    // CborReader walks over the heads of items.
    class CborReader {
    public:
        explicit CborReader(std::string_view bytes)
            : rest(bytes)
        {
        }

        bool isAtEnd() const { return this->rest.empty(); }

        // readItem() reads a head and, of a string, the content. It returns nothing at an item that is truncated or has
        // an indefinite length.
        std::optional<CborItem> readItem()
        {
            const auto first = static_cast<unsigned char>(this->rest.front());
            this->rest.remove_prefix(1);
            const auto argument = this->readArgument(first & 0x1fU);
            if (!argument)
                return std::nullopt;
            const CborItem item { static_cast<CborType>(first >> 5U), *argument };
            if (item.type != CborType::Bytes && item.type != CborType::Text)
                return item;
            if (item.argument > this->rest.size())
                return std::nullopt;
            this->rest.remove_prefix(item.argument);
            return item;
        }

    private:
        // readArgument() reads the argument that follows the first byte, or is in its lower bits `info`.
        std::optional<std::uint64_t> readArgument(unsigned info)
        {
            constexpr unsigned firstWithBytes = 24; // 1, 2, 4 or 8 bytes follow
            constexpr unsigned lastWithBytes = 27;
            if (info < firstWithBytes)
                return info;
            const std::size_t size = info <= lastWithBytes ? std::size_t { 1 } << (info - firstWithBytes) : 0;
            if (size == 0 || size > this->rest.size())
                return std::nullopt;
            std::uint64_t argument = 0;
            for (const char byte : this->rest.substr(0, size))
                argument = argument << 8U | static_cast<unsigned char>(byte);
            this->rest.remove_prefix(size);
            return argument;
        }

        std::string_view rest;
    };

    // isPlainCbor() returns true if the bytes are one item that is nested no deeper than maxNestingDepth, has no more than
    // `maxItems` items with itself, and no tags or parts of indefinite length.
    bool isPlainCbor(std::string_view bytes, std::size_t maxItems)
    {
        CborReader reader(bytes);
        std::size_t items = 0;
        std::vector<std::uint64_t> open { 1 }; // items that are still to come, of each array and map around the next one
        while (!open.empty()) {
            if (open.back() == 0) {
                open.pop_back();
                continue;
            }
            --open.back();
            const auto item = reader.isAtEnd() ? std::nullopt : reader.readItem();
            if (!item || item->type == CborType::Tag || ++items > maxItems)
                return false;
            if (item->type != CborType::Array && item->type != CborType::Map)
                continue;
            if (item->argument > bytes.size() || open.size() > maxNestingDepth) // each item takes at least one byte
                return false;
            open.push_back(item->type == CborType::Map ? 2 * item->argument : item->argument);
        }
        return reader.isAtEnd();
    }

} // namespace

json parseJson(std::string_view text)
{
    return isShallowJson(text) ? json::parse(text, nullptr, false) : json(json::value_t::discarded);
}

json parseCbor(std::string_view bytes, std::size_t maxItems)
{
    return isPlainCbor(bytes, maxItems) ? json::from_cbor(bytes, true, false) : json(json::value_t::discarded);
}

std::string serializeJson(const json& json, int indent)
{
    return json.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace dragonflytray
