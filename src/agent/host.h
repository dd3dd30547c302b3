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

/// Runs the agent's reducer: turns what happens on sockets and timers into events and carries out the effects.
class Host
{
public:
    /// Throws NetError when a port cannot be bound.
    Host(boost::asio::io_context &ioContext, const Settings::AgentSettings &agentSettings);

    void start();
    void stop();

private:
    Control::Hello makeHello() const;
    void process(const Control::AgentEvent &event);
    void armTimer();
    void carryOut(const Control::SendToPeer &effect);
    void carryOut(const Control::ConnectPeer &effect);
    void carryOut(const Control::DisconnectPeer &effect);
    void carryOut(const Control::SendToEntry &effect);
    void carryOut(const Control::ReadLog &effect);
    void carryOut(const Control::AppendLog &effect);
    boost::asio::awaitable<void> appendLog(std::string data);
    void carryOut(const Control::ReadEpochs &effect);
    void carryOut(const Control::AppendEpoch &effect);
    void carryOut(const Control::ReportAgentChange &effect);
    boost::asio::awaitable<void> readLog(Control::ReadLog request);
    boost::asio::awaitable<void> readEpochs(Control::ReadEpochs request);
    boost::asio::awaitable<void> appendEpoch(std::string record);
    boost::asio::awaitable<void> followVmList();
    std::string metricsText();
    void setTotal(const std::string &name,
                  const std::string &help,
                  std::uint64_t total,
                  const Telemetry::Labels &labels = {});

    boost::asio::io_context &context;
    Settings::AgentSettings settings;
    std::uint64_t incarnation;
    Control::AgentReducer reducer;
    Telemetry::MetricsRegistry metrics;
    std::shared_ptr<Net::StreamCounters> peerTraffic = std::make_shared<Net::StreamCounters>();
    std::shared_ptr<Net::StreamCounters> entryTraffic = std::make_shared<Net::StreamCounters>();
    Platform::LogClient logClient;
    Platform::LogClient epochClient;
    Platform::VmListClient vmListClient;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer vmListTimer;
    Peers peers;
    EntryLink entry;
    Net::AdminServer admin;
    std::uint64_t vmListFailures = 0;
    std::uint64_t appendFailures = 0;
    std::uint64_t epochAppendFailures = 0;
    bool stopped = false;
};

} // namespace Verbenadock::Agent

#endif
