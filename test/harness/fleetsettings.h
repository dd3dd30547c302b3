#ifndef VERBENADOCK_TEST_HARNESS_FLEETSETTINGS_H
#define VERBENADOCK_TEST_HARNESS_FLEETSETTINGS_H

// The texts that a Fleet generates: settings files, the bundle, the VM list and the routes of the fault proxy.

#include "harness/fleet.h"

namespace Verbenadock::Test {

/// Every VM has addresses of its own, so all fleets use the same ports.
struct Ports
{
    static constexpr std::uint16_t Log = 7001;
    static constexpr std::uint16_t VmList = 7002;
    static constexpr std::uint16_t LogControl = 7011;
    static constexpr std::uint16_t VmListControl = 7012;
    static constexpr std::uint16_t UpstreamControl = 7013;
    static constexpr std::uint16_t BalancerControl = 7014;
    static constexpr std::uint16_t ProxyControl = 7015;
    static constexpr std::uint16_t Balancer = 8080;

    static constexpr std::uint16_t EntryListen = 8080;
    static constexpr std::uint16_t EntryAdmin = 9101;
    static constexpr std::uint16_t AgentForEntry = 9102;
    static constexpr std::uint16_t AgentAdmin = 9103;
    static constexpr std::uint16_t AgentPeers = 9104;
    static constexpr std::uint16_t EntryPeers = 9105;
    static constexpr std::uint16_t LinkProxy = 9112;
    static constexpr std::uint16_t PeersBehindProxy = 9114;

    static constexpr std::uint16_t Upstream = 9000;
    static constexpr std::uint16_t UpstreamBehindProxy = 9001;
};

constexpr auto BundleName = "fleet";

std::string operatorTable(const std::string &name, const std::string &publicKey);
std::string ctlSettings(const std::string &operatorName,
                        const std::filesystem::path &key,
                        const std::string &platformAddress,
                        const std::vector<FleetVm> &vms);
std::string agentSettings(const FleetVm &vm, const std::string &platformAddress, bool faultProxy);
std::string entrySettings(const FleetVm &vm, bool faultProxy);
std::string bundleToml(const FleetSpec &spec, const std::vector<FleetUpstream> &upstreams, unsigned version);
std::vector<std::string> proxyRoutes(const std::vector<FleetVm> &vms, const std::vector<FleetUpstream> &upstreams);
Json vmListJson(const std::vector<FleetVm> &vms,
                const std::vector<FleetUpstream> &upstreams,
                const std::vector<std::string> &leaving);
/// Version of the fleet's bundle in an entry's dump; 0 when there is none.
std::uint64_t bundleVersion(const Json &dump);

} // namespace Verbenadock::Test

#endif
