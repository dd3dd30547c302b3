#ifndef VERBENADOCK_DISCOVERY_DIRECTORY_H
#define VERBENADOCK_DISCOVERY_DIRECTORY_H

#include "verbenadock/base/storeposition.h"
#include "verbenadock/base/time.h"
#include "verbenadock/core/event.h"
#include "verbenadock/discovery/records.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Discovery {

/// Name of the bundle that holds the operators' configuration in the core.
inline constexpr std::string_view PlatformBundle = "platform";

/// Records that were read from the upstreams' topic.
struct UpstreamsRead
{
    TimePoint at;
    std::vector<UpstreamRecord> records;
    /// Whether the records are the newest of all keys, so that missing keys have been removed.
    bool complete = false;
    /// Position up to which the topic was read. The first page of an era has to be complete.
    StorePosition end;

    bool operator==(const UpstreamsRead &) const = default;
};

/// Records that were read from the configuration's topic.
struct ConfigurationRead
{
    TimePoint at;
    /// Without the records of other keys.
    std::vector<ConfigurationRecord> records;
    /// Position up to which the topic was read.
    StorePosition end;

    bool operator==(const ConfigurationRead &) const = default;
};

/// The store has not answered for a while.
struct StoreLost
{
    TimePoint at;

    auto operator<=>(const StoreLost &) const = default;
};

struct StoreRecovered
{
    TimePoint at;

    auto operator<=>(const StoreRecovered &) const = default;
};

/// The time returned by Directory::nextDeadline() has been reached.
struct DeadlineReached
{
    TimePoint at;

    auto operator<=>(const DeadlineReached &) const = default;
};

using DirectoryEvent = std::variant<UpstreamsRead, ConfigurationRead, StoreLost, StoreRecovered, DeadlineReached>;

/// A change or refusal by the directory, for the log.
struct DirectoryChange
{
    enum class Kind {
        ConfigurationApplied,
        ConfigurationRefused,
        UpstreamAdded,
        UpstreamReplaced,
        UpstreamDraining,
        UpstreamRemoved,
        /// A removal soon after a store outage is delayed, because live upstreams register again.
        RemovalHeld,
        RecordUnreadable,
        /// A page ends before the position that is known already. Reported for the first of successive ones.
        PageIgnored,
        /// The store returned from an older copy.
        EraBegun,
        /// The store lists an entry that is older than the known one, which is kept for now.
        OutdatedEntryKept,
    };

    Kind kind = Kind::RecordUnreadable;
    /// Instance of the upstream; empty for the configuration.
    std::string subject;
    std::uint64_t offset = 0;
    std::uint64_t version = 0;
    std::string reason;

    auto operator<=>(const DirectoryChange &) const = default;
};

std::string_view toString(DirectoryChange::Kind kind);

/// Merges the operators' configuration and the registered upstreams into the configuration of the core. Older records
/// never replace newer ones.
///
/// Usage: apply() each event and log the changes; when changed() is true, pass configuration() to the core.
class Directory
{
public:
    explicit Directory(RetryAllowance retryAllowance = {});

    std::vector<DirectoryChange> apply(const DirectoryEvent &event);

    /// Whether configuration() would differ from its previous result.
    bool changed() const;

    /// Null until both a configuration and the list of upstreams were read.
    std::shared_ptr<const Core::Configuration> configuration();

    const std::optional<OperatorConfiguration> &operatorConfiguration() const;

    /// Position from which the upstreams' topic has to be read; empty before the first complete read.
    std::optional<StorePosition> nextUpstreamPosition() const;
    /// Position from which the configuration's topic has to be read.
    StorePosition nextConfigurationPosition() const;

    std::optional<TimePoint> nextDeadline() const;

private:
    /// Identifies an entry among those that an upstream wrote.
    struct Statement
    {
        std::int64_t startedAt = 0;
        std::uint64_t sequence = 0;

        auto operator<=>(const Statement &) const = default;
    };

    /// An entry of a restored copy that is no newer than what is known.
    struct OutdatedEntry
    {
        UpstreamEntry entry;
        std::uint64_t offset = 0;
        /// Time at which it is used if the store still lists it.
        TimePoint useAt;
    };

    struct TrackedUpstream
    {
        /// Position after the newest known record, or after the pages in which the key was missing.
        StorePosition next;
        std::optional<UpstreamEntry> entry;
        /// Time at which a held removal takes effect.
        std::optional<TimePoint> removeAt;
        /// The last known entry, also after its removal.
        std::optional<Statement> lastStatement;
        /// The last known entry said that its process leaves.
        bool wasDraining = false;
        /// Nothing newer than the last known entry was read since the store returned from a copy.
        bool isFromEarlierEra = false;
        std::optional<OutdatedEntry> outdated;
    };

    void handle(const UpstreamsRead &event);
    void handle(const ConfigurationRead &event);
    void handle(const StoreLost &event);
    void handle(const StoreRecovered &event);
    void handle(const DeadlineReached &event);
    void applyConfiguration(const ConfigurationRecord &record);
    void beginEra(const StorePosition &end);
    void applyRecord(const UpstreamRecord &record, std::uint64_t era, TimePoint now);
    static bool isOutdated(const TrackedUpstream &tracked, const UpstreamEntry &entry);
    void applyEntry(TrackedUpstream &tracked, const std::string &key, std::uint64_t offset, const UpstreamEntry &entry);
    void removeUpstream(TrackedUpstream &tracked, const std::string &key, const StorePosition &next, TimePoint now);
    void addChange(DirectoryChange::Kind kind,
                   const std::string &subject,
                   std::uint64_t offset,
                   std::string reason = {});

    RetryAllowance allowance;
    std::map<std::string, TrackedUpstream> upstreams;
    std::optional<StorePosition> upstreamsEnd;
    std::optional<OperatorConfiguration> operatorSettings;
    /// Position of the newest configuration record.
    std::optional<StorePosition> configurationPosition;
    StorePosition configurationEnd;
    std::optional<TimePoint> storeLostAt;
    /// End of the last outage that was long enough for registrations to expire.
    std::optional<TimePoint> storeRecoveredAt;
    bool isChanged = false;
    /// The last page was ignored.
    bool ignoresPages = false;
    std::uint64_t revision = 0;
    std::vector<DirectoryChange> changes;
};

} // namespace Verbenadock::Discovery

#endif
