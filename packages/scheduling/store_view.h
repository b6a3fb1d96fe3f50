#pragma once

// The age of what this host knows of the store. A change feed delivers changes in order but may be late, and a page of it
// does not have to reach the newest change. This host's own writes show how late it is: once the feed has reached the
// version of a write, every change that was acknowledged before that write was sent has been delivered.
//
// Example:
//
//     StoreView view;
//     view.writeCommitted(version, sentAt);
//     view.followed(version);
//     if (now < view.asOf() + maxAge)
//         startTasks();

#include "scheduling/stored_rows.h"
#include <map>

namespace dragonflytray {

// StoreView tracks one change feed. Not thread-safe. All functions are logarithmic in the writes that the feed has not
// reached, of which it keeps a bounded number.
class StoreView {
public:
    // writeCommitted() records that a write which this host sent at `sentAt` was committed at `version`. It may be called
    // before or after the feed has reached that version, and in any order.
    void writeCommitted(RowVersion version, Instant sentAt);

    // followed() records that the feed has delivered every change up to `version`.
    void followed(RowVersion version);

    // asOf() returns a time such that every change that was acknowledged before it has been delivered. The default value
    // says that no such time is known.
    Instant asOf() const { return this->asOfTime; }

private:
    // thinOut() drops every second write, but not the last: the times of the others differ little from theirs.
    void thinOut();

    std::map<RowVersion, Instant> unfollowedWrites; // committed, but not reached by the feed yet; when they were sent
    RowVersion followedVersion { 0 };
    Instant asOfTime;
};

} // namespace dragonflytray
