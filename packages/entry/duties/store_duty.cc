#include "entry/duties/store_duty.h"

#include <iterator>

namespace dragonflytray {

namespace {

    constexpr Duration writeTimeout = std::chrono::milliseconds(1000); // a caller waits three seconds for all
    constexpr Duration readTimeout = std::chrono::milliseconds(700);
    constexpr Duration connectTimeout = std::chrono::milliseconds(500);
    constexpr Duration feedWait = std::chrono::milliseconds(1000); // bounds how long a silent connection goes unnoticed
    constexpr Duration maxPageTimeout = 4 * readTimeout;
    constexpr Duration scanPollInterval = std::chrono::milliseconds(1000); // the store keeps its history for seconds only
    constexpr Duration retryDelay = std::chrono::milliseconds(150);
    constexpr Duration idleLimit = std::chrono::seconds(5);
    constexpr std::size_t connectionLimit = 24;

    // FeedPace is how often a feed is polled.
    struct FeedPace {
        Duration wait; // of the store for a change
        Duration pause; // between an answer and the next poll, so that changes gather
    };
    struct FeedPaces {
        FeedPace leading;
        FeedPace following;
    };
    constexpr FeedPace workersPace { std::chrono::milliseconds(250), std::chrono::milliseconds(100) }; // each answer, also an empty one, makes the list recent
    constexpr std::array<FeedPaces, feedKindNames.size()> paces { {
        { { feedWait, std::chrono::milliseconds(30) }, { feedWait, std::chrono::milliseconds(250) } }, // a new job starts as soon as its leader knows it
        { { feedWait, std::chrono::milliseconds(0) }, { feedWait, std::chrono::milliseconds(0) } },
        { workersPace, workersPace }, // only a leader reads it
        {}, // never polled
    } };

    constexpr FeedPaces evacuationsPaces { { std::chrono::milliseconds(500), std::chrono::milliseconds(0) }, { feedWait, std::chrono::milliseconds(0) } }; // of the operator's table; each answer makes the evacuations of a leader recent

    const FeedPace& paceOf(FeedKind feed, bool isLeading, bool followsEvacuations)
    {
        const FeedPaces& ofKind = feed == FeedKind::Configuration && followsEvacuations ? evacuationsPaces : paces[indexOf(feed)];
        return isLeading ? ofKind.leading : ofKind.following;
    }

    bool isFollowed(FeedKind feed)
    {
        return feed != FeedKind::Rosters;
    }

    std::uint32_t partitionsOf(FeedKind feed)
    {
        return feed == FeedKind::Jobs ? leasePartition + 1 : 1;
    }

    template <typename Values>
    void append(Values& to, Values& from)
    {
        to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
    }

} // namespace

StoreDuty::StoreDuty(const EntrySettings& settings, EntryRings& rings, const StoreProtocol& protocol)
    : protocol(protocol)
    , endpoint(settings.store)
    , followsEvacuations(settings.evacuationLimit > Duration(0))
    , outbox(this->loop, rings.scheduling)
    , client(this->loop, { .connectTimeout = connectTimeout, .idleLimit = idleLimit, .connectionLimit = connectionLimit, .progressTimeout = readTimeout })
{
    for (const auto& entry : feedKindNames)
        this->feeds[indexOf(entry.value)].kind = entry.value;
    drainOnWake(this->loop, rings.store, [this](StoreCall call) { std::visit([this](auto value) { this->perform(std::move(value)); }, std::move(call)); });
}

void StoreDuty::run()
{
    for (const FeedKind kind : { FeedKind::Configuration, FeedKind::Jobs }) {
        Feed& feed = this->feeds[indexOf(kind)];
        feed.isWanted = true;
        this->loop.post([this, &feed] { this->follow(feed); });
    }
    this->loop.run();
}

void StoreDuty::perform(WriteStoredRows call)
{
    HttpRequest request = this->protocol.encodeWrite(call);
    this->client.send(this->endpoint, std::move(request), writeTimeout, [this, call = std::move(call)](HttpOutcome outcome) {
        this->outbox.send(this->protocol.decodeWrite(call, outcome));
    });
}

void StoreDuty::perform(ReadJobRows call)
{
    this->client.send(this->endpoint, this->protocol.encodeJobRead(call.job), readTimeout, [this, job = call.job](HttpOutcome outcome) {
        this->outbox.send(this->protocol.decodeJobRead(job, outcome));
    });
}

void StoreDuty::perform(ReadRosters)
{
    this->restart(this->feeds[indexOf(FeedKind::Rosters)], true);
}

void StoreDuty::perform(FollowWorkers call)
{
    this->isLeading = call.shouldFollow;
    Feed& feed = this->feeds[indexOf(FeedKind::Workers)];
    this->restart(feed, call.shouldFollow); // a new leader needs the whole list
    // A new leader starts nothing before it knows the evacuations, and the poll in flight may wait for a second yet.
    if (feed.isWanted && this->followsEvacuations)
        this->pollOnce(this->feeds[indexOf(FeedKind::Configuration)]);
}

void StoreDuty::restart(Feed& feed, bool isWanted)
{
    feed.isWanted = isWanted;
    feed.isScanned = false;
    feed.scan.reset();
    if (feed.isWanted && !feed.isBusy)
        this->follow(feed);
}

void StoreDuty::follow(Feed& feed)
{
    feed.isBusy = false;
    if (!feed.isWanted)
        return;
    feed.isBusy = true;
    if (feed.isScanned)
        return this->poll(feed);
    if (!feed.scan)
        feed.scan = Scan {};
    this->continueScan(feed);
}

void StoreDuty::continueScan(Feed& feed)
{
    // Reading the changes along the way keeps a scan that takes longer than the store's history from starting over for
    // ever. The other tables have few pages, and a whole list of workers has no place for removals.
    const Scan& scan = *feed.scan;
    if (feed.kind == FeedKind::Jobs && scan.read.revision > 0 && BootClock::now() >= scan.polledAt + scanPollInterval)
        return this->pollDuringScan(feed);
    this->scanPage(feed);
}

Duration StoreDuty::pageTimeoutOf(const Feed& feed)
{
    return std::max(feed.pageTimeout, readTimeout);
}

void StoreDuty::adaptPageTimeout(Feed& feed, const HttpOutcome& outcome)
{
    // A page that is cut off has used the link for nothing, and the next one is no smaller. A silent connection should be noticed
    // soon nevertheless, so that only pages after a timeout get more time.
    if (outcome)
        feed.pageTimeout = readTimeout;
    else if (outcome.error().kind == SendFailureKind::AnswerTimeout)
        feed.pageTimeout = std::min(2 * pageTimeoutOf(feed), maxPageTimeout);
}

void StoreDuty::scanPage(Feed& feed)
{
    const Scan& scan = *feed.scan;
    this->client.send(this->endpoint, this->protocol.encodeScan(feed.kind, scan.partition, scan.startKey), pageTimeoutOf(feed), [this, &feed](HttpOutcome outcome) {
        if (!outcome) // a slow link stays slow for the whole scan
            adaptPageTimeout(feed, outcome);
        this->pageScanned(feed, this->protocol.decodePage(feed.kind, outcome));
    });
}

void StoreDuty::pageScanned(Feed& feed, FeedPage page)
{
    this->noteContact(feed, page.status == FeedStatus::Read);
    if (page.status != FeedStatus::Read)
        return this->again(feed, retryDelay);
    if (!feed.scan) // a new scan was asked for meanwhile
        return this->follow(feed);
    Scan& scan = *feed.scan;
    if (scan.read.revision == 0) {
        scan.read.revision = page.revision; // changes after the first page are read again
        scan.polledAt = BootClock::now();
    }
    append(scan.read.rows, page.rows);
    append(scan.read.workers, page.workers);
    append(scan.read.evacuations, page.evacuations);
    if (page.configuration)
        scan.read.configuration = std::move(page.configuration);
    scan.startKey = std::move(page.nextKey);
    if (scan.startKey.empty() && ++scan.partition == partitionsOf(feed.kind))
        this->finishScan(feed);
    this->follow(feed);
}

void StoreDuty::pollDuringScan(Feed& feed)
{
    Scan& scan = *feed.scan;
    scan.polledAt = BootClock::now();
    this->client.send(this->endpoint, this->protocol.encodeFeed(feed.kind, scan.read.revision, Duration(0)), pageTimeoutOf(feed), [this, &feed](HttpOutcome outcome) {
        this->polledDuringScan(feed, this->protocol.decodePage(feed.kind, outcome));
    });
}

void StoreDuty::polledDuringScan(Feed& feed, FeedPage page)
{
    this->noteContact(feed, page.status != FeedStatus::Failed);
    if (page.status == FeedStatus::HistoryGone)
        return this->startOver(feed);
    if (page.status == FeedStatus::Failed)
        return this->again(feed, retryDelay); // with the next page
    if (!feed.scan)
        return this->follow(feed);
    append(feed.scan->read.rows, page.rows);
    feed.scan->read.revision = std::max(feed.scan->read.revision, page.revision);
    this->scanPage(feed);
}

void StoreDuty::finishScan(Feed& feed)
{
    feed.isScanned = true;
    feed.revision = feed.scan->read.revision;
    feed.isWanted = feed.isWanted && isFollowed(feed.kind);
    this->deliver(feed, std::move(feed.scan->read), true);
    feed.scan.reset();
}

void StoreDuty::startOver(Feed& feed)
{
    logInfo(LogPart::Store, "History is gone; the feed " + std::string(feedKindNames.nameOf(feed.kind)) + " is read anew.");
    feed.isScanned = false;
    feed.scan.reset();
    this->follow(feed);
}

void StoreDuty::poll(Feed& feed)
{
    const Duration wait = paceOf(feed.kind, this->isLeading, this->followsEvacuations).wait;
    this->client.send(this->endpoint, this->protocol.encodeFeed(feed.kind, feed.revision, wait), wait + pageTimeoutOf(feed), [this, &feed](HttpOutcome outcome) {
        adaptPageTimeout(feed, outcome);
        this->pagePolled(feed, this->protocol.decodePage(feed.kind, outcome));
    });
}

void StoreDuty::pagePolled(Feed& feed, FeedPage page)
{
    this->noteContact(feed, page.status != FeedStatus::Failed);
    if (page.status == FeedStatus::HistoryGone)
        return this->startOver(feed);
    if (page.status == FeedStatus::Failed)
        return this->again(feed, retryDelay);
    if (!feed.isScanned) // a new scan was asked for meanwhile
        return this->follow(feed);
    feed.revision = std::max(feed.revision, page.revision);
    this->deliver(feed, std::move(page), false);
    this->again(feed, paceOf(feed.kind, this->isLeading, this->followsEvacuations).pause);
}

void StoreDuty::pollOnce(Feed& feed)
{
    this->client.send(this->endpoint, this->protocol.encodeFeed(feed.kind, feed.revision, Duration(0)), pageTimeoutOf(feed), [this, &feed](HttpOutcome outcome) {
        FeedPage page = this->protocol.decodePage(feed.kind, outcome);
        if (page.status == FeedStatus::Read && feed.isScanned)
            this->deliver(feed, std::move(page), false); // the poll in flight reads the same changes again
    });
}

void StoreDuty::again(Feed& feed, Duration delay)
{
    if (delay == Duration(0))
        return this->follow(feed);
    this->loop.after(delay, [this, &feed] { this->follow(feed); });
}

void StoreDuty::deliver(const Feed& feed, FeedPage page, bool isWhole)
{
    if (page.unreadable > 0)
        logWarning(LogPart::Store, std::to_string(page.unreadable) + " entries of the feed " + std::string(feedKindNames.nameOf(feed.kind)) + " can't be read and are left out.");
    if (feed.kind == FeedKind::Jobs)
        return this->outbox.send(StoredRowsRead { std::move(page.rows), page.revision, isWhole });
    if (feed.kind == FeedKind::Rosters)
        return this->outbox.send(RostersRead { std::move(page.rows), page.revision });
    if (feed.kind == FeedKind::Workers)
        return this->outbox.send(WorkersListed { std::move(page.workers), std::move(page.removedWorkers), isWhole, page.revision });
    this->deliverOperatorRows(std::move(page), isWhole);
}

void StoreDuty::deliverOperatorRows(FeedPage page, bool isWhole)
{
    if (page.configuration)
        this->outbox.send(ConfigurationFollowed { std::move(*page.configuration) });
    if (this->followsEvacuations)
        this->outbox.send(EvacuationsFollowed { { std::move(page.evacuations), isWhole, page.revision } });
}

void StoreDuty::noteContact(const Feed& feed, bool isAnswering)
{
    if (feed.kind == FeedKind::Jobs)
        this->outbox.send(StoreContact { isAnswering });
}

} // namespace dragonflytray
