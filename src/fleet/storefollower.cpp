#include "verbenadock/fleet/storefollower.h"

#include "verbenadock/fleet/recordmessages.h"
#include "verbenadock/platform/decoding.h"
#include "verbenadock/telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace Verbenadock::Fleet {

namespace asio = boost::asio;

namespace {

using Telemetry::logChange;
using Telemetry::LogLevel;

/// The store answers within 4 ms, under load within 250 ms. A removed upstream has to be known within 2 s.
constexpr Duration StoreTimeout = std::chrono::milliseconds(700);
constexpr Duration PeerTimeout = std::chrono::milliseconds(300);
/// Maximum time that a call waits for new records. With a longer wait, a dead connection would be detected too late.
constexpr Duration LongPollTime = std::chrono::milliseconds(1000);
/// Time that the store takes for an answer under load. After it the call counts as unanswered for the other VMs, which
/// then read for themselves, long before the call fails.
constexpr Duration AnswerTime = std::chrono::milliseconds(250);
/// Initial backoff after a failed call; other VMs are asked in the meantime.
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(400);
/// Limit of the exponential backoff. A VM with a shorter delay notices the return of the store and tells the others.
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(1600);
/// Upstreams often register in sequence. A delay after a record lets the next call return several records. The delay is
/// short compared to the 2 s within which a change has to be in force.
constexpr Duration BatchDelay = std::chrono::milliseconds(400);
/// The store is reported as lost after failing for this long. A single lost answer is no outage.
constexpr Duration LossThreshold = std::chrono::seconds(1);

/// Maximum size of a page served to another VM. A VM with a slow link could not receive all of its missing records
/// within the time-out, and would miss even more records at the next try.
constexpr std::size_t MaxRelayedBytes = 16 * 1024;

std::vector<Platform::KeyedRecord> decodeKeyed(const std::vector<Platform::StoredRecord> &records)
{
    std::vector<Platform::KeyedRecord> result;
    for (const auto &record : records) {
        if (auto split = Platform::splitKeyed(record)) {
            result.push_back(std::move(*split));
        } else {
            logChange(LogLevel::Warning, "record_skipped offset=" + std::to_string(record.offset) + " reason=no-key");
        }
    }
    return result;
}

/// Keys and values are written by others and may be long.
std::string_view shortened(std::string_view text)
{
    constexpr std::size_t MaxLoggedBytes = 200;
    return text.substr(0, MaxLoggedBytes);
}

std::string formatChange(const Discovery::DirectoryChange &change)
{
    std::string line = "directory_change kind=" + std::string(Discovery::toString(change.kind));
    line.append(" upstream=").append(change.subject.empty() ? "-" : shortened(change.subject));
    line.append(" offset=").append(std::to_string(change.offset));
    line.append(" version=").append(std::to_string(change.version));
    line.append(" reason=\"").append(shortened(change.reason)).append("\"");
    return line;
}

} // namespace

StoreFollower::StoreFollower(asio::io_context &loop,
                             const Settings::StoreSettings &storeSettings,
                             Telemetry::MetricsRegistry &registry,
                             Handlers callbacks)
    : context(loop)
    , settings(storeSettings)
    , handlers(std::move(callbacks))
    , store(storeSettings.endpoint, StoreTimeout)
    , currentDirectory(
          Discovery::RetryAllowance{.attempts = storeSettings.retryAllowance, .window = storeSettings.retryWindow})
    , deadlineTimer(loop)
    , random(std::random_device{}())
    , storeCalls(registry.counter("verbenadock_store_calls_total", "Calls to the platform's store."))
    , storeFailures(registry.counter("verbenadock_store_failures_total", "Calls without a usable answer."))
    , pagesFromPeers(registry.counter("verbenadock_store_relayed_total", "Pages read from other VMs."))
    , pushedMessages(registry.counter("verbenadock_store_pushed_total", "Datagrams with new records from other VMs."))
    , unreadableRecords(registry.counter("verbenadock_unreadable_records_total", "Records that name nothing to use."))
{
}

void StoreFollower::start()
{
    for (const auto topic : {Topic::Configuration, Topic::Upstreams}) {
        asio::co_spawn(
            this->context,
            [self = this->shared_from_this(), topic]() -> asio::awaitable<void> {
                co_await self->follow(topic);
            },
            asio::detached);
    }
}

void StoreFollower::stop()
{
    this->stopped = true;
    this->deadlineTimer.cancel();
}

Discovery::Directory &StoreFollower::directory()
{
    return this->currentDirectory;
}

asio::awaitable<void> StoreFollower::sleepFor(Duration duration)
{
    asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

StoreFollower::Progress &StoreFollower::progressOf(Topic topic)
{
    return topic == Topic::Configuration ? this->configurationProgress : this->upstreamsProgress;
}

std::uint64_t StoreFollower::nextOffset(Topic topic) const
{
    return topic == Topic::Configuration ? this->currentDirectory.nextConfigurationOffset()
                                         : this->currentDirectory.nextUpstreamOffset().value_or(0);
}

asio::awaitable<void> StoreFollower::follow(Topic topic)
{
    auto retryDelay = InitialRetryDelay;
    while (!this->stopped) {
        const auto &progress = this->progressOf(topic);
        const bool lacksRecords = this->nextOffset(topic) < progress.missedEnd;
        if (progress.complete && !lacksRecords && !this->handlers.readsStore()) {
            co_await this->sleepFor(this->settings.pollInterval);
            continue;
        }
        const auto before = this->nextOffset(topic);
        const bool success = co_await this->readNext(topic);
        if (!success) {
            co_await this->readFromRandomPeer(topic);
            co_await this->sleepFor(retryDelay);
            retryDelay = this->progressOf(topic).complete ? std::min(2 * retryDelay, MaxRetryDelay) : InitialRetryDelay;
            continue;
        }
        retryDelay = InitialRetryDelay;
        if (this->nextOffset(topic) != before) {
            co_await this->sleepFor(BatchDelay);
        }
    }
}

asio::awaitable<bool> StoreFollower::readNext(Topic topic)
{
    if (!this->progressOf(topic).complete) {
        co_return co_await this->readNewest(topic, this->settings.endpoint);
    }
    std::string failure;
    const std::string name(nameOf(topic));
    const auto from = this->nextOffset(topic);
    asio::steady_timer overdueTimer(this->context);
    try {
        this->beginStoreCall(topic, LongPollTime, overdueTimer);
        const auto page = co_await this->store.read(name, from, LongPollTime);
        this->applyPage(topic, from, page);
        const auto newRecords = this->cacheOf(topic).recordsFrom(from);
        if (!page.records.empty() && newRecords) {
            this->handlers.recordsRead(name, from, *newRecords);
        }
    } catch (const Platform::HistoryGone &) {
        this->progressOf(topic).complete = false;
    } catch (const Platform::PlatformError &error) {
        failure = error.what();
    }
    this->endStoreCall(topic, failure);
    co_return failure.empty();
}

bool StoreFollower::isFresh(TimePoint now) const
{
    const auto fresh = [now](const Progress &progress) {
        return progress.complete && progress.answered && (!progress.overdueAt || now < *progress.overdueAt);
    };
    return fresh(this->configurationProgress) && fresh(this->upstreamsProgress);
}

void StoreFollower::catchUpFrom(const Endpoint &peer, std::uint64_t configurationEnd, std::uint64_t upstreamsEnd)
{
    const auto fetchMissing = [this, &peer](Topic topic, std::uint64_t end) {
        auto &progress = this->progressOf(topic);
        if (end <= this->nextOffset(topic) || progress.fetching || this->stopped) {
            return;
        }
        progress.fetching = true;
        asio::co_spawn(
            this->context,
            [self = this->shared_from_this(), topic, peer, end]() -> asio::awaitable<void> {
                co_await self->fetchUntil(topic, peer, end);
            },
            asio::detached);
    };
    fetchMissing(Topic::Configuration, configurationEnd);
    fetchMissing(Topic::Upstreams, upstreamsEnd);
}

asio::awaitable<void> StoreFollower::fetchUntil(Topic topic, Endpoint peer, std::uint64_t end)
{
    const auto start = this->nextOffset(topic);
    bool success = true;
    auto before = start;
    do {
        before = this->nextOffset(topic);
        success = co_await this->readFromPeer(topic, peer);
    } while (success && !this->stopped && this->nextOffset(topic) > before && this->nextOffset(topic) < end);
    if (success && !this->stopped && this->nextOffset(topic) < end) {
        // The pages of that VM do not lead to what it has, for whatever reason; all of its records do.
        success = co_await this->readNewest(topic, peer);
    }
    this->progressOf(topic).fetching = false;
    // The other VMs may be too busy to serve pages to all VMs that lack them.
    this->progressOf(topic).missedEnd = end;
    this->logRelayed(topic, peer, start, success);
}

asio::awaitable<bool> StoreFollower::readFromPeer(Topic topic, Endpoint peer)
{
    // A full read is avoided where possible: the newest records of all upstreams take about 100 KB in a large
    // deployment, and many VMs ask the same VM at once.
    if (this->progressOf(topic).complete) {
        try {
            this->pagesFromPeers.add();
            const Platform::StoreClient client(peer, PeerTimeout);
            const auto from = this->nextOffset(topic);
            const auto page = co_await client.read(std::string(nameOf(topic)), from, Duration(0));
            this->applyPage(topic, from, page);
            co_return true;
        } catch (const Platform::PlatformError &error) {
            logChange(LogLevel::Info,
                      "store_relay_incomplete topic=" + std::string(nameOf(topic)) + " from=" + toString(peer)
                          + " reason=\"" + error.what() + "\"");
        }
    }
    co_return co_await this->readNewest(topic, peer);
}

asio::awaitable<bool> StoreFollower::readNewest(Topic topic, Endpoint source)
{
    const bool fromStore = source == this->settings.endpoint;
    const std::string name(nameOf(topic));
    std::string failure;
    asio::steady_timer overdueTimer(this->context);
    try {
        if (fromStore) {
            this->beginStoreCall(topic, Duration(0), overdueTimer);
        } else {
            this->pagesFromPeers.add();
        }
        const Platform::StoreClient client(source, fromStore ? StoreTimeout : PeerTimeout);
        const auto newest = co_await client.newest(name);
        this->applyRecords(topic, newest.records, newest.end, true);
        this->progressOf(topic).complete = true;
    } catch (const Platform::PlatformError &error) {
        failure = error.what();
    }
    if (fromStore) {
        this->endStoreCall(topic, failure);
    }
    co_return failure.empty();
}

asio::awaitable<void> StoreFollower::readFromRandomPeer(Topic topic)
{
    const auto peers = this->handlers.peerEndpoints();
    if (peers.empty() || this->stopped) {
        co_return;
    }
    const auto peer = peers[std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(this->random)];
    const auto before = this->nextOffset(topic);
    const bool success = co_await this->readFromPeer(topic, peer);
    this->logRelayed(topic, peer, before, success);
}

void StoreFollower::logRelayed(Topic topic, const Endpoint &peer, std::uint64_t before, bool success) const
{
    logChange(LogLevel::Info,
              "store_relayed topic=" + std::string(nameOf(topic)) + " from=" + toString(peer)
                  + " success=" + (success ? "true" : "false") + " offset_before=" + std::to_string(before)
                  + " offset_after=" + std::to_string(this->nextOffset(topic)));
}

std::string_view StoreFollower::nameOf(Topic topic)
{
    return topic == Topic::Configuration ? Platform::ConfigurationTopic : Platform::UpstreamsTopic;
}

void StoreFollower::applyRecords(Topic topic,
                                 const std::vector<Platform::KeyedRecord> &records,
                                 std::uint64_t end,
                                 bool complete)
{
    if (complete) {
        this->cacheOf(topic).reset({.records = records, .end = end});
    } else {
        this->cacheOf(topic).append(records, end);
    }
    if (topic == Topic::Configuration) {
        this->applyConfiguration(records, end);
    } else {
        this->applyUpstreams(records, end, complete);
    }
}

void StoreFollower::applyPage(Topic topic, std::uint64_t from, const Platform::StoredPage &page)
{
    // The store states the end of the topic also in a page that it ended before, because of the page's size.
    const auto readEnd = std::min(page.end, from + page.records.size());
    this->applyRecords(topic, decodeKeyed(page.records), readEnd, false);
}

void StoreFollower::applyConfiguration(const std::vector<Platform::KeyedRecord> &records, std::uint64_t end)
{
    Discovery::ConfigurationRead event{.at = monotonicNow(), .records = {}, .end = end};
    for (const auto &record : records) {
        if (record.key == Platform::ConfigurationKey) {
            event.records.push_back(Platform::decodeConfiguration(record));
        }
    }
    this->apply(event);
}

void StoreFollower::applyUpstreams(const std::vector<Platform::KeyedRecord> &records, std::uint64_t end, bool complete)
{
    Discovery::UpstreamsRead event{.at = monotonicNow(), .records = {}, .complete = complete, .end = end};
    for (const auto &record : records) {
        event.records.push_back(Platform::decodeUpstream(record));
    }
    this->apply(event);
}

void StoreFollower::apply(const Discovery::DirectoryEvent &event)
{
    for (const auto &change : this->currentDirectory.apply(event)) {
        if (change.kind == Discovery::DirectoryChange::Kind::RecordUnreadable) {
            this->unreadableRecords.add();
        }
        logChange(LogLevel::Info, formatChange(change));
    }
    if (this->currentDirectory.changed()) {
        this->handlers.directoryChanged();
    }
    this->scheduleDeadline();
}

void StoreFollower::beginStoreCall(Topic topic, Duration wait, asio::steady_timer &overdueTimer)
{
    this->storeCalls.add();
    const auto limit = wait + AnswerTime;
    this->progressOf(topic).overdueAt = monotonicNow() + limit;
    overdueTimer.expires_after(limit);
    overdueTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->stopped) {
            self->handlers.freshnessLost();
        }
    });
}

void StoreFollower::endStoreCall(Topic topic, const std::string &failure)
{
    const auto now = monotonicNow();
    auto &progress = this->progressOf(topic);
    progress.overdueAt.reset();
    const bool wasAnswered = std::exchange(progress.answered, failure.empty());
    if (failure.empty()) {
        this->failingSince.reset();
        if (this->storeLost) {
            this->storeLost = false;
            logChange(LogLevel::Info, "dependency_regained name=store");
            this->apply(Discovery::StoreRecovered{.at = now});
        }
        return;
    }
    if (wasAnswered && !this->stopped) {
        this->handlers.freshnessLost();
    }
    this->storeFailures.add();
    logChange(LogLevel::Warning,
              "store_call_failed topic=" + std::string(nameOf(topic)) + " reason=\"" + failure + "\"");
    if (!this->failingSince) {
        this->failingSince = now;
    }
    if (!this->storeLost && now - *this->failingSince >= LossThreshold) {
        this->storeLost = true;
        logChange(LogLevel::Warning, "dependency_lost name=store");
        this->apply(Discovery::StoreLost{.at = now});
    }
}

void StoreFollower::scheduleDeadline()
{
    const auto next = this->currentDirectory.nextDeadline();
    if (!next || this->stopped) {
        return;
    }
    this->deadlineTimer.expires_after(timeUntil(*next));
    this->deadlineTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->stopped) {
            self->apply(Discovery::DeadlineReached{.at = monotonicNow()});
        }
    });
}

RecordCache &StoreFollower::cacheOf(Topic topic)
{
    return topic == Topic::Configuration ? this->configurationRecords : this->upstreamRecords;
}

const RecordCache &StoreFollower::cacheOf(Topic topic) const
{
    return topic == Topic::Configuration ? this->configurationRecords : this->upstreamRecords;
}

void StoreFollower::applyRecords(const Mesh::StoreRecords &message)
{
    for (const auto topic : {Topic::Configuration, Topic::Upstreams}) {
        if (message.topic != nameOf(topic) || !this->progressOf(topic).complete || this->stopped) {
            continue;
        }
        if (const auto newRecords = followingRecords(message, this->nextOffset(topic))) {
            this->pushedMessages.add();
            this->applyRecords(topic, decodeKeyed(newRecords->records), newRecords->end, false);
        }
    }
}

std::optional<std::string> StoreFollower::page(std::string_view target) const
{
    const auto request = Platform::pageRequest(target);
    const bool isConfiguration
        = request && request->topic == Platform::ConfigurationTopic && this->configurationProgress.complete;
    const bool isUpstreams = request && request->topic == Platform::UpstreamsTopic && this->upstreamsProgress.complete;
    if (!isConfiguration && !isUpstreams) {
        return std::nullopt;
    }
    const auto &records = this->cacheOf(isConfiguration ? Topic::Configuration : Topic::Upstreams);
    if (!request->from) {
        return Platform::newestPage(records.newest());
    }
    auto page = records.recordsFrom(*request->from);
    if (!page) {
        return std::nullopt;
    }
    truncatePage(*page, MaxRelayedBytes);
    return Platform::readPage(*page);
}

} // namespace Verbenadock::Fleet
