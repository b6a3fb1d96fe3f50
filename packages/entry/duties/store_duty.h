#pragma once

// The duty towards the store: it carries out writes and reads, and follows the feeds.

#include "entry/entry_settings.h"
#include "entry/outbox.h"
#include <set>

namespace dragonflytray {

// StoreDuty runs an event loop on a thread of its own until stop().
class StoreDuty {
public:
    StoreDuty(const EntrySettings& settings, EntryRings& rings, const StoreProtocol& protocol);

    void run();
    void stop() { this->loop.stop(); }

private:
    // Feed is one stream of changes: scanned as a whole first, then followed.
    struct Feed {
        FeedKind kind { FeedKind::Jobs };
        bool isWanted { false };
        bool isBusy { false };
        bool isScanned { false };
        RowVersion revision { 0 };
        std::uint32_t partition { 0 }; // of the scan
        FeedPage scanned; // what the scan has brought so far
    };

    void perform(WriteStoredRows call);
    void perform(ReadJobRows call);
    void perform(FollowWorkers call);
    void follow(Feed& feed);
    void scanPage(Feed& feed, const std::string& startKey);
    void pageScanned(Feed& feed, FeedPage page);
    void poll(Feed& feed);
    void pagePolled(Feed& feed, FeedPage page);
    void deliver(const Feed& feed, FeedPage page, bool isWhole);
    void again(Feed& feed, Duration delay);
    void noteContact(const Feed& feed, bool isAnswering);

    const StoreProtocol& protocol;
    Endpoint endpoint;
    IoLoop loop;
    Outbox outbox;
    HttpClient client;
    std::array<Feed, feedKindNames.size()> feeds;
    bool isLeading { false };
};

} // namespace dragonflytray
