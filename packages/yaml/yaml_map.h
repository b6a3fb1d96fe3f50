#pragma once

// YamlMap reads the keys of one YAML map and collects everything that is wrong with them: missing and
// unknown keys, wrong kinds, values out of range. Reading goes on after a finding.
//
// Example:
//
//     Findings findings;
//     auto map = YamlMap::parse(text, "settings.yaml", findings);
//     std::string host = map.text("host");
//     double port = map.number("port", { .minimum = 0, .maximum = 65535 });
//     map.finish(); // unknown keys become findings

#include "base/base.h"
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflytray {

// NumberRule bounds a number. Without `fallback` the key is required.
struct NumberRule {
    double minimum { 0 };
    double maximum { std::numeric_limits<double>::max() };
    std::optional<double> fallback {};
    bool isWhole { false };
};

// YamlMap is one map of a YAML text. Cheap to copy. Not thread-safe; `findings` must outlive it.
class YamlMap {
public:
    struct Node;

    // parse() reads `text`, whose root must be a map. On a fault it adds a finding and is an empty map.
    static YamlMap parse(const std::string& text, const std::string& file, Findings& findings);

    // has() says whether the key is present.
    bool has(const std::string& key) const;

    // text() is the value of a required key, or `fallback` when one is given and the key is absent.
    std::string text(const std::string& key, std::optional<std::string> fallback = std::nullopt);

    // number() is the value of a numeric key within the rule's bounds.
    double number(const std::string& key, NumberRule rule = {});

    // flag() is the value of an optional yes/no key.
    bool flag(const std::string& key, bool fallback);

    // choice() is the enumerator that the key's value names; the table's names are the hint.
    template <typename Enum, std::size_t Count>
    Enum choice(const std::string& key, const NameTable<Enum, Count>& table, Enum fallback)
    {
        if (!this->has(key))
            return this->noteKnown(key, fallback);
        const std::string name = this->text(key);
        if (auto value = table.parse(name))
            return *value;
        std::string hint = "one of:";
        for (const auto& entry : table)
            hint += " " + std::string(entry.name);
        this->addFinding(key, "`" + name + "` is not a known value of `" + key + "`", hint);
        return fallback;
    }

    // map() is the map under the key; an absent optional key is an empty map.
    YamlMap map(const std::string& key, bool isRequired = false);

    // maps() is the list of maps under the key; an absent optional key is an empty list.
    std::vector<YamlMap> maps(const std::string& key, bool isRequired = false);

    // texts() is the list of scalars under the key; an absent optional key is an empty list.
    std::vector<std::string> texts(const std::string& key, bool isRequired = false);

    // place() is where the key's value stands, or the map itself when the key is absent.
    Place place(const std::string& key = {}) const;

    // addFinding() adds a finding at the key's place.
    void addFinding(const std::string& key, std::string message, std::string hint = {});

    // finish() adds a finding for each key that was never asked for.
    void finish();

private:
    YamlMap(std::shared_ptr<const Node> node, std::string file, Findings& findings);

    template <typename Value>
    Value noteKnown(const std::string& key, Value value)
    {
        this->known.insert(key);
        return value;
    }

    std::optional<Node> child(const std::string& key, bool isRequired);
    // list() is the child when it is a list of a length within the limit; else a finding and nothing.
    std::optional<Node> list(const std::string& key, bool isRequired);

    std::shared_ptr<const Node> node;
    std::string file;
    Findings* findings;
    std::set<std::string> known;
};

} // namespace dragonflytray
