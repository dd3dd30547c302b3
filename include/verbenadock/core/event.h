#ifndef VERBENADOCK_CORE_EVENT_H
#define VERBENADOCK_CORE_EVENT_H

#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/bundle/bundle.h"
#include "verbenadock/health/sample.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Verbenadock::Core {

/// All bundles in force at one moment. The revision rises with each change.
struct Configuration
{
    std::uint64_t revision = 0;
    std::vector<Bundles::Bundle> bundles;

    auto operator<=>(const Configuration &) const = default;
};

/// A caller's request whose head was read and checked.
struct RequestArrived
{
    TimePoint at;
    RequestId request = 0;
    std::string host;
    std::string method;
    /// The request target, query included.
    std::string target;
    /// The X-Caller-Id header, or the peer address when there is none.
    std::string caller;
    std::optional<std::string> idempotencyKey;
    /// Length of the body in bytes; absent for a chunked body.
    std::optional<std::uint64_t> bodyBytes;
    /// How long the caller will wait; the service's timeout alone counts when the caller does not say.
    std::optional<Duration> timeLeft;

    auto operator<=>(const RequestArrived &) const = default;
};

/// The head of an answer that is too long to be held back, or of unknown length.
struct ResponseHeadReceived
{
    TimePoint at;
    RequestId request = 0;
    AttemptId attempt = 0;
    unsigned status = 0;
    bool draining = false;

    auto operator<=>(const ResponseHeadReceived &) const = default;
};

/// The whole answer was read. For an answer that streams, it also was passed on.
struct AttemptCompleted
{
    TimePoint at;
    RequestId request = 0;
    AttemptId attempt = 0;
    unsigned status = 0;
    /// The upstream said that it did not run the request.
    bool notRun = false;
    /// The upstream said that it leaves.
    bool draining = false;
    /// Another server than the expected instance has the address; the request was not run.
    bool misdirected = false;

    auto operator<=>(const AttemptCompleted &) const = default;
};

/// An attempt ended without a whole answer.
struct AttemptFailed
{
    TimePoint at;
    RequestId request = 0;
    AttemptId attempt = 0;
    Health::Cause cause = Health::Cause::Reset;
    /// True when no byte of the request was handed to the network, which proves that it was not run.
    bool nothingWritten = false;

    auto operator<=>(const AttemptFailed &) const = default;
};

/// The caller closed its connection before it had the whole answer.
struct CallerDisconnected
{
    TimePoint at;
    RequestId request = 0;

    auto operator<=>(const CallerDisconnected &) const = default;
};

/// A new configuration is in force.
struct ConfigurationChanged
{
    TimePoint at;
    std::shared_ptr<const Configuration> configuration;

    /// Compares contents, so that recorded and replayed events are equal.
    bool operator==(const ConfigurationChanged &other) const
    {
        const bool sameContent
            = this->configuration == other.configuration
              || (this->configuration && other.configuration && *this->configuration == *other.configuration);
        return this->at == other.at && sameContent;
    }
};

/// The agents' verdict on an upstream, from pooled evidence.
struct HealthVerdict
{
    UpstreamKey upstream;
    bool sick = false;
    /// Share of the usual work that an upstream that is not sick gets. Zero admits trials with idempotent requests.
    double share = 1;
    /// Idle connections to the upstream may be dead, so that requests need new ones for some seconds.
    bool doubtsConnections = false;

    auto operator<=>(const HealthVerdict &) const = default;
};

/// Verdicts that changed.
struct HealthChanged
{
    TimePoint at;
    std::vector<HealthVerdict> verdicts;

    auto operator<=>(const HealthChanged &) const = default;
};

/// Requests of the other entries at upstreams, as far as they are known.
struct LoadChanged
{
    TimePoint at;
    UpstreamKey upstream;
    unsigned otherEntriesInFlight = 0;
    /// The number is of all entries, with this one.
    bool includesOwn = false;

    auto operator<=>(const LoadChanged &) const = default;
};

/// How busy a service's upstreams in another data centre are, as its entries see it.
struct DataCentreLoadChanged
{
    TimePoint at;
    std::string bundle;
    std::string service;
    std::string dataCentre;
    /// Requests in flight per slot.
    double load = 0;

    auto operator<=>(const DataCentreLoadChanged &) const = default;
};

/// Another entry took an attempt from the reserve that all entries share.
struct ReserveUsed
{
    TimePoint at;
    std::string bundle;
    std::string service;

    auto operator<=>(const ReserveUsed &) const = default;
};

/// All upstreams that leave: by address when the VM list reports them, by endpoint (ADDRESS:PORT) when they announced
/// their drain to any entry.
struct LeavingChanged
{
    TimePoint at;
    std::vector<std::string> addresses;

    auto operator<=>(const LeavingChanged &) const = default;
};

/// The time that Reducer::nextDeadline() returned has come.
struct TimerExpired
{
    TimePoint at;

    auto operator<=>(const TimerExpired &) const = default;
};

/// The process was asked to stop.
struct ShutdownRequested
{
    TimePoint at;
    /// Time for the balancer to notice that the entry is not ready, before new connections are refused.
    Duration drainDelay{0};
    /// After this time whatever is in flight is given up.
    Duration limit{0};

    auto operator<=>(const ShutdownRequested &) const = default;
};

using Event = std::variant<RequestArrived,
                           ResponseHeadReceived,
                           AttemptCompleted,
                           AttemptFailed,
                           CallerDisconnected,
                           ConfigurationChanged,
                           HealthChanged,
                           LeavingChanged,
                           LoadChanged,
                           DataCentreLoadChanged,
                           ReserveUsed,
                           TimerExpired,
                           ShutdownRequested>;

} // namespace Verbenadock::Core

#endif
