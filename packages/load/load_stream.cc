#include "load/load_stream.h"

#include <array>
#include <charconv>
#include <optional>

namespace dragonflytray {

namespace {

    constexpr double maximumRate = 100000; // requests a second
    constexpr double maximumSeconds = 3600;

    std::optional<double> parseNumber(const std::string& text, double maximum)
    {
        double value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isWhole = error == std::errc() && end == text.data() + text.size();
        if (!isWhole || !(value >= 0 && value <= maximum))
            return std::nullopt;
        return value;
    }

    std::string quote(const std::string& text)
    {
        return "`" + text + "`";
    }

    bool readSeconds(Duration& target, const std::string& value)
    {
        auto number = parseNumber(value, maximumSeconds);
        if (number)
            target = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*number));
        return number.has_value();
    }

    template <typename Enum, std::size_t Count>
    bool readEnum(Enum& target, const std::string& value, const NameTable<Enum, Count>& table)
    {
        auto parsed = table.parse(value);
        if (parsed)
            target = *parsed;
        return parsed.has_value();
    }

    bool setName(LoadStream& stream, const std::string& value)
    {
        stream.name = value;
        return !value.empty();
    }

    bool setTarget(LoadStream& stream, const std::string& value)
    {
        return readEnum(stream.target, value, loadTargetNames);
    }

    bool setTeam(LoadStream& stream, const std::string& value)
    {
        stream.team = TeamName(value);
        return !value.empty();
    }

    bool setService(LoadStream& stream, const std::string& value)
    {
        stream.service = ServiceName(value);
        return !value.empty();
    }

    bool setPriority(LoadStream& stream, const std::string& value)
    {
        return readEnum(stream.priority, value, priorityNames);
    }

    bool setIdempotency(LoadStream& stream, const std::string& value)
    {
        return readEnum(stream.idempotency, value, idempotencyNames);
    }

    bool setRate(LoadStream& stream, const std::string& value)
    {
        auto number = parseNumber(value, maximumRate);
        stream.rate = number.value_or(0);
        return stream.rate > 0;
    }

    bool setFrom(LoadStream& stream, const std::string& value)
    {
        return readSeconds(stream.from, value);
    }

    bool setLength(LoadStream& stream, const std::string& value)
    {
        return readSeconds(stream.length, value);
    }

    bool setDeadline(LoadStream& stream, const std::string& value)
    {
        return readSeconds(stream.deadline, value);
    }

    // Key is one line of the table of keys; `set` says whether the value was usable.
    struct Key {
        std::string_view name;
        bool (*set)(LoadStream&, const std::string&);
    };

    constexpr std::array keys = std::to_array<Key>({
        { "name", &setName },
        { "target", &setTarget },
        { "team", &setTeam },
        { "service", &setService },
        { "priority", &setPriority },
        { "idempotency", &setIdempotency },
        { "rate", &setRate },
        { "from", &setFrom },
        { "seconds", &setLength },
        { "deadline", &setDeadline },
    });

    void readPair(LoadStream& stream, const std::string& pair, const Place& place, Findings& findings)
    {
        const std::size_t equals = pair.find('=');
        const std::string name = pair.substr(0, equals);
        const std::string value = equals == std::string::npos ? "" : pair.substr(equals + 1);
        for (const Key& key : keys) {
            if (key.name != name)
                continue;
            if (!key.set(stream, value))
                findings.add(place, quote(value) + " is not a usable value of " + quote(name));
            return;
        }
        findings.add(place, "unknown key " + quote(name));
    }

} // namespace

LoadStream parseLoadStream(const std::string& text, Findings& findings)
{
    LoadStream stream;
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t comma = std::min(text.find(',', start), text.size());
        readPair(stream, text.substr(start, comma - start), { .file = "--stream", .line = 1, .column = static_cast<int>(start) + 1 }, findings);
        start = comma + 1;
    }
    if (stream.name.empty())
        findings.add({ .file = "--stream" }, "the key `name` is missing");
    return stream;
}

} // namespace dragonflytray
