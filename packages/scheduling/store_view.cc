#include "scheduling/store_view.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr std::size_t maxUnfollowedWrites = 1024; // bounds memory while the feed is silent

} // namespace

void StoreView::writeCommitted(RowVersion version, Instant sentAt)
{
    if (version <= this->followedVersion) {
        this->asOfTime = std::max(this->asOfTime, sentAt);
        return;
    }
    this->unfollowedWrites.emplace(version, sentAt);
    if (this->unfollowedWrites.size() > maxUnfollowedWrites)
        this->thinOut();
}

void StoreView::thinOut()
{
    for (auto write = this->unfollowedWrites.begin(); write != this->unfollowedWrites.end() && std::next(write) != this->unfollowedWrites.end(); ++write)
        write = this->unfollowedWrites.erase(write);
}

void StoreView::followed(RowVersion version)
{
    this->followedVersion = std::max(this->followedVersion, version);
    const auto end = this->unfollowedWrites.upper_bound(this->followedVersion);
    for (auto write = this->unfollowedWrites.begin(); write != end; ++write)
        this->asOfTime = std::max(this->asOfTime, write->second);
    this->unfollowedWrites.erase(this->unfollowedWrites.begin(), end);
}

} // namespace dragonflytray
