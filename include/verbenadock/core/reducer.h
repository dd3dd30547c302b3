#ifndef VERBENADOCK_CORE_REDUCER_H
#define VERBENADOCK_CORE_REDUCER_H

#include "verbenadock/core/effect.h"
#include "verbenadock/core/event.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Verbenadock::Core {

/// Settings of the reducer that are the entry's own, not the bundle's.
struct ReducerSettings
{
    /// Data centre of this entry; upstreams there are preferred.
    std::string dataCentre;
    /// Seed of the choice among upstreams; entries use different ones.
    std::uint64_t seed = 1;
    /// Requests that the entry holds at the same time, queued ones included.
    std::size_t requestLimit = 10000;

    auto operator<=>(const ReducerSettings &) const = default;
};

/// Decides for one entry what happens to each request. It does no I/O and reads no clock.
///
/// Usage: feed each event to apply() and carry out the effects in order; send TimerExpired at nextDeadline().
class Reducer
{
public:
    explicit Reducer(ReducerSettings settings);
    ~Reducer();
    Reducer(Reducer &&) noexcept;
    Reducer &operator=(Reducer &&) noexcept;

    Effects apply(const Event &event);

    std::optional<TimePoint> nextDeadline() const;

    /// Whether the balancer may send callers: a configuration is in force and no shutdown was requested.
    bool ready() const;

    /// The whole state as JSON text, with versions and ages.
    std::string dump(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Verbenadock::Core

#endif
