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

/// Settings of the entry, independent of the bundles.
struct ReducerSettings
{
    /// Data centre of this entry; upstreams there are preferred.
    std::string dataCentre;
    /// Seed of the random choices; different for each entry.
    std::uint64_t seed = 1;
    /// Limit of open requests, queued ones included.
    std::size_t requestLimit = 10000;
    /// Time since the last confirmation of the configuration after which requests that need a key are rejected. When
    /// empty, the configuration in force is used whatever its age.
    std::optional<Duration> revocation = std::nullopt;
    /// Whether the source of the configuration confirms it (ConfigurationConfirmed). A request without a route is then
    /// told that no such route exists only while the configuration in force is known to be the newest one.
    bool confirmsConfiguration = false;

    auto operator<=>(const ReducerSettings &) const = default;
};

/// Handling of an idempotency key on a route that is not idempotent.
struct KeyScope
{
    /// Namespace of the key.
    std::string bundle;
    /// Largest body in bytes that is buffered; two requests with larger bodies cannot be compared.
    std::size_t replayBytes = 0;

    auto operator<=>(const KeyScope &) const = default;
};

/// A request of which an operator asks where it would go.
struct RouteQuery
{
    std::string host;
    std::string path = "/";
    std::string method = "GET";
    /// Name of the customer whose key it would bear.
    std::optional<std::string> customer = std::nullopt;

    auto operator<=>(const RouteQuery &) const = default;
};

/// Decides how one entry handles each request. Performs no I/O and reads no clock.
///
/// Usage: pass each event to apply() and execute the effects in order; apply TimerExpired at nextDeadline().
class Reducer
{
public:
    explicit Reducer(ReducerSettings settings);
    ~Reducer();
    Reducer(Reducer &&) noexcept;
    Reducer &operator=(Reducer &&) noexcept;

    Effects apply(const Event &event);

    std::optional<TimePoint> nextDeadline() const;

    /// Empty unless the configuration has a route for the request that is not idempotent.
    std::optional<KeyScope> keyScope(std::string_view host, std::string_view method, std::string_view target) const;

    /// Whether the configuration has an idempotent route for the request.
    bool isIdempotent(std::string_view host, std::string_view method, std::string_view target) const;

    /// Whether the request may still be sent to the upstream of a running attempt. The upstream may have left, or may
    /// have been ejected, since the attempt started. If not, report the attempt as failed with nothing written.
    bool maySend(RequestId request, AttemptId attempt, TimePoint now) const;

    /// Whether the entry accepts requests: a configuration is in force and no shutdown was requested.
    bool ready() const;

    /// State as JSON text, with versions, and ages in milliseconds.
    std::string dump(TimePoint now) const;

    /// Where a request would go now and why, as JSON text. Changes no state and uses up no random number. The limits
    /// of single callers and the caps of customers are not applied.
    std::string explain(const RouteQuery &query, TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Verbenadock::Core

#endif
