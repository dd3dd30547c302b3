#include "harness/fleetsettings.h"

#include <algorithm>

namespace Verbenadock::Test {

namespace {

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

std::string quoted(const std::string &address, std::uint16_t port)
{
    return quoted(toString({address, port}));
}

std::string processTable(const FleetVm &vm, std::uint16_t adminPort)
{
    return "[process]\nvm_id = " + quoted(vm.id) + "\ndata_centre = " + quoted(vm.dataCentre)
           + "\nadmin = " + quoted(vm.address, adminPort) + "\n\n";
}

std::string endpointList(const std::vector<FleetVm> &vms, std::uint16_t port)
{
    std::string list;
    for (const auto &vm : vms) {
        list += (list.empty() ? "" : ", ") + quoted(vm.address, port);
    }
    return "[" + list + "]";
}

std::string route(const std::string &service, const std::string &method, bool idempotent)
{
    return "[[routes]]\nmethod = " + quoted(method) + "\npath_prefix = " + quoted("/" + service)
           + "\nservice = " + quoted(service) + "\nidempotent = " + (idempotent ? "true" : "false") + "\n\n";
}

std::string serviceTable(const ServiceSpec &service, const std::vector<FleetUpstream> &upstreams)
{
    std::string text = "[services." + service.name + "]\n" + service.extra + "\n\n";
    for (const auto &upstream : upstreams) {
        if (upstream.service == service.name) {
            text += "[[services." + service.name + ".upstreams]]\nid = " + quoted(upstream.id) + "\nendpoint = "
                    + quoted(upstream.address, Ports::Upstream) + "\ndata_centre = " + quoted(upstream.dataCentre)
                    + "\nslots = " + std::to_string(service.slots) + "\nconnection_limit = 300\n\n";
        }
    }
    return text;
}

} // namespace

std::string operatorTable(const std::string &name, const std::string &publicKey)
{
    return "[[operators]]\nname = " + quoted(name) + "\npublic_key = " + quoted(publicKey) + "\n\n";
}

std::string ctlSettings(const std::string &operatorName,
                        const std::filesystem::path &key,
                        const std::string &platformAddress,
                        const std::vector<FleetVm> &vms)
{
    return "[operator]\nname = " + quoted(operatorName) + "\nprivate_key_file = " + quoted(key.string())
           + "\n\n[log]\nendpoint = " + quoted(platformAddress, Ports::Log) + "\n\n[fleet]\nagents = "
           + endpointList(vms, Ports::AgentAdmin) + "\nentries = " + endpointList(vms, Ports::EntryAdmin) + "\n\n";
}

std::string agentSettings(const FleetVm &vm, const std::string &platformAddress, bool faultProxy)
{
    return processTable(vm, Ports::AgentAdmin)
           + "[peers]\nlisten = " + quoted(vm.address, faultProxy ? Ports::PeersBehindProxy : Ports::AgentPeers)
           + "\nport = " + std::to_string(Ports::AgentPeers) + "\n\n[entry]\nlisten = "
           + quoted(vm.address, Ports::AgentForEntry) + "\n\n[log]\nendpoint = " + quoted(platformAddress, Ports::Log)
           + "\n\n[vm_list]\nendpoint = " + quoted(platformAddress, Ports::VmList) + "\n\n";
}

std::string entrySettings(const FleetVm &vm, bool faultProxy)
{
    return processTable(vm, Ports::EntryAdmin) + "[callers]\nlisten = " + quoted(vm.address, Ports::EntryListen)
           + "\n\n[peers]\nlisten = " + quoted(vm.address, Ports::EntryPeers) + "\n\n[agent]\nendpoint = "
           + quoted(vm.address, faultProxy ? Ports::LinkProxy : Ports::AgentForEntry) + "\n\n";
}

std::string bundleToml(const FleetSpec &spec, const std::vector<FleetUpstream> &upstreams, unsigned version)
{
    std::string text = "[bundle]\nname = " + quoted(BundleName) + "\nversion = " + std::to_string(version) + "\n\n";
    for (const auto &service : spec.services) {
        text += serviceTable(service, upstreams);
    }
    for (const auto &service : spec.services) {
        text += route(service.name, "GET", true);
        text += route(service.name, "*", service.idempotentWrites);
    }
    // Tests send their load from one caller; limits have tests of their own.
    return text + "[[caller_limits]]\ncaller = \"*\"\nrequests_per_second = 100000\nburst = 100000\n";
}

std::vector<std::string> proxyRoutes(const std::vector<FleetVm> &vms, const std::vector<FleetUpstream> &upstreams)
{
    std::vector<std::string> routes;
    const auto add
        = [&routes](const std::string &name, const std::string &address, std::uint16_t from, std::uint16_t to) {
              routes.push_back(name + "=" + toString({address, from}) + "," + toString({address, to}));
          };
    for (const auto &upstream : upstreams) {
        add(upstream.id, upstream.address, Ports::Upstream, Ports::UpstreamBehindProxy);
    }
    for (const auto &vm : vms) {
        add("agent-" + vm.id, vm.address, Ports::AgentPeers, Ports::PeersBehindProxy);
        add("link-" + vm.id, vm.address, Ports::LinkProxy, Ports::AgentForEntry);
    }
    return routes;
}

Json vmListJson(const std::vector<FleetVm> &vms,
                const std::vector<FleetUpstream> &upstreams,
                const std::vector<std::string> &leaving)
{
    auto list = Json::array();
    const auto add = [&](const auto &vm, const char *role) {
        const bool leaves = std::ranges::find(leaving, vm.id) != leaving.end();
        list.push_back({{"id", vm.id},
                        {"address", vm.address},
                        {"role", role},
                        {"dataCentre", vm.dataCentre},
                        {"state", leaves ? "leaving" : "live"}});
    };
    for (const auto &vm : vms) {
        add(vm, "entry");
    }
    for (const auto &upstream : upstreams) {
        add(upstream, "upstream");
    }
    return {{"vms", list}};
}

std::uint64_t bundleVersion(const Json &dump)
{
    for (const auto &bundle : dump.value("bundles", Json::array())) {
        if (bundle.value("name", "") == BundleName) {
            return bundle.value("version", std::uint64_t(0));
        }
    }
    return 0;
}

} // namespace Verbenadock::Test
