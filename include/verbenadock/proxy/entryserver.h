#ifndef VERBENADOCK_PROXY_ENTRYSERVER_H
#define VERBENADOCK_PROXY_ENTRYSERVER_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/error.h"
#include "verbenadock/control/message.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/core/event.h"
#include "verbenadock/core/reducer.h"
#include "verbenadock/keys/epoch.h"
#include "verbenadock/proxy/dialect.h"
#include "verbenadock/proxy/requestreport.h"
#include "verbenadock/settings/settings.h"
#include "verbenadock/telemetry/metrics.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Proxy {

/// The entry cannot listen for callers.
class ProxyError : public Error
{
public:
    using Error::Error;
};

/// Identity and address of an entry in the handling of idempotency keys.
struct KeyOptions
{
    /// This process.
    Keys::MemberId self;
    /// The endpoint for connections from other entries.
    Endpoint listen;
};

/// Options of an EntryServer.
struct EntryOptions
{
    /// Port 0 takes any free port.
    Endpoint listen;
    Settings::EntryLimits limits;
    Core::ReducerSettings reducer;
    /// Prefix of attempt ids; must differ between VMs and between starts of one VM.
    std::string instance;
    Dialect dialect = {};
    /// When empty, requests are handled as if they had no idempotency key.
    std::optional<KeyOptions> keys;
};

/// Callbacks from an EntryServer to its process.
struct EntryHandlers
{
    std::function<void(const Core::StateChange &)> stateChanged;
    /// Called once at the end of the shutdown; `clean` is true when no work was abandoned.
    std::function<void(bool clean)> terminated;
    /// A peer named an epoch of the idempotency keys that is newer than all known epochs.
    std::function<void(Keys::EpochNumber)> epochMissing;
    /// The outcome of an attempt, as evidence about its upstream.
    std::function<void(const Core::ReportEvidence &)> evidence = {};
    /// The load of this entry at an upstream changed.
    std::function<void(const Core::ReportLoad &)> load = {};
    std::function<void(const Core::ReportReserveUse &)> reserveUsed = {};
    /// Answered by applying Core::AllowanceDecided, also within the call. Without it every request is granted.
    std::function<void(const Core::ReserveAllowance &)> reserveAllowance = {};
    std::function<void(const Core::ReturnAllowance &)> returnAllowance = {};
    /// Called at the end of each request.
    std::function<void(const RequestReport &)> requestEnded = {};
};

/// Serves callers over HTTP/1.1 and carries out the effects of the core's reducer, on the one thread that runs the
/// event loop.
///
/// Usage: `EntryServer server(context, options, registry, handlers);`, then apply() configuration, health and shutdown
/// events as they come. The constructor binds the port and throws ProxyError when it cannot.
class EntryServer
{
public:
    EntryServer(boost::asio::io_context &context,
                EntryOptions options,
                Telemetry::MetricsRegistry &registry,
                EntryHandlers handlers);
    ~EntryServer();
    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /// The bound endpoint.
    Endpoint endpoint() const;

    /// Applies an event that comes neither from a caller nor from an upstream.
    void apply(const Core::Event &event);

    /// Applies the epochs of the idempotency keys that the agent knows.
    void updateEpochs(const Control::KeyEpochs &keyEpochs);

    /// Sets the limits of requests that begin from now on.
    void setLimits(const Settings::EntryLimits &limits);

    bool ready() const;

    /// The states of the reducers as JSON text.
    std::string dump() const;

    /// Where a request would go now and why, as JSON text; see Core::Reducer::explain().
    std::string explain(const Core::RouteQuery &query) const;

    /// Returns and clears the outcomes since the last call, for the agent.
    std::vector<Control::UpstreamEvidence> takeEvidence();

    /// The upstreams that announced their drain to this entry within the last minute.
    std::vector<Control::DrainingUpstream> drains() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Verbenadock::Proxy

#endif
