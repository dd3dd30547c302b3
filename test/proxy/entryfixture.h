#ifndef VERBENADOCK_TEST_PROXY_ENTRYFIXTURE_H
#define VERBENADOCK_TEST_PROXY_ENTRYFIXTURE_H

#include "testsocket.h"
#include "verbenadock/proxy/entryserver.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Verbenadock::Testing {

/// Settings of the entry under test and of its only service.
struct FixtureOptions
{
    Settings::EntryLimits limits;
    Bundles::Service service;
    Proxy::Dialect dialect = {};
    /// Whether the entry has its configuration from the start on.
    bool startsConfigured = true;
    /// POST requests need a key of one of them, if there are any; the other routes are public.
    std::vector<Bundles::Customer> customers = {};
};

/// Options with one upstream per endpoint and short timeouts.
FixtureOptions optionsFor(const std::vector<Endpoint> &upstreams);

/// An entry that runs on its own thread. GET, HEAD and PUT are idempotent, POST is not.
class EntryFixture
{
public:
    explicit EntryFixture(const FixtureOptions &given);
    ~EntryFixture();
    EntryFixture(const EntryFixture &) = delete;
    EntryFixture &operator=(const EntryFixture &) = delete;

    Endpoint endpoint() const;

    /// Sends one request on a new connection and reads the answer.
    ReceivedMessage exchange(const std::string &request) const;

    /// Puts the configuration in force on an entry that started without one.
    void configure() const;

    /// Replaces the customers by a new, confirmed version.
    void setCustomers(const std::vector<Bundles::Customer> &customers);

    void setLimits(const Settings::EntryLimits &limits) const;

    void shutDown(Duration drainDelay, Duration limit = std::chrono::seconds(20));

    /// Whether the shutdown ended.
    bool hasTerminated() const;
    /// Whether the shutdown ended without abandoned work.
    bool terminatedCleanly() const;

    /// Value of a metric line such as `verbenadock_attempts_total{cause="reset"}`; 0 when it is missing.
    double metric(const std::string &series) const;

private:
    void applyConfiguration() const;
    void runOnLoop(const std::function<void()> &task) const;

    FixtureOptions options;
    std::uint64_t revision = 1;
    mutable boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    Telemetry::MetricsRegistry registry;
    std::unique_ptr<Proxy::EntryServer> server;
    std::atomic<bool> terminated = false;
    std::atomic<bool> ended = false;
    std::thread thread;
};

/// Waits up to 10 s for the condition.
bool eventually(const std::function<bool()> &condition);

} // namespace Verbenadock::Testing

#endif
