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

/// Where an entry takes part in the handling of idempotency keys.
struct KeyOptions
{
    /// This process.
    Keys::MemberId self;
    /// Where other entries connect.
    Endpoint listen;
};

/// What an EntryServer needs besides its event loop.
struct EntryOptions
{
    /// Port 0 takes any free port.
    Endpoint listen;
    Settings::EntryLimits limits;
    Core::ReducerSettings reducer;
    /// Part of each attempt's id; it has to differ between VMs and between starts of one VM.
    std::string instance;
    Dialect dialect = {};
    /// Without it requests are handled as if they had no idempotency key.
    std::optional<KeyOptions> keys;
};

/// What an EntryServer tells its process.
struct EntryHandlers
{
    std::function<void(const Core::StateChange &)> stateChanged;
    /// Called once when the shutdown is over; true when nothing was given up.
    std::function<void(bool clean)> terminated;
    /// A peer named an epoch of the idempotency keys that is newer than the known ones.
    std::function<void(Keys::EpochNumber)> epochMissing;
    /// The outcome of an attempt, as evidence about its upstream.
    std::function<void(const Core::ReportEvidence &)> evidence = {};
    /// The number of this entry's requests at an upstream changed.
    std::function<void(const Core::ReportLoad &)> load = {};
    std::function<void(const Core::ReportReserveUse &)> reserveUsed = {};
    /// A request is over.
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

    /// Feeds an event that does not come from a caller or an upstream.
    void apply(const Core::Event &event);

    /// The epochs of the idempotency keys that the agent knows.
    void updateEpochs(const Control::KeyEpochs &keyEpochs);

    /// Limits of the requests that begin from now on.
    void setLimits(const Settings::EntryLimits &limits);

    bool ready() const;

    /// The states of the reducers as JSON text.
    std::string dump() const;

    /// The outcomes since the last call, for the agent.
    std::vector<Control::UpstreamEvidence> takeEvidence();

    /// The upstreams that announced their drain to this entry within the last minute.
    std::vector<Control::DrainingUpstream> drains() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Verbenadock::Proxy

#endif
