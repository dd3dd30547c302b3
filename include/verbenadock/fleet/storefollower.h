#ifndef VERBENADOCK_FLEET_STOREFOLLOWER_H
#define VERBENADOCK_FLEET_STOREFOLLOWER_H

#include "verbenadock/discovery/directory.h"
#include "verbenadock/fleet/configurationprogress.h"
#include "verbenadock/fleet/recordcache.h"
#include "verbenadock/fleet/recordpatches.h"
#include "verbenadock/fleet/servingbudget.h"
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

/// Reads the operators' configuration and the registered upstreams into a Directory. The source is the platform's
/// store, or other VMs while the store does not answer this VM.
class StoreFollower : public std::enable_shared_from_this<StoreFollower>
{
public:
    struct Handlers
    {
        /// The content of the directory changed.
        std::function<void()> directoryChanged;
        /// Endpoints of other VMs that serve store pages.
        std::function<std::vector<Endpoint>()> peerEndpoints;
        /// Whether this VM has to read the store itself.
        std::function<bool()> readsStore;
        /// The store returned new records of a topic, starting at offset `from`.
        std::function<void(std::string_view topic, std::uint64_t from, const Platform::StoredPage &)> recordsRead;
        /// The store returned a new configuration that is too long for a datagram. Other VMs that have the one before
        /// need only the patch. Called before recordsRead.
        std::function<void(const Mesh::StoreRecordPatch &)> configurationPatched;
        /// The result of isFresh() may have changed.
        std::function<void()> freshnessChanged;
        /// The store returned from an older copy and may have lost what this VM wrote there.
        std::function<void(std::uint64_t era)> eraBegun;
        /// The store answered that this VM has the newest configuration.
        std::function<void()> configurationConfirmed = {};
        /// This VM heard of a configuration that it does not have (true), or has all that it heard of again (false).
        std::function<void(bool superseded)> configurationSuperseded = {};
    };

    StoreFollower(boost::asio::io_context &loop,
                  const Settings::StoreSettings &storeSettings,
                  Telemetry::MetricsRegistry &registry,
                  Handlers callbacks);

    void start();
    void stop();

    Discovery::Directory &directory();

    /// Whether the store answered the last calls for all topics and no answer is overdue, so that this VM has the
    /// newest records.
    bool isFresh(TimePoint now) const;

    /// Notes the positions up to which another VM has read, and fetches missing records from that VM.
    void catchUpFrom(const Endpoint &peer, const StorePosition &configurationEnd, const StorePosition &upstreamsEnd);

    /// Applies records that another VM sent, if they continue the records of this VM without a gap.
    void applyRecords(const Mesh::StoreRecords &message);

    /// Applies a configuration that another VM sent, if this VM has the one against which it was compressed.
    void applyPatch(const Mesh::StoreRecordPatch &patch);

    /// Serves a page of records to another VM. Empty when the target names no topic or this VM lacks the records.
    std::optional<Net::AdminPage> page(std::string_view target);

private:
    enum class Topic {
        Configuration,
        Upstreams,
    };

    /// Time for the beginning of a page from another VM, and for each pause in it.
    static constexpr Duration PeerTimeout = std::chrono::milliseconds(300);
    /// Time for a page from another VM once it has begun. After it the store is asked, and the configuration still has
    /// to be in force in time.
    static constexpr Duration PeerBodyLimit = std::chrono::milliseconds(500);

    /// Result of a request for a patch.
    enum class PatchResult {
        Applied,
        /// The other VM has no patch that helps, or is of a release without patches.
        Unusable,
        /// The other VM does not answer, or serves too many others.
        Unavailable,
    };

    /// State of reading one topic.
    struct Progress
    {
        /// The newest records of all keys were read at least once.
        bool complete = false;
        /// The newest records have to be read from the store, since it no longer has the next ones.
        bool restartsFromNewest = false;
        /// A page is being fetched from another VM.
        bool fetching = false;
        /// End of the last records that were fetched from another VM. If not all of them arrived, the store is read.
        StorePosition missedEnd;
        /// The store answered the last call that ended, and this VM has read on since.
        bool answered = false;
        /// Time by which the store should have answered the running call; empty without one.
        std::optional<TimePoint> overdueAt;
        /// Runs while the topic is not read from the store. Cancelled when it has to be read at once.
        boost::asio::steady_timer *idleTimer = nullptr;
    };

    boost::asio::awaitable<void> follow(Topic topic);
    boost::asio::awaitable<bool> readNext(Topic topic);
    boost::asio::awaitable<void> fetchUntil(Topic topic, Endpoint peer, StorePosition end);
    StorePosition nextPosition(Topic topic) const;
    /// Whether this VM reads the topic from the store now, for itself or for others.
    bool readsStore(Topic topic) const;
    Progress &progressOf(Topic topic);
    const Progress &progressOf(Topic topic) const;
    void applyRecords(Topic topic,
                      const std::vector<Platform::KeyedRecord> &records,
                      const StorePosition &end,
                      bool complete,
                      RecordSource source);
    boost::asio::awaitable<bool> readNewest(Topic topic, Endpoint source);
    /// Reads the missing records from another VM.
    boost::asio::awaitable<bool> readFromPeer(Topic topic, Endpoint peer);
    boost::asio::awaitable<void> readFromRandomPeer(Topic topic);
    boost::asio::awaitable<PatchResult> readPatch(Endpoint peer);
    /// Whether this VM has the configuration of the patch now, or a newer one.
    bool applyPatch(const Mesh::StoreRecordPatch &patch, RecordSource source);
    std::optional<Net::AdminPage> patchPage(const PatchRequest &request);
    /// Position of the newest configuration record of this VM; empty without one.
    std::optional<StorePosition> configurationPosition() const;
    /// Reports a configuration that is newer than the one at `previous`, if it is too long for a datagram.
    void announceConfiguration(const std::optional<StorePosition> &previous);
    /// Notes the end of the configuration's topic that the store or another VM stated.
    void noteConfigurationEnd(const StorePosition &end);
    /// Whether older records than the newest one are missing, too, which have been replaced.
    bool lacksReplacedRecords(Topic topic) const;
    boost::asio::awaitable<void> sleepFor(Duration duration);
    /// Waits until it has to be checked again whether this VM reads the topic from the store.
    boost::asio::awaitable<void> idle(Topic topic);

    void applyConfiguration(const std::vector<Platform::KeyedRecord> &records,
                            const StorePosition &end,
                            RecordSource source);
    void applyUpstreams(const std::vector<Platform::KeyedRecord> &records, const StorePosition &end, bool complete);
    /// Applies a page that was read from an offset on; it may end before the end of the topic.
    void applyPage(Topic topic, std::uint64_t from, const Platform::StoredPage &page, RecordSource source);
    void apply(const Discovery::DirectoryEvent &event);
    RecordCache &cacheOf(Topic topic);
    const RecordCache &cacheOf(Topic topic) const;
    static std::string_view nameOf(Topic topic);
    /// Logs the offsets before and after reading from another VM.
    void logRelayed(Topic topic, const Endpoint &peer, const StorePosition &before, bool success) const;
    /// Reports that the configuration is the newest one, if the store answered with this end of its topic.
    void confirmConfiguration(Topic topic, const StorePosition &storeEnd) const;
    /// Starts the time of a call; the timer has to live until the call ends.
    void beginStoreCall(Topic topic, Duration wait, boost::asio::steady_timer &overdueTimer);
    /// Notes that the answer of the running call has begun, and starts the time for the rest of it.
    void noteAnswerBegun(Topic topic, boost::asio::steady_timer &overdueTimer);
    void setOverdueTime(Topic topic, Duration limit, boost::asio::steady_timer &overdueTimer);
    /// Notes the result of a call; the failure is empty for an answer.
    void endStoreCall(Topic topic, const std::string &failure);
    void scheduleDeadline();

    boost::asio::io_context &context;
    Settings::StoreSettings settings;
    Handlers handlers;
    Platform::StoreClient store;
    Discovery::Directory currentDirectory;
    RecordCache configurationRecords;
    RecordCache upstreamRecords;
    RecordPatches configurationPatches;
    ServingBudget patchBudget;
    boost::asio::steady_timer deadlineTimer;
    std::mt19937_64 random;
    Progress configurationProgress;
    Progress upstreamsProgress;
    ConfigurationProgress newestConfiguration;
    /// Time of the first of the current failures; empty while the store answers.
    std::optional<TimePoint> failingSince;
    bool storeLost = false;
    bool stopped = false;
    Telemetry::Counter &storeCalls;
    Telemetry::Counter &storeFailures;
    Telemetry::Counter &pagesFromPeers;
    Telemetry::Counter &pushedMessages;
    Telemetry::Counter &unreadableRecords;
};

} // namespace Verbenadock::Fleet

#endif
