#pragma once

// Findings collect everything that is wrong with an input, each with its place, so that a person
// sees all of it at once.
//
// Example:
//
//     Findings findings;
//     findings.add({ .file = "serrano.yaml", .line = 3, .column = 5 }, "unknown key `sevices`", "did you mean `services`?");
//     if (!findings.isEmpty())
//         std::cerr << findings.text();

#include <string>
#include <string_view>
#include <vector>

namespace dragonflytray {

// Place says where in an input a finding stands. Lines and columns count from 1; 0 is "the whole file".
struct Place {
    std::string file;
    int line { 0 };
    int column { 0 };

    bool operator==(const Place&) const = default;
};

// Finding is one fault of an input.
struct Finding {
    Place place;
    std::string message;
    std::string hint;

    bool operator==(const Finding&) const = default;
};

// Findings is an ordered list of faults. Not thread-safe.
class Findings {
public:
    // add() appends one finding. `hint` may be empty.
    void add(Place place, std::string message, std::string hint = {});

    // isEmpty() says whether nothing was found.
    bool isEmpty() const { return this->entries.empty(); }

    // all() lists the findings in the order of their places.
    const std::vector<Finding>& all() const { return this->entries; }

    // text() has one line for each finding: `file:line:column: message (hint)`.
    std::string text() const;

private:
    std::vector<Finding> entries;
};

// formatPlace() is `file:line:column`, without the parts that are not known.
std::string formatPlace(const Place& place);

} // namespace dragonflytray
