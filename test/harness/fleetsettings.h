#ifndef VERBENADOCK_TEST_HARNESS_FLEETSETTINGS_H
#define VERBENADOCK_TEST_HARNESS_FLEETSETTINGS_H

// The texts that a Fleet generates: settings files, the bundle, the VM list and the routes of the fault proxy.

#include "harness/fleet.h"

namespace Verbenadock::Test {

/// Every VM has addresses of its own, so all fleets use the same ports.
struct Ports
{
    static constexpr std::uint16_t log = 7001;
    static constexpr std::uint16_t vmList = 7002;
    static constexpr std::uint16_t logControl = 7011;
    static constexpr std::uint16_t vmListControl = 7012;
    static constexpr std::uint16_t upstreamControl = 7013;
    static constexpr std::uint16_t balancerControl = 7014;
    static constexpr std::uint16_t proxyControl = 7015;
    static constexpr std::uint16_t balancer = 8080;

    static constexpr std::uint16_t entryListen = 8080;
    static constexpr std::uint16_t entryAdmin = 9101;
    static constexpr std::uint16_t agentForEntry = 9102;
    static constexpr std::uint16_t agentAdmin = 9103;
    static constexpr std::uint16_t agentPeers = 9104;
    static constexpr std::uint16_t linkProxy = 9112;
    static constexpr std::uint16_t peersBehindProxy = 9114;

    static constexpr std::uint16_t upstream = 9000;
    static constexpr std::uint16_t upstreamBehindProxy = 9001;
};

constexpr auto bundleName = "fleet";

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
