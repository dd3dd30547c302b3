#ifndef VERBENADOCK_AGENT_HOST_H
#define VERBENADOCK_AGENT_HOST_H

#include "entrylink.h"
#include "peers.h"
#include "verbenadock/control/agentreducer.h"
#include "verbenadock/net/adminserver.h"
#include "verbenadock/platform/logclient.h"
#include "verbenadock/platform/vmlistclient.h"
#include "verbenadock/settings/settings.h"
#include "verbenadock/telemetry/metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Verbenadock::Agent {

/// Runs the agent's reducer: converts messages, responses of the platform and timers into events, and executes the
/// resulting effects.
class Host
{
public:
    /// Throws Net::NetError when a port cannot be bound.
    Host(boost::asio::io_context &ioContext, const Settings::AgentSettings &agentSettings);

    /// Throws Net::NetError when the listen address for peers is a wildcard address.
    void start();
    void stop();

private:
    Control::Hello makeHello() const;
    void processEvent(const Control::AgentEvent &event);
    void scheduleReducerTimer();
    void execute(const Control::SendToPeer &effect);
    void execute(const Control::ConnectPeer &effect);
    void execute(const Control::DisconnectPeer &effect);
    void execute(const Control::SendToEntry &effect);
    void execute(const Control::ReadLog &effect);
    void execute(const Control::AppendLog &effect);
    boost::asio::awaitable<void> appendLog(std::string data);
    void execute(const Control::ReadEpochs &effect);
    void execute(const Control::AppendEpoch &effect);
    void execute(const Control::ReportAgentChange &effect);
    boost::asio::awaitable<void> readLog(Control::ReadLog request);
    boost::asio::awaitable<void> readEpochs(Control::ReadEpochs request);
    boost::asio::awaitable<void> appendEpoch(std::string record);
    boost::asio::awaitable<void> pollVmList();
    std::string metricsText();
    void setCounter(const std::string &name,
                    const std::string &help,
                    std::uint64_t total,
                    const Telemetry::Labels &labels = {});

    boost::asio::io_context &context;
    Settings::AgentSettings settings;
    std::uint64_t incarnation;
    Control::AgentReducer reducer;
    Telemetry::MetricsRegistry metrics;
    std::shared_ptr<Net::StreamCounters> peerStreamCounters = std::make_shared<Net::StreamCounters>();
    std::shared_ptr<Net::StreamCounters> entryStreamCounters = std::make_shared<Net::StreamCounters>();
    Platform::LogClient configurationLogClient;
    Platform::LogClient epochLogClient;
    Platform::VmListClient vmListClient;
    boost::asio::steady_timer reducerTimer;
    boost::asio::steady_timer vmListTimer;
    Peers peers;
    EntryLink entryLink;
    Net::AdminServer adminServer;
    std::uint64_t vmListFailures = 0;
    std::uint64_t logAppendFailures = 0;
    std::uint64_t epochAppendFailures = 0;
    bool stopped = false;
};

} // namespace Verbenadock::Agent

#endif
