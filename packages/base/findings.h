#pragma once

// Findings collect all errors of an input file, each with its position, so that the author of the file sees
// them in one pass.
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

// Place is a position in an input file. Lines and columns count from 1; line 0 stands for the whole file.
struct Place {
    std::string file;
    int line { 0 };
    int column { 0 };

    bool operator==(const Place&) const = default;
};

// Finding is one error in an input file.
struct Finding {
    Place place;
    std::string message;
    std::string hint; // how to correct the error; may be empty

    bool operator==(const Finding&) const = default;
};

// Findings is a list of errors, ordered by place. Not thread-safe.
class Findings {
public:
    // add() inserts a finding, after those with the same place. `hint` may be empty. Linear time.
    void add(Place place, std::string message, std::string hint = {});

    // isEmpty() says whether there are no findings.
    bool isEmpty() const { return this->entries.empty(); }

    // all() lists the findings, ordered by file, line and column.
    const std::vector<Finding>& all() const { return this->entries; }

    // text() formats each finding as one line: `file:line:column: message (hint)`.
    std::string text() const;

private:
    std::vector<Finding> entries;
};

// formatPlace() formats `place` as `file:line:column`, or as `file` alone when the line is 0.
std::string formatPlace(const Place& place);

} // namespace dragonflytray
