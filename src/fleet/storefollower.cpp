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
/// Time for an answer of the store once it has begun. A configuration of 640 KB takes 0.5 s at 10 Mbit/s, and longer
/// while callers use the link.
constexpr Duration StoreBodyLimit = std::chrono::milliseconds(1500);
/// The same for a VM that has no records yet, and no callers. When all VMs start at once, they share what the store can
/// send.
constexpr Duration FirstBodyLimit = std::chrono::seconds(5);
/// Maximum time that a call waits for new records. With a longer wait, a dead connection would be detected too late.
constexpr Duration LongPollTime = std::chrono::milliseconds(1000);
/// Time that the store takes for an answer under load. After it the call counts as unanswered for the other VMs, which
/// then read for themselves, long before the call fails.
constexpr Duration AnswerTime = std::chrono::milliseconds(250);
/// Time for the rest of an answer that has begun, after which the call counts as unanswered in the same way.
constexpr Duration BodyTime = std::chrono::milliseconds(500);
/// Initial backoff after a failed call; other VMs are asked in the meantime.
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(400);
/// Limit of the exponential backoff. A VM with a shorter delay notices the return of the store and tells the others.
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(1600);
/// Upstreams often register in sequence. A delay after a record lets the next call return several records. The delay is
/// short compared to the 2 s within which a change has to be in force.
constexpr Duration BatchDelay = std::chrono::milliseconds(400);
/// Of several long versions in a page all but the last have been replaced. A longer record has a page of its own.
constexpr std::uint64_t MaxConfigurationPageKibibytes = 320;
/// The store is reported as lost after failing for this long. A single lost answer is no outage.
constexpr Duration LossThreshold = std::chrono::seconds(1);

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
    , store(storeSettings.endpoint, StoreTimeout, StoreBodyLimit)
    , currentDirectory(
          Discovery::RetryAllowance{.attempts = storeSettings.retryAllowance, .window = storeSettings.retryWindow})
    , configurationPatches(std::string(Platform::ConfigurationTopic), std::string(Platform::ConfigurationKey))
    , patchBudget(storeSettings.linkMbps)
    , deadlineTimer(loop)
    , random(std::random_device{}())
    , newestConfiguration(registry)
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

asio::awaitable<void> StoreFollower::idle(Topic topic)
{
    asio::steady_timer timer(this->context, this->settings.pollInterval);
    auto &progress = this->progressOf(topic);
    progress.idleTimer = &timer;
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    progress.idleTimer = nullptr;
}

StoreFollower::Progress &StoreFollower::progressOf(Topic topic)
{
    return topic == Topic::Configuration ? this->configurationProgress : this->upstreamsProgress;
}

const StoreFollower::Progress &StoreFollower::progressOf(Topic topic) const
{
    return topic == Topic::Configuration ? this->configurationProgress : this->upstreamsProgress;
}

bool StoreFollower::readsStore(Topic topic) const
{
    const auto &progress = this->progressOf(topic);
    return !progress.complete || progress.restartsFromNewest || this->nextPosition(topic) < progress.missedEnd
           || this->handlers.readsStore();
}

StorePosition StoreFollower::nextPosition(Topic topic) const
{
    return topic == Topic::Configuration ? this->currentDirectory.nextConfigurationPosition()
                                         : this->currentDirectory.nextUpstreamPosition().value_or(StorePosition{});
}

asio::awaitable<void> StoreFollower::follow(Topic topic)
{
    auto retryDelay = InitialRetryDelay;
    while (!this->stopped) {
        if (!this->readsStore(topic)) {
            // What the store answered before says nothing about whether it answers this VM when it reads again.
            this->progressOf(topic).answered = false;
            co_await this->idle(topic);
            continue;
        }
        const auto before = this->nextPosition(topic);
        const bool success = co_await this->readNext(topic);
        if (!success) {
            co_await this->readFromRandomPeer(topic);
            co_await this->sleepFor(retryDelay);
            retryDelay = this->progressOf(topic).complete ? std::min(2 * retryDelay, MaxRetryDelay) : InitialRetryDelay;
            continue;
        }
        retryDelay = InitialRetryDelay;
        if (this->nextPosition(topic) != before) {
            co_await this->sleepFor(BatchDelay);
        }
    }
}

asio::awaitable<bool> StoreFollower::readNext(Topic topic)
{
    if (!this->progressOf(topic).complete || this->progressOf(topic).restartsFromNewest
        || this->lacksReplacedRecords(topic)) {
        co_return co_await this->readNewest(topic, this->settings.endpoint);
    }
    std::string failure;
    const std::string name(nameOf(topic));
    const auto from = this->nextPosition(topic);
    asio::steady_timer overdueTimer(this->context);
    try {
        // The first call is answered at once, so that the other VMs soon know whether they can rely on this one.
        const auto wait = this->progressOf(topic).answered ? LongPollTime : Duration(0);
        this->beginStoreCall(topic, wait, overdueTimer);
        Platform::ReadOptions options{.wait = wait, .answerBegun = [&] {
                                          this->noteAnswerBegun(topic, overdueTimer);
                                      }};
        if (topic == Topic::Configuration) {
            options.maxKibibytes = MaxConfigurationPageKibibytes;
        }
        const auto page = co_await this->store.read(name, from.offset, std::move(options));
        if (page.era < from.era) {
            throw Platform::PlatformError("the store answered from an earlier era");
        }
        if (page.era > from.era) {
            this->progressOf(topic).restartsFromNewest = true;
        } else {
            this->applyPage(topic, from.offset, page, RecordSource::Store);
            if (topic == Topic::Configuration) {
                this->noteConfigurationEnd({.era = page.era, .offset = page.end});
            }
            const auto newRecords = this->cacheOf(topic).recordsFrom(from.offset);
            if (!page.records.empty() && newRecords) {
                this->handlers.recordsRead(name, from.offset, *newRecords);
            }
            this->confirmConfiguration(topic, {.era = page.era, .offset = page.end});
        }
    } catch (const Platform::HistoryGone &) {
        this->progressOf(topic).restartsFromNewest = true;
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
        const auto bodyLimit = this->progressOf(topic).complete ? StoreBodyLimit : FirstBodyLimit;
        const auto client = fromStore ? Platform::StoreClient(source, StoreTimeout, bodyLimit)
                                      : Platform::StoreClient(source, PeerTimeout, PeerBodyLimit);
        const auto known = this->nextPosition(topic);
        const auto newest = co_await client.newest(name, [&] {
            if (fromStore) {
                this->noteAnswerBegun(topic, overdueTimer);
            }
        });
        if (newest.end < known) {
            throw Platform::PlatformError("the newest records end before the known ones");
        }
        this->applyRecords(topic, newest.records, newest.end, true, fromStore ? RecordSource::Store : RecordSource::Vm);
        if (fromStore && this->progressOf(topic).complete && newest.end > known && this->handlers.readsStore()) {
            this->handlers.recordsRead(name, newest.end.offset, {.era = newest.end.era, .end = newest.end.offset});
        }
        auto &progress = this->progressOf(topic);
        const bool isNewEra = progress.complete && newest.end.era > known.era;
        progress.complete = true;
        progress.restartsFromNewest = false;
        if (fromStore) {
            this->confirmConfiguration(topic, newest.end);
        }
        if (isNewEra) {
            this->handlers.eraBegun(newest.end.era);
        }
    } catch (const Platform::PlatformError &error) {
        failure = error.what();
    }
    if (fromStore) {
        this->endStoreCall(topic, failure);
    }
    co_return failure.empty();
}

void StoreFollower::confirmConfiguration(Topic topic, const StorePosition &storeEnd) const
{
    // A page may end before the topic does.
    if (topic == Topic::Configuration && this->handlers.configurationConfirmed
        && this->nextPosition(topic) == storeEnd) {
        this->handlers.configurationConfirmed();
    }
}

std::string_view StoreFollower::nameOf(Topic topic)
{
    return topic == Topic::Configuration ? Platform::ConfigurationTopic : Platform::UpstreamsTopic;
}

void StoreFollower::applyRecords(Topic topic,
                                 const std::vector<Platform::KeyedRecord> &records,
                                 const StorePosition &end,
                                 bool complete,
                                 RecordSource source)
{
    const auto previous = this->configurationPosition();
    if (complete) {
        this->cacheOf(topic).reset({.records = records, .end = end});
    } else {
        this->cacheOf(topic).append(records, end.offset);
    }
    if (topic == Topic::Configuration) {
        if (source == RecordSource::Store && this->handlers.readsStore()) {
            // Before the configuration is decoded, which takes a VM with a tenth of a core up to 0.2 s.
            this->announceConfiguration(previous);
        }
        this->applyConfiguration(records, end, source);
    } else {
        this->applyUpstreams(records, end, complete);
    }
}

void StoreFollower::applyPage(Topic topic, std::uint64_t from, const Platform::StoredPage &page, RecordSource source)
{
    // The store states the end of the topic also in a page that it ended before, because of the page's size.
    const auto readEnd = std::min(page.end, from + page.records.size());
    this->applyRecords(topic, decodeKeyed(page.records), {.era = page.era, .offset = readEnd}, false, source);
}

void StoreFollower::applyConfiguration(const std::vector<Platform::KeyedRecord> &records,
                                       const StorePosition &end,
                                       RecordSource source)
{
    const auto versionInForce = [this] {
        const auto &configuration = this->currentDirectory.operatorConfiguration();
        return configuration ? configuration->version : 0;
    };
    const auto versionBefore = versionInForce();
    ConfigurationSteps steps{.source = source, .received = monotonicNow()};
    Discovery::ConfigurationRead event{.at = steps.received, .records = {}, .end = end};
    // A version that another one of the same page replaces would be in force for no time.
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        if (record->key != Platform::ConfigurationKey) {
            continue;
        }
        steps.bytes += record->value ? record->value->size() : 0;
        event.records.insert(event.records.begin(), Platform::decodeConfiguration(*record));
        if (std::holds_alternative<Discovery::OperatorConfiguration>(event.records.front().content)) {
            break;
        }
    }
    steps.decoded = monotonicNow();
    this->apply(event);
    steps.applied = monotonicNow();
    steps.version = versionInForce();
    if (steps.version != versionBefore) {
        logChange(LogLevel::Info, this->newestConfiguration.report(steps));
    }
    if (this->newestConfiguration.noteOwnEnd(this->nextPosition(Topic::Configuration))
        && this->handlers.configurationSuperseded) {
        this->handlers.configurationSuperseded(false);
    }
}

void StoreFollower::applyUpstreams(const std::vector<Platform::KeyedRecord> &records,
                                   const StorePosition &end,
                                   bool complete)
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
    this->setOverdueTime(topic, wait + AnswerTime, overdueTimer);
}

void StoreFollower::noteAnswerBegun(Topic topic, asio::steady_timer &overdueTimer)
{
    this->setOverdueTime(topic, BodyTime, overdueTimer);
}

void StoreFollower::setOverdueTime(Topic topic, Duration limit, asio::steady_timer &overdueTimer)
{
    this->progressOf(topic).overdueAt = monotonicNow() + limit;
    overdueTimer.expires_after(limit);
    overdueTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->stopped) {
            self->handlers.freshnessChanged();
        }
    });
}

void StoreFollower::endStoreCall(Topic topic, const std::string &failure)
{
    const auto now = monotonicNow();
    auto &progress = this->progressOf(topic);
    progress.overdueAt.reset();
    const bool wasAnswered = std::exchange(progress.answered, failure.empty());
    if (progress.answered != wasAnswered && !this->stopped) {
        this->handlers.freshnessChanged();
    }
    if (failure.empty()) {
        this->failingSince.reset();
        if (this->storeLost) {
            this->storeLost = false;
            logChange(LogLevel::Info, "dependency_regained name=store");
            this->apply(Discovery::StoreRecovered{.at = now});
        }
        return;
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

} // namespace Verbenadock::Fleet
