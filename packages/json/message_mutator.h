#pragma once

// Seeded damage to messages, for tests of decoders.
//
// Example:
//
//     MessageMutator mutator(seed);
//     mutator.damage(json);
//     const std::string text = mutator.damageBytes(json.dump());

#include <array>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace dragonflytray {

// MessageMutator damages messages in a way that depends only on its seed and on the calls so far.
class MessageMutator {
public:
    explicit MessageMutator(std::uint64_t seed)
        : random(seed)
    {
    }

    // randomBelow() returns a number below `limit`, or 0 if there is none.
    std::size_t randomBelow(std::size_t limit) { return this->random() % std::max<std::size_t>(limit, 1); }

    // damage() changes up to three values at random places of `message`: it replaces, removes, duplicates or exchanges them.
    void damage(nlohmann::json& message)
    {
        using Change = void (MessageMutator::*)(nlohmann::json&);
        static constexpr std::array<Change, 5> changes { &MessageMutator::replaceValue, &MessageMutator::replaceValue, &MessageMutator::removeChild, &MessageMutator::duplicateChild, &MessageMutator::exchangeChildren };
        for (std::size_t count = 1 + this->randomBelow(3); count > 0; --count) {
            std::vector<nlohmann::json*> values;
            collect(message, values);
            (this->*changes[this->randomBelow(changes.size())])(*values[this->randomBelow(values.size())]);
        }
    }

    // damageBytes() returns `text` with up to three bytes or ranges changed.
    std::string damageBytes(std::string text)
    {
        using Change = void (MessageMutator::*)(std::string&);
        static constexpr std::array<Change, 5> changes { &MessageMutator::changeByte, &MessageMutator::insertToken, &MessageMutator::removeRange, &MessageMutator::repeatRange, &MessageMutator::truncate };
        for (std::size_t count = 1 + this->randomBelow(3); count > 0 && !text.empty(); --count)
            (this->*changes[this->randomBelow(changes.size())])(text);
        return text;
    }

private:
    static void collect(nlohmann::json& value, std::vector<nlohmann::json*>& values)
    {
        values.push_back(&value);
        if (!value.is_structured())
            return;
        for (nlohmann::json& child : value)
            collect(child, values);
    }

    nlohmann::json oddValue()
    {
        static const std::vector<nlohmann::json> simpleValues { nullptr, true, false, "", "7", "\xff\xfe", std::string(1, '\0'), std::string(70'000, 'x'), 0, -1, 1.5, 1e20, -1e20, 1e308, 65536, 4294967296, std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::uint64_t>::max(), std::uint64_t { 1 } << 63U, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(), nlohmann::json::array(), nlohmann::json::object(), nlohmann::json::binary({ 1 }) };
        const std::size_t choice = this->randomBelow(simpleValues.size() + 1);
        if (choice < simpleValues.size())
            return simpleValues[choice];
        nlohmann::json nested = 1;
        for (std::size_t depth = this->randomBelow(200); depth > 0; --depth)
            nested = depth % 2 == 0 ? nlohmann::json::array({ std::move(nested) }) : nlohmann::json({ { "a", std::move(nested) } });
        return nested;
    }

    // child() returns a random child of a structured value that has one.
    nlohmann::json::iterator child(nlohmann::json& value)
    {
        auto position = value.begin();
        std::advance(position, this->randomBelow(value.size()));
        return position;
    }

    void replaceValue(nlohmann::json& value) { value = this->oddValue(); }

    void removeChild(nlohmann::json& value)
    {
        if (value.is_structured() && !value.empty())
            value.erase(this->child(value));
    }

    void duplicateChild(nlohmann::json& value)
    {
        if (!value.is_array() || value.empty())
            return;
        const nlohmann::json copy = *this->child(value);
        value.insert(value.end(), 1 + this->randomBelow(40), copy);
    }

    void exchangeChildren(nlohmann::json& value)
    {
        if (value.is_structured() && !value.empty())
            std::swap(*this->child(value), *this->child(value));
    }

    void changeByte(std::string& text) { text[this->randomBelow(text.size())] = static_cast<char>(this->random()); }

    void insertToken(std::string& text)
    {
        static constexpr std::array<std::string_view, 14> tokens { "{", "}", "[", "]", ",", ":", "\"", "\\u0000", "\\ud800", "1e999", "-", "null", "\x9f", "\xfb\x7f\xf8" };
        text.insert(this->randomBelow(text.size()), tokens[this->randomBelow(tokens.size())]);
    }

    void removeRange(std::string& text) { text.erase(this->randomBelow(text.size()), 1 + this->randomBelow(16)); }

    void repeatRange(std::string& text)
    {
        const std::string range = text.substr(this->randomBelow(text.size()), 1 + this->randomBelow(16));
        const std::size_t position = this->randomBelow(text.size());
        for (std::size_t count = 1 + this->randomBelow(100); count > 0; --count)
            text.insert(position, range);
    }

    void truncate(std::string& text) { text.resize(this->randomBelow(text.size())); }

    std::mt19937_64 random;
};

} // namespace dragonflytray
