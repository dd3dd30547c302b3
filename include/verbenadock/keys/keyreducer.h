#ifndef VERBENADOCK_KEYS_KEYREDUCER_H
#define VERBENADOCK_KEYS_KEYREDUCER_H

#include "verbenadock/keys/effect.h"
#include "verbenadock/keys/event.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace Verbenadock::Keys {

struct KeySettings
{
    /// This process.
    MemberId self;
    Duration window = std::chrono::minutes(10);
    /// Maximum number of keys in the table.
    std::size_t keyLimit = 200000;
    /// Maximum total size of the stored answers, in bytes.
    std::size_t answerBytesLimit = 32 * 1024 * 1024;
    /// Maximum size of one stored answer, in bytes.
    std::size_t answerBytes = 64 * 1024;
    /// Time for earlier owners to reply.
    Duration fenceTimeout = std::chrono::seconds(2);
    /// Time for a newer epoch to arrive after a peer named it.
    Duration epochTimeout = std::chrono::seconds(1);
    /// Time for the hand-over after the last running key ended.
    Duration handOverTimeout = std::chrono::seconds(5);
    /// Maximum difference between the clocks of callers and VMs.
    std::chrono::milliseconds clockDifference = std::chrono::seconds(2);

    auto operator<=>(const KeySettings &) const = default;
};

/// Decides how one entry handles requests with an idempotency key. Does no I/O and reads no clock.
///
/// Usage: feed each event to apply() and carry out the effects in order; send TimerExpired at nextDeadline().
class KeyReducer
{
public:
    explicit KeyReducer(KeySettings settings);
    ~KeyReducer();
    KeyReducer(KeyReducer &&) noexcept;
    KeyReducer &operator=(KeyReducer &&) noexcept;

    Effects apply(const Event &event);

    std::optional<TimePoint> nextDeadline() const;

    /// The epoch that this entry confirms to peers: no key that started under an older epoch runs here or will start.
    EpochNumber confirmedEpoch() const;

    /// The whole state without stored answers, as JSON text.
    std::string dump(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Verbenadock::Keys

#endif
