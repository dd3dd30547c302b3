#ifndef VERBENADOCK_DISCOVERY_DIRECTORY_H
#define VERBENADOCK_DISCOVERY_DIRECTORY_H

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

/// Bundle under which the operators' configuration is known to the core.
inline constexpr std::string_view PlatformBundle = "platform";

/// Records of the upstreams' topic from some offset on.
struct UpstreamsRead
{
    TimePoint at;
    std::vector<UpstreamRecord> records;
    /// Whether the records are the newest of all keys, so that a key that is missing was dropped.
    bool complete = false;
    /// Offset that the next record will get.
    std::uint64_t end = 0;

    bool operator==(const UpstreamsRead &) const = default;
};

/// A record of the configuration.
struct ConfigurationRead
{
    TimePoint at;
    ConfigurationRecord record;

    bool operator==(const ConfigurationRead &) const = default;
};

/// The store gave no answer for a while.
struct StoreLost
{
    TimePoint at;

    auto operator<=>(const StoreLost &) const = default;
};

struct StoreRegained
{
    TimePoint at;

    auto operator<=>(const StoreRegained &) const = default;
};

/// The time that Directory::nextDeadline() returned has come.
struct TimePassed
{
    TimePoint at;

    auto operator<=>(const TimePassed &) const = default;
};

using DirectoryEvent = std::variant<UpstreamsRead, ConfigurationRead, StoreLost, StoreRegained, TimePassed>;

/// One decision of the directory, for the log.
struct DirectoryChange
{
    enum class Kind {
        ConfigurationTaken,
        ConfigurationRefused,
        UpstreamAdded,
        UpstreamReplaced,
        UpstreamDraining,
        UpstreamRemoved,
        /// A removal right after an outage of the store waits, because live upstreams register again.
        RemovalHeld,
        RecordUnreadable,
    };

    Kind kind = Kind::RecordUnreadable;
    /// The upstream's instance, or empty.
    std::string subject;
    std::uint64_t offset = 0;
    std::uint64_t version = 0;
    std::string reason;

    auto operator<=>(const DirectoryChange &) const = default;
};

std::string_view toString(DirectoryChange::Kind kind);

/// Merges the operators' configuration with the upstreams that registered into what the core serves. Neither ever goes
/// back to an older record.
///
/// Usage: apply() each event and log the changes; when changed() is true, pass configuration() to the core.
class Directory
{
public:
    explicit Directory(RetryAllowance granted = {});

    std::vector<DirectoryChange> apply(const DirectoryEvent &event);

    /// Whether configuration() differs from the one returned before.
    bool changed() const;

    /// Null until a configuration and the list of upstreams were read.
    std::shared_ptr<const Core::Configuration> configuration();

    const std::optional<OperatorConfiguration> &operatorConfiguration() const;

    /// Offset from which the upstreams' records have to be read next; nothing before the first complete read.
    std::optional<std::uint64_t> nextUpstreamOffset() const;
    /// Offset after the newest configuration record.
    std::uint64_t nextConfigurationOffset() const;

    std::optional<TimePoint> nextDeadline() const;

private:
    struct Known
    {
        std::uint64_t offset = 0;
        std::optional<UpstreamEntry> entry;
        /// A held removal takes effect at this time.
        std::optional<TimePoint> removeAt;
    };

    void on(const UpstreamsRead &event);
    void on(const ConfigurationRead &event);
    void on(const StoreLost &event);
    void on(const StoreRegained &event);
    void on(const TimePassed &event);
    void take(const UpstreamRecord &record, TimePoint now);
    void takeEntry(Known &known, const UpstreamRecord &record, const UpstreamEntry &entry);
    void remove(Known &known, const std::string &key, std::uint64_t offset, TimePoint now);
    void note(DirectoryChange::Kind kind, const std::string &subject, std::uint64_t offset, std::string reason = {});

    RetryAllowance allowance;
    std::map<std::string, Known> upstreams;
    std::optional<std::uint64_t> upstreamsEnd;
    std::optional<OperatorConfiguration> operators;
    std::uint64_t configurationEnd = 0;
    std::optional<TimePoint> storeLostAt;
    /// End of the last outage in which entries may have lapsed.
    std::optional<TimePoint> storeRegainedAt;
    bool isChanged = false;
    std::uint64_t revision = 0;
    std::vector<DirectoryChange> changes;
};

} // namespace Verbenadock::Discovery

#endif
