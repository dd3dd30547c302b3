#ifndef VERBENADOCK_ENTRY_ENTRYPROCESS_H
#define VERBENADOCK_ENTRY_ENTRYPROCESS_H

#include "verbenadock/control/agentlink.h"
#include "verbenadock/fleet/fleetlink.h"
#include "verbenadock/net/adminserver.h"
#include "verbenadock/proxy/configurationstore.h"
#include "verbenadock/proxy/entryserver.h"
#include "verbenadock/settings/settings.h"
#include "verbenadock/telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Entry {

/// One entry: callers, administration port, agent and signals on one event loop.
class EntryProcess
{
public:
    /// Binds the ports. The bundles are texts that were checked already; the file is the one with the settings.
    EntryProcess(const Settings::EntrySettings &given, const std::vector<std::string> &bundles, std::string file);

    /// Runs until the shutdown is over and returns the exit status.
    int run();

private:
    void receive(const Control::Message &message);
    void receive(const Control::ConfigurationUpdate &update);
    void receive(const Control::HealthVerdicts &message);
    void receive(const Control::LeavingUpdate &update);
    void receive(const Control::KeyEpochs &known);
    void receive(const Control::Hello &hello);
    template<typename Other>
    void receive(const Other &message);

    Proxy::EntryHandlers serverHandlers();
    Net::AdminServer::Handlers adminHandlers();
    void followAgent(std::uint64_t start);
    void followStore(std::uint64_t start);
    void applyConfiguration();
    void applyPlatform(std::shared_ptr<const Core::Configuration> configuration,
                       const Discovery::RequestLimits &limits);
    void scheduleFlush();
    void watchSettings();
    void reload(std::string_view reason);
    std::string dump() const;
    void reportRefused();
    void scheduleReport();
    void sendEvidence();
    void sendDrains();
    void waitForSignal();
    void signalReceived(int number);
    void finish(int status);

    Settings::EntrySettings settings;
    boost::asio::io_context context;
    Telemetry::MetricsRegistry registry;
    Telemetry::Counter &refusedBundles;
    Telemetry::Counter &unexpectedMessages;
    Telemetry::Gauge &droppedLines;
    Proxy::ConfigurationStore store;
    std::unique_ptr<Proxy::EntryServer> server;
    std::unique_ptr<Net::AdminServer> admin;
    /// Null in a deployment without agents.
    std::unique_ptr<Control::AgentLink> link;
    /// Null in a deployment with agents.
    std::shared_ptr<Fleet::FleetLink> fleet;
    boost::asio::signal_set signals;
    boost::asio::steady_timer reportTimer;
    boost::asio::steady_timer settingsTimer;
    boost::asio::steady_timer flushTimer;
    std::string settingsFile;
    /// Content of the settings file that was read last.
    std::string settingsText;
    /// Limits that the operators' configuration sets.
    std::optional<Discovery::RequestLimits> requestLimits;
    std::size_t drainsSent = 0;
    TimePoint repeatDrainsAt{};
    bool shutdownRequested = false;
    int exitStatus = 0;
};

} // namespace Verbenadock::Entry

#endif
