#ifndef VERBENADOCK_KEYS_EPOCHLOG_H
#define VERBENADOCK_KEYS_EPOCHLOG_H

#include "verbenadock/base/time.h"
#include "verbenadock/keys/epoch.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Verbenadock::Keys {

/// An epoch with the wall-clock time at which the agent had read its record; the record may be older.
struct KnownEpoch
{
    Epoch epoch;
    WallTime knownBy{};

    auto operator<=>(const KnownEpoch &) const = default;
};

enum class EpochResult {
    Accepted,
    /// Replaces an epoch that is no longer the newest, or repeats a record.
    Late,
    /// Malformed, not the successor of the epoch that it replaces, or with a lower incarnation of a VM than before.
    Broken,
};

/// Folds the records of the stream key-epochs. The first record that replaces the newest epoch wins.
///
/// Usage: apply() each record in the order of offsets; pass epochs() to the entry after each Accepted.
class EpochLog
{
public:
    explicit EpochLog(Duration epochWindow = std::chrono::minutes(10));

    /// Applies one record. The first epoch is accepted whichever epoch it replaces, because the beginning of the stream
    /// may no longer be retained.
    EpochResult apply(TimePoint now, WallTime wall, std::string_view record);

    /// Removes epochs that were replaced longer ago than the window; the newest epoch is always kept.
    void prune(TimePoint now);

    /// Oldest first.
    std::vector<KnownEpoch> epochs() const;
    std::optional<Epoch> newest() const;

    std::uint64_t lateRecords() const;
    std::uint64_t brokenRecords() const;

private:
    struct LogEntry
    {
        KnownEpoch known;
        TimePoint readAt{};
    };

    EpochResult classify(const Epoch &epoch) const;

    Duration window;
    std::vector<LogEntry> entries;
    std::uint64_t lateCount = 0;
    std::uint64_t brokenCount = 0;
};

} // namespace Verbenadock::Keys

#endif
