#ifndef VERBENADOCK_TEST_HARNESS_FLEET_H
#define VERBENADOCK_TEST_HARNESS_FLEET_H

#include "harness/environment.h"
#include "harness/process.h"

#include <atomic>
#include <map>
#include <optional>

namespace Verbenadock::Test {

struct ServiceSpec
{
    std::string name;
    unsigned upstreams = 3;
    unsigned slots = 4;
    /// Lines of TOML for the service's table, such as "floor_percent = 50".
    std::string extra = {};
    /// Whether its POST and PUT requests are idempotent; GET requests always are.
    bool idempotentWrites = false;
};

struct FleetSpec
{
    std::vector<ServiceSpec> services;
    std::vector<std::string> dataCentres = {"a", "b", "c"};
    /// Each has an agent and an entry.
    unsigned vms = 3;
    /// Starting behaviour of all upstreams (common/behaviour.h of the stand-ins).
    Json behaviour = Json::object();
    /// Puts the proxy before every upstream (route: the upstream's id), every agent's peer port (agent-VM) and every
    /// entry's agent (link-VM).
    bool faultProxy = false;
    /// Starts the agents alone.
    bool agentsOnly = false;
    /// Further lines of TOML for the entries' settings.
    std::string entryExtra = {};
};

/// One VM of the fleet.
struct FleetVm
{
    std::string id;
    std::string address;
    std::string dataCentre;
    std::unique_ptr<Process> agent = nullptr;
    std::unique_ptr<Process> entry = nullptr;

    Endpoint entryListen() const;
    Endpoint entryAdmin() const;
    Endpoint agentAdmin() const;
};

struct FleetUpstream
{
    std::string id;
    std::string service;
    std::string address;
    std::string dataCentre;
};

struct CtlAnswer
{
    int status = -1;
    /// Standard output and standard error.
    std::string text;
};

/// A whole fleet with its platform on loopback: stand-ins, agents, entries and the balancer.
///
/// Usage: `Fleet fleet(PROGRAM_DIR, {.services = {{.name = "katalog"}}}); fleet.start(); fleet.rollOut(1);
/// fleet.call({.target = "/katalog/1"});`
class Fleet
{
public:
    Fleet(std::filesystem::path programDirectory, FleetSpec spec);
    ~Fleet();

    /// Starts everything and waits until the control ports and the administration ports answer.
    void start();

    void startAgent(std::size_t vm);
    void startEntry(std::size_t vm);

    /// The fleet's bundle in this version.
    std::string bundleText(unsigned version) const;
    /// Proposes, signs off and rolls out this version as two operators, and waits until all entries are ready.
    void rollOut(unsigned version);
    /// Runs verbenadock-ctl as the operator and returns its output.
    std::string ctl(const std::string &operatorName, const std::vector<std::string> &arguments);
    /// The same with its exit status.
    CtlAnswer tryCtl(const std::string &operatorName, const std::vector<std::string> &arguments);
    /// Writes a file into the fleet's directory and returns its path.
    std::string writeText(const std::string &name, const std::string &text) const;
    /// The operator's private key in PEM.
    std::filesystem::path operatorKey(const std::string &operatorName) const;

    Endpoint balancerListen() const;
    /// Sends a caller's request through the balancer.
    Net::HttpResponse call(const Net::HttpRequest &request, Duration timeout = std::chrono::seconds(20)) const;

    /// Changes the behaviour of upstreams; of all when no ids are given.
    void setUpstreams(const Json &behaviour, const std::vector<std::string> &ids = {});
    /// Closes the connections of upstreams and lets them start cold; of all when no ids are given.
    void restartUpstreams(const std::vector<std::string> &ids = {});
    Json upstreamState() const;
    Json executions() const;
    /// Runs per X-Work-Id that ran more than once.
    Json doubles() const;

    /// Changes the faults of proxy routes; of all when no names are given.
    void setRoutes(const Json &faults, const std::vector<std::string> &names = {});
    void silenceRoutes(const std::vector<std::string> &names);
    void setLog(const Json &faults);
    /// State of the log's stand-in.
    Json logState() const;
    /// Appends a record to the configuration stream as it is.
    void appendRecord(const std::string &record) const;
    /// The records that the configuration stream retains.
    std::vector<std::string> records() const;
    /// Lag and outage of the VM list.
    void setVmList(const Json &faults);
    /// Publishes the VM list; the named VMs and upstreams are leaving.
    void publishVms(const std::vector<std::string> &leaving = {});

    Json entryDump(std::size_t vm) const;
    Json agentDump(std::size_t vm) const;
    /// What the VM's entry has logged so far.
    std::filesystem::path entryLog(std::size_t vm) const;

    std::vector<FleetVm> vms;
    std::vector<FleetUpstream> upstreams;

private:
    std::unique_ptr<Process> startProgram(const std::string &program,
                                          const std::string &logName,
                                          const std::vector<std::string> &arguments);
    void startPlatform();
    void createOperators();
    std::filesystem::path file(const std::string &name) const;

    std::filesystem::path programs;
    FleetSpec spec;
    TemporaryDirectory directory;
    AddressBlock addresses;
    std::string platformAddress;
    std::string operatorTables;
    std::vector<std::unique_ptr<Process>> platform;
    std::atomic<unsigned> ctlRuns = 0;
};

} // namespace Verbenadock::Test

#endif
