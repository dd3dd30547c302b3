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
    /// Keys in the table.
    std::size_t keyLimit = 200000;
    /// Sum of the stored answers.
    std::size_t answerBytesLimit = 32 * 1024 * 1024;
    /// The longest answer that is stored.
    std::size_t answerBytes = 64 * 1024;
    /// Time for earlier owners to reply.
    Duration fenceTimeout = std::chrono::seconds(2);
    /// Time for a newer epoch to arrive after a peer named it.
    Duration epochTimeout = std::chrono::seconds(1);
    /// Time for the hand-over after the last running key ended.
    Duration handOverTimeout = std::chrono::seconds(5);
    /// Difference between the clocks of callers and VMs.
    std::chrono::milliseconds clockDifference = std::chrono::seconds(2);

    auto operator<=>(const KeySettings &) const = default;
};

/// Decides for one entry what happens to requests with an idempotency key. It does no I/O and reads no clock.
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

    /// No key that started under an older epoch still runs here, and none will start. Peers are told in messages.
    EpochNumber confirmedEpoch() const;

    /// The whole state but for stored answers, as JSON text.
    std::string dump(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Verbenadock::Keys

#endif
