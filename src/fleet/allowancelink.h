#ifndef VERBENADOCK_FLEET_ALLOWANCELINK_H
#define VERBENADOCK_FLEET_ALLOWANCELINK_H

#include "verbenadock/allowance/allowanceclient.h"
#include "verbenadock/allowance/allowancepool.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/core/event.h"
#include "verbenadock/telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbenadock::Fleet::internal {

/// Runs the caps of customers on one VM: connects the two reducers with the messages, the timer and the metrics.
/// Without customers with a cap it sends nothing and sets no timer.
///
/// Usage: call configure(), setVms() and the functions for events; call stop() before the end.
class AllowanceLink : public std::enable_shared_from_this<AllowanceLink>
{
public:
    struct Handlers
    {
        std::function<Allowance::Hubs()> hubs;
        std::function<void(const std::string &vm, const Mesh::Message &message)> send;
        std::function<void(const Core::AllowanceDecided &)> decided;
    };

    /// `slack` is as in AllowancePool::configure().
    AllowanceLink(boost::asio::io_context &context,
                  const std::string &vm,
                  std::uint64_t incarnation,
                  double slack,
                  Telemetry::MetricsRegistry &registry,
                  Handlers callbacks);

    void configure(const std::vector<Bundles::Customer> &customers);

    /// Names of all registered VMs. Until the first call this VM holds and lends nothing.
    void setVms(const std::vector<std::string> &names);

    void reserve(const Core::ReserveAllowance &effect);
    void giveBack(const Core::ReturnAllowance &effect);

    void handle(const Mesh::AllowanceLoan &loan);
    Mesh::AllowanceGrant handle(const Mesh::AllowanceRequest &request);
    void handle(const Mesh::AllowanceGrant &grant);

    void stop();

private:
    void carryOut(const Allowance::AllowanceClient::Update &update);
    void record(const Allowance::Decision &decision);
    void schedule();

    Handlers handlers;
    double capSlack;
    Allowance::AllowancePool pool;
    Allowance::AllowanceClient client;
    boost::asio::steady_timer timer;
    /// Time for which the timer is set.
    TimePoint wakesAt = TimePoint::max();
    bool stopped = false;
    Telemetry::Counter &grantedLocally;
    Telemetry::Counter &grantedByHub;
    Telemetry::Counter &refusedOverCap;
    Telemetry::Counter &refusedUnknown;
    Telemetry::Counter &hubGrants;
    Telemetry::Counter &hubRefusals;
    Telemetry::Gauge &waiting;
    Telemetry::Gauge &lenders;
    Telemetry::Histogram &roundTrips;
};

} // namespace Verbenadock::Fleet::internal

#endif
