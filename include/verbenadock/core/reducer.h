#ifndef VERBENADOCK_CORE_REDUCER_H
#define VERBENADOCK_CORE_REDUCER_H

#include "verbenadock/core/effect.h"
#include "verbenadock/core/event.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

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

/// How a request with an idempotency key is handled, when its route is not idempotent.
struct KeyScope
{
    /// Keys of different bundles are different.
    std::string bundle;
    /// Larger bodies are not kept, so that the work of two requests could not be compared.
    std::size_t replayBytes = 0;

    auto operator<=>(const KeyScope &) const = default;
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

    /// Nothing without a route to a non-idempotent service in the configuration in force.
    std::optional<KeyScope> keyScope(std::string_view host, std::string_view method, std::string_view target) const;

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
