#pragma once

// Strongly typed string identifiers: a TeamName doesn't convert to a ServiceName, though both hold a string.
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

// StrongId wraps a string in a regular, ordered and hashable value type that is distinct for each `Tag`.
template <typename Tag>
class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string text)
        : text(std::move(text))
    {
    }

    // value() returns the text of the identifier.
    const std::string& value() const { return this->text; }

    // isEmpty() says whether the text is empty, which stands for no identifier.
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
