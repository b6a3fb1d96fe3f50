#include "yaml/yaml_map.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace dragonflytray {

struct YamlMap::Node {
    YAML::Node yaml;
};

namespace {

    constexpr std::size_t hintDistance = 3; // edits at most between a wrong key and the one hinted at

    constexpr std::size_t textLimit = 256UL * 1024; // bytes
    constexpr std::size_t nodeLimit = 100000;
    constexpr std::size_t depthLimit = 16;
    constexpr std::size_t listLimit = 10000;
    constexpr std::ptrdiff_t openBracketLimit = 1000; // more than any comment or text would leave open

    // ShapeCheck walks the events of a text before a tree is built, and throws at the first that is refused:
    // anchors and aliases, which can multiply a text, and too many or too deep nodes.
    class ShapeCheck : public YAML::EventHandler {
    public:
        void OnDocumentStart(const YAML::Mark&) override { }
        void OnDocumentEnd() override { }
        void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override { this->count(mark, anchor); }
        void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override { throw YAML::ParserException(mark, "aliases are not allowed"); }
        void OnScalar(const YAML::Mark& mark, const std::string&, YAML::anchor_t anchor, const std::string&) override { this->count(mark, anchor); }
        void OnSequenceStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t anchor, YAML::EmitterStyle::value) override { this->enter(mark, anchor); }
        void OnSequenceEnd() override { --this->depth; }
        void OnMapStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t anchor, YAML::EmitterStyle::value) override { this->enter(mark, anchor); }
        void OnMapEnd() override { --this->depth; }

    private:
        void count(const YAML::Mark& mark, YAML::anchor_t anchor)
        {
            if (anchor != 0)
                throw YAML::ParserException(mark, "anchors are not allowed");
            if (++this->nodes > nodeLimit)
                throw YAML::ParserException(mark, "the file has too many values");
        }

        void enter(const YAML::Mark& mark, YAML::anchor_t anchor)
        {
            this->count(mark, anchor);
            if (++this->depth > depthLimit)
                throw YAML::ParserException(mark, "the file is nested too deeply");
        }

        std::size_t nodes { 0 };
        std::size_t depth { 0 };
    };

    // checkBrackets() bounds the brackets left open, since the scanner keeps a token for each before its first event.
    void checkBrackets(const std::string& text)
    {
        std::ptrdiff_t open = 0;
        for (char character : text) {
            open += (character == '[' || character == '{') - (character == ']' || character == '}');
            if (open > openBracketLimit)
                throw YAML::ParserException(YAML::Mark(), "the file is nested too deeply");
        }
    }

    void checkShape(const std::string& text)
    {
        checkBrackets(text);
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        ShapeCheck check;
        parser.HandleNextDocument(check);
    }

    Place placeOf(const std::string& file, const YAML::Mark& mark)
    {
        if (mark.is_null())
            return { .file = file, .line = 1, .column = 1 };
        return { .file = file, .line = mark.line + 1, .column = mark.column + 1 };
    }

    std::size_t editDistance(std::string_view left, std::string_view right)
    {
        std::vector<std::size_t> row(right.size() + 1);
        for (std::size_t j = 0; j <= right.size(); ++j)
            row[j] = j;
        for (std::size_t i = 1; i <= left.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= right.size(); ++j) {
                const std::size_t above = row[j];
                const std::size_t change = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
                row[j] = std::min({ above + 1, row[j - 1] + 1, change });
                diagonal = above;
            }
        }
        return row[right.size()];
    }

    std::string nearestHint(const std::string& key, const std::set<std::string>& known)
    {
        std::string best;
        std::size_t bestDistance = hintDistance + 1;
        for (const std::string& candidate : known) {
            const std::size_t distance = editDistance(key, candidate);
            if (distance < bestDistance) {
                best = candidate;
                bestDistance = distance;
            }
        }
        return best.empty() ? std::string() : "did you mean `" + best + "`?";
    }

    std::string boundsHint(const NumberRule& rule)
    {
        std::string hint = "at least " + YAML::Dump(YAML::Node(rule.minimum));
        if (rule.maximum < std::numeric_limits<double>::max())
            hint += ", at most " + YAML::Dump(YAML::Node(rule.maximum));
        return hint;
    }

} // namespace

YamlMap::YamlMap(std::shared_ptr<const Node> node, std::string file, Findings& findings)
    : node(std::move(node))
    , file(std::move(file))
    , findings(&findings)
{
}

YamlMap YamlMap::parse(const std::string& text, const std::string& file, Findings& findings)
{
    YamlMap empty(std::make_shared<Node>(Node { YAML::Node(YAML::NodeType::Map) }), file, findings);
    if (text.size() > textLimit) {
        findings.add({ .file = file, .line = 1, .column = 1 }, "the file is larger than 256 KB");
        return empty;
    }
    try {
        checkShape(text);
        YAML::Node root = YAML::Load(text);
        if (root.IsMap())
            return { std::make_shared<Node>(Node { root }), file, findings };
        findings.add(placeOf(file, root.Mark()), "the file must be a map of keys");
    } catch (const YAML::Exception& error) {
        findings.add(placeOf(file, error.mark), "not well-formed YAML: " + error.msg);
    }
    return empty;
}

bool YamlMap::has(const std::string& key) const
{
    return static_cast<bool>(this->node->yaml[key]);
}

std::optional<YamlMap::Node> YamlMap::child(const std::string& key, bool isRequired)
{
    this->known.insert(key);
    if (this->has(key))
        return Node { this->node->yaml[key] };
    if (isRequired)
        this->addFinding({}, "the key `" + key + "` is missing");
    return std::nullopt;
}

std::string YamlMap::text(const std::string& key, std::optional<std::string> fallback)
{
    auto found = this->child(key, !fallback);
    if (!found)
        return fallback.value_or("");
    if (found->yaml.IsScalar() && !found->yaml.Scalar().empty())
        return found->yaml.Scalar();
    this->addFinding(key, "`" + key + "` must be text");
    return fallback.value_or("");
}

double YamlMap::number(const std::string& key, NumberRule rule)
{
    const double fallback = rule.fallback.value_or(rule.minimum);
    auto found = this->child(key, !rule.fallback);
    if (!found)
        return fallback;
    double value = 0;
    if (!found->yaml.IsScalar() || !YAML::convert<double>::decode(found->yaml, value) || std::isnan(value)) {
        this->addFinding(key, "`" + key + "` must be a number");
        return fallback;
    }
    if (rule.isWhole && value != std::floor(value)) {
        this->addFinding(key, "`" + key + "` must be a whole number");
        return fallback;
    }
    if (value < rule.minimum || value > rule.maximum) {
        this->addFinding(key, "`" + key + "` is out of range", boundsHint(rule));
        return fallback;
    }
    return value;
}

bool YamlMap::flag(const std::string& key, bool fallback)
{
    auto found = this->child(key, false);
    if (!found)
        return fallback;
    bool value = fallback;
    if (!found->yaml.IsScalar() || !YAML::convert<bool>::decode(found->yaml, value))
        this->addFinding(key, "`" + key + "` must be `on` or `off`");
    return value;
}

YamlMap YamlMap::map(const std::string& key, bool isRequired)
{
    auto found = this->child(key, isRequired);
    if (found && found->yaml.IsMap())
        return { std::make_shared<Node>(*found), this->file, *this->findings };
    if (found)
        this->addFinding(key, "`" + key + "` must be a map of keys");
    return { std::make_shared<Node>(Node { YAML::Node(YAML::NodeType::Map) }), this->file, *this->findings };
}

std::optional<YamlMap::Node> YamlMap::list(const std::string& key, bool isRequired)
{
    auto found = this->child(key, isRequired);
    if (!found)
        return std::nullopt;
    if (!found->yaml.IsSequence()) {
        this->addFinding(key, "`" + key + "` must be a list");
        return std::nullopt;
    }
    if (found->yaml.size() > listLimit) {
        this->addFinding(key, "`" + key + "` has too many items", "at most 10000");
        return std::nullopt;
    }
    return found;
}

std::vector<YamlMap> YamlMap::maps(const std::string& key, bool isRequired)
{
    std::vector<YamlMap> result;
    auto found = this->list(key, isRequired);
    if (!found)
        return result;
    for (const YAML::Node& item : found->yaml) {
        if (item.IsMap())
            result.push_back(YamlMap(std::make_shared<Node>(Node { item }), this->file, *this->findings));
        else
            this->findings->add(placeOf(this->file, item.Mark()), "each item of `" + key + "` must be a map of keys");
    }
    return result;
}

std::vector<std::string> YamlMap::texts(const std::string& key, bool isRequired)
{
    std::vector<std::string> result;
    auto found = this->list(key, isRequired);
    if (!found)
        return result;
    for (const YAML::Node& item : found->yaml) {
        if (item.IsScalar())
            result.push_back(item.Scalar());
        else
            this->findings->add(placeOf(this->file, item.Mark()), "each item of `" + key + "` must be text");
    }
    return result;
}

Place YamlMap::place(const std::string& key) const
{
    const YAML::Node& map = this->node->yaml;
    if (!key.empty() && map[key])
        return placeOf(this->file, map[key].Mark());
    return placeOf(this->file, map.Mark());
}

void YamlMap::addFinding(const std::string& key, std::string message, std::string hint)
{
    this->findings->add(this->place(key), std::move(message), std::move(hint));
}

void YamlMap::finish()
{
    std::set<std::string> seen;
    for (const auto& entry : this->node->yaml) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : std::string("?");
        if (!this->known.contains(key))
            this->findings->add(placeOf(this->file, entry.first.Mark()), "unknown key `" + key + "`", nearestHint(key, this->known));
        else if (!seen.insert(key).second)
            this->findings->add(placeOf(this->file, entry.first.Mark()), "the key `" + key + "` stands twice");
    }
}

} // namespace dragonflytray
