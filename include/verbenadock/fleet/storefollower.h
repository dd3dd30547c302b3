#ifndef VERBENADOCK_FLEET_STOREFOLLOWER_H
#define VERBENADOCK_FLEET_STOREFOLLOWER_H

#include "verbenadock/discovery/directory.h"
#include "verbenadock/fleet/recordcache.h"
#include "verbenadock/mesh/message.h"
#include "verbenadock/platform/storeclient.h"
#include "verbenadock/settings/settings.h"
#include "verbenadock/telemetry/metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Fleet {

/// Reads the operators' configuration and the upstreams' entries: from the store, or from other VMs while the store
/// does not answer this one. Feeds a Directory.
class StoreFollower : public std::enable_shared_from_this<StoreFollower>
{
public:
    struct Handlers
    {
        /// The directory has something new.
        std::function<void()> changed;
        /// Endpoints of other VMs that can be asked.
        std::function<std::vector<Endpoint>()> others;
        /// Whether this VM has to read the store itself.
        std::function<bool()> reads;
        /// New records of a topic, from that offset on, came from the store.
        std::function<void(std::string_view topic, std::uint64_t from, const Platform::StoredPage &)> advanced;
    };

    StoreFollower(boost::asio::io_context &loop,
                  const Settings::StoreSettings &given,
                  Telemetry::MetricsRegistry &registry,
                  Handlers toOwner);

    void start();
    void stop();

    Discovery::Directory &directory();

    /// Whether the store answered lately, so that this VM knows the newest records.
    bool isFresh(TimePoint now) const;

    /// Another VM has read up to these offsets; what is missing here is read from it.
    void learnFrom(const Endpoint &other, std::uint64_t configurationEnd, std::uint64_t upstreamsEnd);

    /// Another VM sent new records of a topic. They are taken when they follow on those that are known.
    void take(const Mesh::StoreRecords &message);

    /// The newest records of a topic, for another VM.
    std::optional<std::string> page(std::string_view target) const;

private:
    enum class Topic {
        Configuration,
        Upstreams,
    };

    /// What is known about the reading of one topic.
    struct Progress
    {
        /// The newest records were read once.
        bool complete = false;
        /// A page is being read from another VM.
        bool fetching = false;
        /// When the call that the store answered last was sent.
        std::optional<TimePoint> askedAt;
    };

    boost::asio::awaitable<void> follow(Topic topic);
    boost::asio::awaitable<bool> readNext(Topic topic);
    boost::asio::awaitable<void> fetch(Topic topic, Endpoint other, std::uint64_t end);
    std::uint64_t nextOffset(Topic topic) const;
    Progress &progressOf(Topic topic);
    void take(Topic topic, const std::vector<Platform::KeyedRecord> &records, std::uint64_t end, bool complete);
    boost::asio::awaitable<bool> readNewest(Topic topic, Endpoint source);
    /// Reads what is missing from another VM.
    boost::asio::awaitable<bool> readFrom(Topic topic, Endpoint other);
    boost::asio::awaitable<void> askOther(Topic topic);
    boost::asio::awaitable<void> pause(Duration duration);

    void takeConfiguration(const std::vector<Platform::KeyedRecord> &records, std::uint64_t end);
    void takeUpstreams(const std::vector<Platform::KeyedRecord> &records, std::uint64_t end, bool complete);
    void apply(const Discovery::DirectoryEvent &event);
    const RecordCache &cacheOf(Topic topic) const;
    static std::string_view nameOf(Topic topic);
    static void logRelayed(Topic topic, const Endpoint &other, bool success);
    void answered(Topic topic, bool success, const std::string &reason);
    void scheduleDeadline();

    boost::asio::io_context &context;
    Settings::StoreSettings settings;
    Handlers handlers;
    Platform::StoreClient store;
    Discovery::Directory known;
    RecordCache configurationRecords;
    RecordCache upstreamRecords;
    boost::asio::steady_timer deadlineTimer;
    std::mt19937_64 random;
    Progress configurationProgress;
    Progress upstreamsProgress;
    /// When the store first failed to answer; nothing while it answers.
    std::optional<TimePoint> failingSince;
    bool lost = false;
    bool stopped = false;
    Telemetry::Counter &calls;
    Telemetry::Counter &failures;
    Telemetry::Counter &readFromOthers;
    Telemetry::Counter &pushed;
    Telemetry::Counter &unreadable;
};

} // namespace Verbenadock::Fleet

#endif
