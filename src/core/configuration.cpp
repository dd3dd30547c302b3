#include "engine.h"

#include "verbenadock/health/servicesettings.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

/// Hedges that a service may make regardless of its number of requests, and how many of them return per second.
constexpr double HedgeReserve = 1;
constexpr double HedgeReservePerSecond = 1;

AttemptBudget::Settings retrySettings(const Bundles::Budgets &budgets)
{
    return {.percent = budgets.retryPercent,
            .reserve = budgets.retryReserve,
            .reservePerSecond = budgets.retryReservePerSecond,
            .tokenLimit = budgets.tokenLimit};
}

AttemptBudget::Settings hedgeSettings(const Bundles::Budgets &budgets)
{
    return {.percent = budgets.hedgePercent,
            .reserve = HedgeReserve,
            .reservePerSecond = HedgeReservePerSecond,
            .tokenLimit = budgets.tokenLimit};
}

bool haveSameRoutes(const Configuration &left, const Configuration &right)
{
    return std::equal(left.bundles.begin(),
                      left.bundles.end(),
                      right.bundles.begin(),
                      right.bundles.end(),
                      [](const Bundles::Bundle &one, const Bundles::Bundle &other) {
                          return one.name == other.name && one.routes == other.routes;
                      });
}

} // namespace

std::uint32_t Engine::placeOf(const std::string &bundle, const std::string &service)
{
    const auto known = this->serviceIndices.find({bundle, service});
    if (known != this->serviceIndices.end()) {
        return known->second;
    }
    const auto unused = std::find_if(this->services.begin(), this->services.end(), [](const auto &state) {
        return !state->configured && state->openRequests == 0 && !state->dispatchScheduled;
    });
    auto place = static_cast<std::uint32_t>(unused - this->services.begin());
    if (unused == this->services.end()) {
        this->services.push_back(std::make_unique<ServiceState>());
    } else {
        this->serviceIndices.erase({(*unused)->bundle, (*unused)->service.name});
        *unused = std::make_unique<ServiceState>();
    }
    this->services[place]->index = place;
    this->serviceIndices.emplace(std::pair(bundle, service), place);
    return place;
}

void Engine::configureService(std::uint32_t index, const std::string &bundle, const Bundles::Service &service)
{
    auto &state = *this->services[index];
    if (state.configured && state.service == service) {
        return;
    }
    // A service that was removed keeps its place while requests refer to it, so that their slots stay counted when it
    // returns.
    state.bundle = bundle;
    state.service = service;
    state.configured = true;
    state.pool.configure(bundle, &service, this->settings.dataCentre);
    state.pool.setLeaving(this->leaving);
    if (state.detector) {
        state.detector->reconfigure(Health::detectorSettings(service), Health::upstreamCapacities(service));
        state.retries.configure(retrySettings(service.budgets));
        state.hedges.configure(hedgeSettings(service.budgets));
    } else {
        state.detector.emplace(Health::detectorSettings(service), Health::upstreamCapacities(service));
        state.retries = AttemptBudget(retrySettings(service.budgets));
        state.hedges = AttemptBudget(hedgeSettings(service.budgets));
    }
    state.reserve.configure(service.budgets.fleetReserve, service.budgets.fleetWindow);
    state.detector->setLeaving(state.pool.leavingIds(this->now));
    this->evaluate(state);
    state.pool.refreshAdmissions(*state.detector, this->now);
}

void Engine::removeService(ServiceState &service)
{
    service.configured = false;
    service.pool.configure(service.bundle, nullptr, this->settings.dataCentre);
    service.detector->reconfigure(Health::detectorSettings(service.service), {});
    while (!service.queue.empty()) {
        this->failRequest(service.queue.begin()->slot, Refusal::NotConfigured);
    }
    this->scheduleDispatch(service);
}

bool Engine::resolveServices(const std::string &bundle, const Bundles::Route &route, RouteTarget &target) const
{
    const auto placeOf = [this, &bundle](const std::string &service) -> std::optional<std::uint32_t> {
        const auto place = this->serviceIndices.find({bundle, service});
        const bool known = place != this->serviceIndices.end() && this->services[place->second]->configured;
        return known ? std::optional(place->second) : std::nullopt;
    };
    if (route.split.empty()) {
        const auto place = placeOf(route.service);
        target.service = place.value_or(0);
        return place.has_value();
    }
    std::vector<SplitPart> parts;
    for (const auto &part : route.split) {
        if (const auto place = placeOf(part.service); place && part.weight > 0) {
            parts.push_back({.service = *place, .weight = part.weight});
        }
    }
    if (parts.empty()) {
        return false;
    }
    target.service = parts.front().service;
    target.split = std::make_shared<const std::vector<SplitPart>>(std::move(parts));
    return true;
}

void Engine::buildRoutes(const Configuration &configured)
{
    std::vector<ResolvedRoute> resolved;
    for (std::uint32_t index = 0; index < configured.bundles.size(); ++index) {
        const auto &bundle = configured.bundles[index];
        for (const auto &route : bundle.routes) {
            RouteTarget target{.bundle = index,
                               .idempotent = route.idempotent,
                               .priority = route.priority,
                               .timeout = route.timeout,
                               .maxAttempts = route.maxAttempts,
                               .targetLatency = route.targetLatency};
            if (this->resolveServices(bundle.name, route, target)) {
                resolved.push_back(ResolvedRoute{.route = route, .target = target});
            }
        }
    }
    this->routes = std::make_shared<const RoutingTable>(resolved);
}

void Engine::updateBundleTimes(const Configuration &configured)
{
    std::map<std::string, TimePoint> times;
    for (const auto &bundle : configured.bundles) {
        const auto isInForce = [&bundle](const Bundles::Bundle &known) {
            return known.name == bundle.name && known.version == bundle.version;
        };
        const bool stays
            = this->configuration
              && std::any_of(this->configuration->bundles.begin(), this->configuration->bundles.end(), isInForce);
        times[bundle.name] = stays ? this->bundlesInForceSince[bundle.name] : this->now;
    }
    this->bundlesInForceSince = std::move(times);
}

void Engine::on(const ConfigurationChanged &event)
{
    const bool isOlder
        = this->configuration && event.configuration && event.configuration->revision < this->configuration->revision;
    if (!event.configuration || isOlder) {
        return;
    }
    std::unordered_set<std::uint32_t> kept;
    bool sameServices = true;
    for (const auto &bundle : event.configuration->bundles) {
        for (const auto &service : bundle.services) {
            const auto place = this->placeOf(bundle.name, service.name);
            sameServices = sameServices && this->services[place]->configured;
            this->configureService(place, bundle.name, service);
            kept.insert(place);
        }
    }
    for (const auto &service : this->services) {
        if (service->configured && !kept.contains(service->index)) {
            this->removeService(*service);
            sameServices = false;
        }
    }
    // Building the table takes about 0.2 s at the target size, in which no request is served.
    if (!this->configuration || !sameServices || !haveSameRoutes(*this->configuration, *event.configuration)) {
        this->buildRoutes(*event.configuration);
    }
    this->callerLimits.configure(event.configuration->bundles);
    this->updateBundleTimes(*event.configuration);
    this->configuration = event.configuration;
    this->configuredAt = this->now;
    const ConfigurationInForce change{
        .revision = this->configuration->revision, .services = kept.size(), .routes = this->routes->size()};
    this->effects.emplace_back(ReportStateChange{.change = change});
}

void Engine::on(const HealthChanged &event)
{
    this->verdictsAt = this->now;
    std::map<std::uint32_t, std::vector<Health::PooledVerdict>> byService;
    for (const auto &verdict : event.verdicts) {
        const auto place = this->serviceIndices.find({verdict.upstream.bundle, verdict.upstream.service});
        if (place != this->serviceIndices.end()) {
            if (verdict.doubtsConnections) {
                this->services[place->second]->pool.noteStaleConnection(verdict.upstream.upstream, this->now);
            }
            byService[place->second].push_back(Health::PooledVerdict{
                .upstream = verdict.upstream.upstream, .sick = verdict.sick, .share = verdict.share});
        }
    }
    for (const auto &[place, verdicts] : byService) {
        auto &service = *this->services[place];
        service.detector->applyPooled(verdicts, this->now);
        this->evaluate(service);
        service.pool.refreshAdmissions(*service.detector, this->now);
    }
}

void Engine::on(const LoadChanged &event)
{
    const auto place = this->serviceIndices.find({event.upstream.bundle, event.upstream.service});
    if (place != this->serviceIndices.end()) {
        this->services[place->second]->pool.noteOtherEntriesLoad(event);
    }
}

void Engine::on(const DataCentreLoadChanged &event)
{
    const auto place = this->serviceIndices.find({event.bundle, event.service});
    if (place != this->serviceIndices.end()) {
        this->services[place->second]->pool.noteDataCentreLoad(event.dataCentre, event.load, this->now);
    }
}

void Engine::on(const ReserveUsed &event)
{
    const auto place = this->serviceIndices.find({event.bundle, event.service});
    if (place != this->serviceIndices.end()) {
        this->services[place->second]->reserve.noteOtherEntry(this->now);
    }
}

void Engine::on(const LeavingChanged &event)
{
    this->leavingAt = this->now;
    this->leaving = {event.addresses.begin(), event.addresses.end()};
    for (const auto &service : this->services) {
        if (!service->configured) {
            continue;
        }
        service->pool.setLeaving(this->leaving);
        service->detector->setLeaving(service->pool.leavingIds(this->now));
        this->evaluate(*service);
        service->pool.refreshAdmissions(*service->detector, this->now);
    }
}

} // namespace Verbenadock::Core::Internal
