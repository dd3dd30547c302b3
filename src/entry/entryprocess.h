#ifndef VERBENADOCK_ENTRY_ENTRYPROCESS_H
#define VERBENADOCK_ENTRY_ENTRYPROCESS_H

#include "verbenadock/control/agentlink.h"
#include "verbenadock/net/adminserver.h"
#include "verbenadock/proxy/configurationstore.h"
#include "verbenadock/proxy/entryserver.h"
#include "verbenadock/settings/settings.h"
#include "verbenadock/telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Verbenadock::Entry {

/// One entry: callers, administration port, agent and signals on one event loop.
class EntryProcess
{
public:
    /// Binds the ports. The bundles are texts that were checked already.
    EntryProcess(const Settings::EntrySettings &given, const std::vector<std::string> &bundles);

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

    void applyConfiguration();
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
    Proxy::ConfigurationStore store;
    std::unique_ptr<Proxy::EntryServer> server;
    std::unique_ptr<Net::AdminServer> admin;
    std::unique_ptr<Control::AgentLink> link;
    boost::asio::signal_set signals;
    boost::asio::steady_timer reportTimer;
    std::size_t drainsSent = 0;
    TimePoint repeatDrainsAt{};
    bool shutdownRequested = false;
    int exitStatus = 0;
};

} // namespace Verbenadock::Entry

#endif
