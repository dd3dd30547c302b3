#ifndef VERBENADOCK_ENTRY_ENTRYPROCESS_H
#define VERBENADOCK_ENTRY_ENTRYPROCESS_H

#include "settingsfile.h"
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

/// Process of one entry: runs the entry server, the administration server, the link to the agent or the fleet, and the
/// signal handling on one event loop.
class EntryProcess
{
public:
    /// Binds the ports. The bundles are validated texts; the settings are reloaded from the path of the file.
    EntryProcess(const SettingsFile &file, const std::vector<std::string> &bundles);

    /// Runs the event loop until the shutdown has ended and returns the exit status.
    int run();

private:
    void receive(const Control::Message &message);
    void receive(const Control::ConfigurationUpdate &update);
    void receive(const Control::HealthVerdicts &message);
    void receive(const Control::LeavingUpdate &update);
    void receive(const Control::KeyEpochs &epochs);
    void receive(const Control::Hello &hello);
    template<typename UnexpectedMessage>
    void receive(const UnexpectedMessage &message);

    Proxy::EntryHandlers serverHandlers();
    Net::AdminServer::Handlers adminHandlers();
    /// The page that says where a request would go; its target has the parameters host, path, method and customer.
    Net::AdminPage explain(std::string_view target) const;
    void connectToAgent(std::uint64_t incarnation);
    void startFleetLink(std::uint64_t incarnation);
    void applyConfiguration();
    void applyPlatformConfiguration(std::shared_ptr<const Core::Configuration> configuration,
                                    const Discovery::RequestLimits &limits);
    void scheduleFlush();
    void scheduleSettingsCheck();
    void reload(std::string_view reason);
    std::string dump() const;
    void logRefusedBundles();
    void scheduleAgentReport();
    void sendEvidence();
    void sendDrains();
    void waitForSignal();
    void signalReceived(int number);
    void finish(int status);

    Settings::EntrySettings settings;
    /// Outlives the context, which destroys coroutines that still count.
    Telemetry::MetricsRegistry registry;
    boost::asio::io_context context;
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
    boost::asio::steady_timer agentReportTimer;
    boost::asio::steady_timer settingsTimer;
    boost::asio::steady_timer flushTimer;
    std::string settingsFilePath;
    /// Content of the settings file at its last read.
    std::string settingsText;
    /// Limits of the operators' configuration; absent until the first one.
    std::optional<Discovery::RequestLimits> requestLimits;
    std::size_t sentDrainCount = 0;
    TimePoint nextDrainRepeat{};
    bool shutdownRequested = false;
    int exitStatus = 0;
};

} // namespace Verbenadock::Entry

#endif
