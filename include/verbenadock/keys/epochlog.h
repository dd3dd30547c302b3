#ifndef VERBENADOCK_KEYS_EPOCHLOG_H
#define VERBENADOCK_KEYS_EPOCHLOG_H

#include "verbenadock/base/time.h"
#include "verbenadock/keys/epoch.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Verbenadock::Keys {

/// An epoch with the wall-clock time at which the agent had read it; the record itself is at least as old.
struct KnownEpoch
{
    Epoch epoch;
    WallTime knownBy{};

    auto operator<=>(const KnownEpoch &) const = default;
};

enum class EpochResult {
    Accepted,
    /// Replaces an epoch that is not the newest one any more, or repeats a record.
    Late,
    /// Not an epoch record, an epoch that does not follow the one it replaces, or a process older than a known one.
    Broken,
};

/// Folds the records of the stream key-epochs. The first record that replaces the newest epoch wins.
///
/// Usage: apply() each record in the order of offsets; give epochs() to the entry after each Accepted.
class EpochLog
{
public:
    explicit EpochLog(Duration epochWindow = std::chrono::minutes(10));

    /// Applies one record. The first epoch of a stream whose beginning is no longer retained is accepted as it is.
    EpochResult apply(TimePoint now, WallTime wall, std::string_view record);

    /// Drops the epochs that were replaced longer than the window ago; the newest one always stays.
    void prune(TimePoint now);

    /// Oldest first.
    std::vector<KnownEpoch> epochs() const;
    std::optional<Epoch> newest() const;

    std::uint64_t lateRecords() const;
    std::uint64_t brokenRecords() const;

private:
    struct Held
    {
        KnownEpoch known;
        TimePoint readAt{};
    };

    EpochResult judge(const Epoch &epoch) const;

    Duration window;
    std::vector<Held> held;
    std::uint64_t late = 0;
    std::uint64_t broken = 0;
};

} // namespace Verbenadock::Keys

#endif
