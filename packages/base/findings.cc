#include "base/findings.h"

#include <algorithm>
#include <tuple>

namespace dragonflytray {

namespace {

    auto sortKey(const Finding& finding)
    {
        return std::tuple(finding.place.file, finding.place.line, finding.place.column);
    }

} // namespace

void Findings::add(Place place, std::string message, std::string hint)
{
    Finding finding { std::move(place), std::move(message), std::move(hint) };
    auto position = std::upper_bound(this->entries.begin(), this->entries.end(), finding,
        [](const Finding& left, const Finding& right) { return sortKey(left) < sortKey(right); });
    this->entries.insert(position, std::move(finding));
}

std::string Findings::text() const
{
    std::string result;
    for (const Finding& finding : this->entries) {
        result += formatPlace(finding.place) + ": " + finding.message;
        if (!finding.hint.empty())
            result += " (" + finding.hint + ")";
        result += '\n';
    }
    return result;
}

std::string formatPlace(const Place& place)
{
    if (place.line == 0)
        return place.file;
    return place.file + ":" + std::to_string(place.line) + ":" + std::to_string(place.column);
}

} // namespace dragonflytray
