#pragma once

// Identifiers that can't be mixed up: a TeamName is not a ServiceName although both hold text.
//
// Example:
//
//     using TeamName = StrongId<struct TeamNameTag>;
//     TeamName team { "desk" };

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace dragonflytray {

// StrongId is a regular value type over text, distinct for each `Tag`.
template <typename Tag>
class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string text)
        : text(std::move(text))
    {
    }

    // value() is the text of the identifier.
    const std::string& value() const { return this->text; }

    // isEmpty() says whether no identifier was given.
    bool isEmpty() const { return this->text.empty(); }

    auto operator<=>(const StrongId&) const = default;

    friend std::ostream& operator<<(std::ostream& stream, const StrongId& id) { return stream << id.text; }

private:
    std::string text;
};

} // namespace dragonflytray

template <typename Tag>
struct std::hash<dragonflytray::StrongId<Tag>> {
    std::size_t operator()(const dragonflytray::StrongId<Tag>& id) const noexcept { return std::hash<std::string>()(id.value()); }
};
