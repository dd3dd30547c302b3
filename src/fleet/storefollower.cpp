#include "verbenadock/fleet/storefollower.h"

#include "verbenadock/fleet/recordmessages.h"
#include "verbenadock/platform/decoding.h"
#include "verbenadock/telemetry/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace Verbenadock::Fleet {

namespace asio = boost::asio;

namespace {

using Telemetry::logChange;
using Telemetry::LogLevel;

/// The store answers within 4 ms, under load within 250 ms. A removed upstream has to be known within 2 s.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(700);
constexpr Duration OtherTimeout = std::chrono::milliseconds(300);
/// Maximum time that a call waits for new records. With a longer wait, a dead connection would be detected too late.
constexpr Duration LongestWait = std::chrono::milliseconds(1200);
/// The last answered call may have waited for the long-poll time, while the next one is still running.
constexpr Duration FreshLimit = std::chrono::milliseconds(2700);
/// Initial backoff after a failed call; other VMs are asked in the meantime.
constexpr Duration RetryPause = std::chrono::milliseconds(400);
/// Limit of the exponential backoff. A VM with a shorter delay notices the return of the store and tells the others.
constexpr Duration LongestRetryPause = std::chrono::milliseconds(1600);
/// Upstreams often register in sequence. A delay after a record lets the next call return several records. The delay is
/// short compared to the 2 s within which a change has to be in force.
constexpr Duration BatchPause = std::chrono::milliseconds(400);
/// The store is reported as lost after failing for this long. A single lost answer is no outage.
constexpr Duration LostAfter = std::chrono::seconds(1);

/// Maximum size of a page served to another VM. A VM with a slow link could not receive all of its missing records
/// within the time-out, and would miss even more records at the next try.
constexpr std::size_t MostRelayedBytes = 16 * 1024;

std::vector<Platform::KeyedRecord> keyed(const std::vector<Platform::StoredRecord> &records)
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

std::string lineOf(const Discovery::DirectoryChange &change)
{
    std::string line = "directory_change kind=" + std::string(Discovery::toString(change.kind));
    line.append(" upstream=").append(change.subject.empty() ? "-" : change.subject);
    line.append(" offset=").append(std::to_string(change.offset));
    line.append(" version=").append(std::to_string(change.version));
    line.append(" reason=\"").append(change.reason).append("\"");
    return line;
}

} // namespace

StoreFollower::StoreFollower(asio::io_context &loop,
                             const Settings::StoreSettings &given,
                             Telemetry::MetricsRegistry &registry,
                             Handlers toOwner)
    : context(loop)
    , settings(given)
    , handlers(std::move(toOwner))
    , store(given.endpoint, AnswerTimeout)
    , known(Discovery::RetryAllowance{.attempts = given.retryAllowance, .window = given.retryWindow})
    , deadlineTimer(loop)
    , random(std::random_device{}())
    , calls(registry.counter("verbenadock_store_calls_total", "Calls to the platform's store."))
    , failures(registry.counter("verbenadock_store_failures_total", "Calls without a usable answer."))
    , readFromOthers(registry.counter("verbenadock_store_relayed_total", "Pages read from other VMs."))
    , pushed(registry.counter("verbenadock_store_pushed_total", "Datagrams with new records from other VMs."))
    , unreadable(registry.counter("verbenadock_unreadable_records_total", "Records that name nothing to use."))
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
    return this->known;
}

asio::awaitable<void> StoreFollower::pause(Duration duration)
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
    return topic == Topic::Configuration ? this->known.nextConfigurationOffset()
                                         : this->known.nextUpstreamOffset().value_or(0);
}

asio::awaitable<void> StoreFollower::follow(Topic topic)
{
    auto retryPause = RetryPause;
    while (!this->stopped) {
        if (this->progressOf(topic).complete && !this->handlers.reads()) {
            co_await this->pause(this->settings.pollInterval);
            continue;
        }
        const auto before = this->nextOffset(topic);
        const bool success = co_await this->readNext(topic);
        if (!success) {
            co_await this->askOther(topic);
            co_await this->pause(retryPause);
            retryPause = this->progressOf(topic).complete ? std::min(2 * retryPause, LongestRetryPause) : RetryPause;
            continue;
        }
        retryPause = RetryPause;
        if (this->nextOffset(topic) != before) {
            co_await this->pause(BatchPause);
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
    const auto askedAt = monotonicNow();
    try {
        this->calls.add();
        const auto page = co_await this->store.read(name, from, LongestWait);
        this->progressOf(topic).askedAt = askedAt;
        this->take(topic, keyed(page.records), page.end, false);
        const auto news = this->cacheOf(topic).since(from);
        if (!page.records.empty() && news) {
            this->handlers.advanced(name, from, *news);
        }
    } catch (const Platform::HistoryGone &) {
        this->progressOf(topic).complete = false;
    } catch (const Platform::PlatformError &error) {
        failure = error.what();
    }
    this->answered(topic, failure.empty(), failure);
    co_return failure.empty();
}

bool StoreFollower::isFresh(TimePoint now) const
{
    const auto fresh = [now](const Progress &progress) {
        return progress.complete && progress.askedAt && now - *progress.askedAt <= FreshLimit;
    };
    return fresh(this->configurationProgress) && fresh(this->upstreamsProgress);
}

void StoreFollower::learnFrom(const Endpoint &other, std::uint64_t configurationEnd, std::uint64_t upstreamsEnd)
{
    const auto learn = [this, &other](Topic topic, std::uint64_t end) {
        auto &progress = this->progressOf(topic);
        if (end <= this->nextOffset(topic) || progress.fetching || this->stopped) {
            return;
        }
        progress.fetching = true;
        asio::co_spawn(
            this->context,
            [self = this->shared_from_this(), topic, other, end]() -> asio::awaitable<void> {
                co_await self->fetch(topic, other, end);
            },
            asio::detached);
    };
    learn(Topic::Configuration, configurationEnd);
    learn(Topic::Upstreams, upstreamsEnd);
}

asio::awaitable<void> StoreFollower::fetch(Topic topic, Endpoint other, std::uint64_t end)
{
    bool success = true;
    auto before = this->nextOffset(topic);
    do {
        before = this->nextOffset(topic);
        success = co_await this->readFrom(topic, other);
    } while (success && !this->stopped && this->nextOffset(topic) > before && this->nextOffset(topic) < end);
    this->progressOf(topic).fetching = false;
    logRelayed(topic, other, success);
}

asio::awaitable<bool> StoreFollower::readFrom(Topic topic, Endpoint other)
{
    // A full read is avoided where possible: the newest records of all upstreams take about 100 KB in a large
    // deployment, and many VMs ask the same VM at once.
    if (this->progressOf(topic).complete) {
        try {
            this->readFromOthers.add();
            const Platform::StoreClient client(other, OtherTimeout);
            const auto page = co_await client.read(std::string(nameOf(topic)), this->nextOffset(topic), Duration(0));
            this->take(topic, keyed(page.records), page.end, false);
            co_return true;
        } catch (const Platform::PlatformError &error) {
            logChange(LogLevel::Info,
                      "store_relay_incomplete topic=" + std::string(nameOf(topic)) + " from=" + toString(other)
                          + " reason=\"" + error.what() + "\"");
        }
    }
    co_return co_await this->readNewest(topic, other);
}

asio::awaitable<bool> StoreFollower::readNewest(Topic topic, Endpoint source)
{
    const bool fromStore = source == this->settings.endpoint;
    const std::string name(nameOf(topic));
    std::string failure;
    const auto askedAt = monotonicNow();
    try {
        (fromStore ? this->calls : this->readFromOthers).add();
        const Platform::StoreClient client(source, fromStore ? AnswerTimeout : OtherTimeout);
        const auto newest = co_await client.newest(name);
        this->take(topic, newest.records, newest.end, true);
        auto &progress = this->progressOf(topic);
        progress.complete = true;
        if (fromStore) {
            progress.askedAt = askedAt;
        }
    } catch (const Platform::PlatformError &error) {
        failure = error.what();
    }
    if (fromStore) {
        this->answered(topic, failure.empty(), failure);
    }
    co_return failure.empty();
}

asio::awaitable<void> StoreFollower::askOther(Topic topic)
{
    const auto others = this->handlers.others();
    if (others.empty() || this->stopped) {
        co_return;
    }
    const auto chosen = others[std::uniform_int_distribution<std::size_t>(0, others.size() - 1)(this->random)];
    const bool success = co_await this->readFrom(topic, chosen);
    logRelayed(topic, chosen, success);
}

void StoreFollower::logRelayed(Topic topic, const Endpoint &other, bool success)
{
    logChange(LogLevel::Info,
              "store_relayed topic=" + std::string(nameOf(topic)) + " from=" + toString(other)
                  + " success=" + (success ? "true" : "false"));
}

std::string_view StoreFollower::nameOf(Topic topic)
{
    return topic == Topic::Configuration ? Platform::ConfigurationTopic : Platform::UpstreamsTopic;
}

void StoreFollower::take(Topic topic,
                         const std::vector<Platform::KeyedRecord> &records,
                         std::uint64_t end,
                         bool complete)
{
    if (topic == Topic::Configuration) {
        this->takeConfiguration(records, end);
    } else {
        this->takeUpstreams(records, end, complete);
    }
}

void StoreFollower::takeConfiguration(const std::vector<Platform::KeyedRecord> &records, std::uint64_t end)
{
    this->configurationRecords.take(records, end);
    for (const auto &record : records) {
        if (record.key == Platform::ConfigurationKey) {
            this->apply(
                Discovery::ConfigurationRead{.at = monotonicNow(), .record = Platform::decodeConfiguration(record)});
        }
    }
}

void StoreFollower::takeUpstreams(const std::vector<Platform::KeyedRecord> &records, std::uint64_t end, bool complete)
{
    if (complete) {
        this->upstreamRecords.reset({.records = records, .end = end});
    } else {
        this->upstreamRecords.take(records, end);
    }
    Discovery::UpstreamsRead event{.at = monotonicNow(), .records = {}, .complete = complete, .end = end};
    for (const auto &record : records) {
        event.records.push_back(Platform::decodeUpstream(record));
    }
    this->apply(event);
}

void StoreFollower::apply(const Discovery::DirectoryEvent &event)
{
    for (const auto &change : this->known.apply(event)) {
        if (change.kind == Discovery::DirectoryChange::Kind::RecordUnreadable) {
            this->unreadable.add();
        }
        logChange(LogLevel::Info, lineOf(change));
    }
    if (this->known.changed()) {
        this->handlers.changed();
    }
    this->scheduleDeadline();
}

void StoreFollower::answered(Topic topic, bool success, const std::string &reason)
{
    const auto now = monotonicNow();
    if (success) {
        this->failingSince.reset();
        if (this->lost) {
            this->lost = false;
            logChange(LogLevel::Info, "dependency_regained name=store");
            this->apply(Discovery::StoreRegained{.at = now});
        }
        return;
    }
    this->failures.add();
    logChange(LogLevel::Warning,
              "store_call_failed topic=" + std::string(nameOf(topic)) + " reason=\"" + reason + "\"");
    if (!this->failingSince) {
        this->failingSince = now;
    }
    if (!this->lost && now - *this->failingSince >= LostAfter) {
        this->lost = true;
        logChange(LogLevel::Warning, "dependency_lost name=store");
        this->apply(Discovery::StoreLost{.at = now});
    }
}

void StoreFollower::scheduleDeadline()
{
    const auto next = this->known.nextDeadline();
    if (!next || this->stopped) {
        return;
    }
    this->deadlineTimer.expires_after(timeUntil(*next));
    this->deadlineTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->stopped) {
            self->apply(Discovery::TimePassed{.at = monotonicNow()});
        }
    });
}

const RecordCache &StoreFollower::cacheOf(Topic topic) const
{
    return topic == Topic::Configuration ? this->configurationRecords : this->upstreamRecords;
}

void StoreFollower::take(const Mesh::StoreRecords &message)
{
    for (const auto topic : {Topic::Configuration, Topic::Upstreams}) {
        if (message.topic != nameOf(topic) || !this->progressOf(topic).complete || this->stopped) {
            continue;
        }
        if (const auto news = followingRecords(message, this->nextOffset(topic))) {
            this->pushed.add();
            this->take(topic, keyed(news->records), news->end, false);
        }
    }
}

std::optional<std::string> StoreFollower::page(std::string_view target) const
{
    const auto wanted = Platform::pageRequest(target);
    const bool isConfiguration
        = wanted && wanted->topic == Platform::ConfigurationTopic && this->configurationProgress.complete;
    const bool isUpstreams = wanted && wanted->topic == Platform::UpstreamsTopic && this->upstreamsProgress.complete;
    if (!isConfiguration && !isUpstreams) {
        return std::nullopt;
    }
    const auto &records = this->cacheOf(isConfiguration ? Topic::Configuration : Topic::Upstreams);
    if (!wanted->from) {
        return Platform::newestPage(records.newest());
    }
    auto page = records.since(*wanted->from);
    if (!page) {
        return std::nullopt;
    }
    limitPage(*page, MostRelayedBytes);
    return Platform::readPage(*page);
}

} // namespace Verbenadock::Fleet
