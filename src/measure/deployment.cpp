#include "deployment.h"

#include "verbenadock/base/error.h"

#include <array>
#include <memory>
#include <random>

namespace Verbenadock::Measure {

namespace {

constexpr unsigned ServiceMs = 20;
// One request in this many is of the kind "detail".
constexpr std::uint64_t DetailEvery = 4;

struct ServiceShape
{
    const char *name;
    unsigned upstreams;
    const char *method;
};

struct DeploymentShape
{
    const char *name;
    unsigned slots;
    const char *detection;
    std::array<ServiceShape, 3> services;
};

constexpr std::array Deployments{
    DeploymentShape{"nalezeno", 4, "fast", {{{"katalog", 10, "GET"}, {"vydej", 15, "POST"}, {"snimky", 6, "PUT"}}}},
    DeploymentShape{"moka",
                    2,
                    "careful",
                    {{{"drawer-index", 12, "GET"}, {"transfer-ledger", 20, "POST"}, {"folio-store", 6, "PUT"}}}},
};

std::string methodOf(const std::string &service)
{
    for (const auto &deployment : Deployments) {
        for (const auto &shape : deployment.services) {
            if (service == shape.name) {
                return shape.method;
            }
        }
    }
    throw Error("no deployment has the service " + service);
}

struct LoadState
{
    std::mt19937_64 random;
    std::discrete_distribution<std::size_t> service;
};

} // namespace

Test::FleetSpec deploymentSpec(const std::string &name, unsigned vms)
{
    for (const auto &shape : Deployments) {
        if (name != shape.name) {
            continue;
        }
        Test::FleetSpec spec;
        spec.vms = vms;
        spec.behaviour = {{"slots", shape.slots}, {"serviceMs", ServiceMs}};
        for (const auto &service : shape.services) {
            spec.services.push_back({.name = service.name,
                                     .upstreams = service.upstreams,
                                     .slots = shape.slots,
                                     .extra = std::string("detection = \"") + shape.detection + "\""});
        }
        return spec;
    }
    throw Error("there is no deployment '" + name + "'");
}

double loadRate(const Test::FleetSpec &spec, double requestsPerUpstream)
{
    double upstreams = 0;
    for (const auto &service : spec.services) {
        upstreams += service.upstreams;
    }
    return upstreams * requestsPerUpstream;
}

LoadPlan deploymentLoad(const Test::FleetSpec &spec, const Test::Fleet &fleet, double requestsPerUpstream)
{
    std::vector<double> weights;
    for (const auto &service : spec.services) {
        weights.push_back(service.upstreams);
    }
    const auto state = std::make_shared<LoadState>();
    state->service = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    LoadPlan plan;
    plan.requestsPerSecond = loadRate(spec, requestsPerUpstream);
    plan.request = [state, services = spec.services, &fleet](std::uint64_t number) {
        const auto &vm = fleet.vms[number % fleet.vms.size()];
        const auto &service = services[state->service(state->random)];
        const bool detail = state->random() % DetailEvery == 0;
        LoadRequest request{.target = vm.entryListen(), .method = methodOf(service.name)};
        request.path = "/" + service.name + "/item?vm=" + vm.id + "&dc=" + vm.dataCentre
                       + "&kind=" + (detail ? "detail" : "list");
        request.body = request.method == "GET" ? "" : "{}";
        return request;
    };
    return plan;
}

} // namespace Verbenadock::Measure
