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
    // Scan is the progress of reading a whole table. A page that fails is requested again; what has been read is kept.
    struct Scan {
        std::uint32_t partition { 0 }; // of the next page
        std::string startKey {}; // of the next page
        FeedPage read {}; // all rows so far; every change up to its revision has been read
        Instant polledAt {}; // when the changes after the revision were last asked for
    };
    // Feed is one stream of changes: scanned as a whole first, then followed.
    struct Feed {
        FeedKind kind { FeedKind::Jobs };
        bool isWanted { false };
        bool isBusy { false }; // a request is in flight, or the next one is scheduled
        bool isScanned { false };
        RowVersion revision { 0 };
        Duration pageTimeout { 0 }; // of the next page, besides the wait of a poll; 0: the shortest
        std::optional<Scan> scan; // nothing: the next scan starts at the first page
    };

    void perform(WriteStoredRows call);
    void perform(ReadJobRows call);
    void perform(ReadRosters call);
    void perform(FollowWorkers call);
    void restart(Feed& feed, bool isWanted); // with a scan of the whole table
    void follow(Feed& feed);
    void continueScan(Feed& feed);
    void scanPage(Feed& feed);
    static Duration pageTimeoutOf(const Feed& feed);
    static void adaptPageTimeout(Feed& feed, const HttpOutcome& outcome);
    void pageScanned(Feed& feed, FeedPage page);
    void pollDuringScan(Feed& feed);
    void polledDuringScan(Feed& feed, FeedPage page);
    void finishScan(Feed& feed);
    void poll(Feed& feed);
    void pollOnce(Feed& feed);
    void pagePolled(Feed& feed, FeedPage page);
    void deliver(const Feed& feed, FeedPage page, bool isWhole);
    void deliverOperatorRows(FeedPage page, bool isWhole);
    void again(Feed& feed, Duration delay);
    void startOver(Feed& feed);
    void noteContact(const Feed& feed, bool isAnswering);

    const StoreProtocol& protocol;
    Endpoint endpoint;
    bool followsEvacuations { false };
    IoLoop loop;
    Outbox outbox;
    HttpClient client;
    std::array<Feed, feedKindNames.size()> feeds;
    bool isLeading { false };
};

} // namespace dragonflytray
