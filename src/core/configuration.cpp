#include "engine.h"

#include "verbenadock/health/servicesettings.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

/// Hedges of a service that its budget allows regardless of the number of requests, and their refill per second.
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
                      [](const Bundles::Bundle &leftBundle, const Bundles::Bundle &rightBundle) {
                          return leftBundle.name == rightBundle.name && leftBundle.routes == rightBundle.routes;
                      });
}

} // namespace

std::uint32_t Engine::findOrAddService(const std::string &bundle, const std::string &service)
{
    const auto existing = this->serviceIndices.find({bundle, service});
    if (existing != this->serviceIndices.end()) {
        return existing->second;
    }
    const auto unused = std::find_if(this->services.begin(), this->services.end(), [this](const auto &state) {
        return !state->configured && state->openRequests == 0 && !state->dispatchScheduled
               && !state->pool.remembersAnnouncements(this->now);
    });
    auto index = static_cast<std::uint32_t>(unused - this->services.begin());
    if (unused == this->services.end()) {
        this->services.push_back(std::make_unique<ServiceState>());
    } else {
        this->serviceIndices.erase({(*unused)->bundle, (*unused)->service.name});
        *unused = std::make_unique<ServiceState>();
    }
    this->services[index]->index = index;
    this->serviceIndices.emplace(std::pair(bundle, service), index);
    return index;
}

void Engine::configureService(std::uint32_t index, const std::string &bundle, const Bundles::Service &service)
{
    auto &state = *this->services[index];
    if (state.configured && state.service == service) {
        return;
    }
    // A removed service keeps its index while requests refer to it, so that its slots in use stay counted when it
    // returns.
    state.bundle = bundle;
    state.service = service;
    state.configured = true;
    state.pool.configure(bundle, &service, this->settings.dataCentre, this->now);
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
    this->leavingChanged(state);
}

void Engine::removeService(ServiceState &service)
{
    service.configured = false;
    service.pool.configure(service.bundle, nullptr, this->settings.dataCentre, this->now);
    service.detector->reconfigure(Health::detectorSettings(service.service), {});
    while (!service.queue.empty()) {
        this->failRequest(service.queue.begin()->slot, RejectionReason::NotConfigured);
    }
    this->scheduleDispatch(service);
}

bool Engine::resolveServices(const std::string &bundle, const Bundles::Route &route, RouteTarget &target) const
{
    const auto configuredIndexOf = [this, &bundle](const std::string &service) -> std::optional<std::uint32_t> {
        const auto found = this->serviceIndices.find({bundle, service});
        const bool isConfigured = found != this->serviceIndices.end() && this->services[found->second]->configured;
        return isConfigured ? std::optional(found->second) : std::nullopt;
    };
    if (route.split.empty()) {
        const auto index = configuredIndexOf(route.service);
        target.service = index.value_or(0);
        return index.has_value();
    }
    std::vector<SplitPart> parts;
    for (const auto &part : route.split) {
        if (const auto index = configuredIndexOf(part.service); index && part.weight > 0) {
            parts.push_back({.service = *index, .weight = part.weight});
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
    std::uint32_t sequences = 0;
    for (std::uint32_t index = 0; index < configured.bundles.size(); ++index) {
        const auto &bundle = configured.bundles[index];
        for (const auto &route : bundle.routes) {
            RouteTarget target{.bundle = index,
                               .idempotent = route.idempotent,
                               .priority = route.priority,
                               .timeout = route.timeout,
                               .maxAttempts = route.maxAttempts,
                               .targetLatency = route.targetLatency,
                               .isPublic = route.isPublic};
            if (this->resolveServices(bundle.name, route, target)) {
                const bool isEven
                    = target.split && std::ranges::any_of(*target.split, [this](const SplitPart &part) {
                          return this->services[part.service]->service.balancing == Bundles::Balancing::Even;
                      });
                if (isEven) {
                    target.splitSequence = sequences++;
                }
                resolved.push_back(ResolvedRoute{.route = route, .target = target});
            }
        }
    }
    this->routes = std::make_shared<const RoutingTable>(resolved);
    this->splitPositions.resize(sequences);
}

void Engine::updateBundleTimes(const Configuration &configured)
{
    std::map<std::string, TimePoint> times;
    for (const auto &bundle : configured.bundles) {
        const auto isInForce = [&bundle](const Bundles::Bundle &current) {
            return current.name == bundle.name && current.version == bundle.version;
        };
        const bool isUnchanged
            = this->configuration
              && std::any_of(this->configuration->bundles.begin(), this->configuration->bundles.end(), isInForce);
        times[bundle.name] = isUnchanged ? this->bundlesInForceSince[bundle.name] : this->now;
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
    std::unordered_set<std::uint32_t> configuredIndices;
    bool sameServices = true;
    for (const auto &bundle : event.configuration->bundles) {
        for (const auto &service : bundle.services) {
            const auto index = this->findOrAddService(bundle.name, service.name);
            const auto &current = *this->services[index];
            // The balancing of the services decides how the requests of a split are distributed.
            sameServices = sameServices && current.configured && current.service.balancing == service.balancing;
            this->configureService(index, bundle.name, service);
            configuredIndices.insert(index);
        }
    }
    for (const auto &service : this->services) {
        if (service->configured && !configuredIndices.contains(service->index)) {
            this->removeService(*service);
            sameServices = false;
        }
    }
    // Building the table takes about 0.2 s at the target size and blocks all requests, so an unchanged table is reused.
    if (!this->configuration || !sameServices || !haveSameRoutes(*this->configuration, *event.configuration)) {
        this->buildRoutes(*event.configuration);
    }
    this->callerLimits.configure(event.configuration->bundles);
    this->updateBundleTimes(*event.configuration);
    this->configuration = event.configuration;
    this->configuredAt = this->now;
    this->configureCustomers(*this->configuration);
    const ConfigurationInForce change{.revision = this->configuration->revision,
                                      .services = configuredIndices.size(),
                                      .routes = this->routes->size()};
    this->effects.emplace_back(ReportStateChange{.change = change});
}

void Engine::on(const HealthChanged &event)
{
    this->verdictsAt = this->now;
    std::map<std::uint32_t, std::vector<Health::PooledVerdict>> byService;
    for (const auto &verdict : event.verdicts) {
        const auto found = this->serviceIndices.find({verdict.upstream.bundle, verdict.upstream.service});
        if (found != this->serviceIndices.end()) {
            if (verdict.doubtsConnections) {
                this->services[found->second]->pool.noteStaleConnection(verdict.upstream.upstream, this->now);
            }
            byService[found->second].push_back(Health::PooledVerdict{
                .upstream = verdict.upstream.upstream, .sick = verdict.sick, .share = verdict.share});
        }
    }
    for (const auto &[index, verdicts] : byService) {
        auto &service = *this->services[index];
        service.detector->applyPooled(verdicts, this->now);
        this->evaluate(service);
        service.pool.refreshAdmissions(*service.detector, this->now);
    }
}

void Engine::on(const LoadChanged &event)
{
    const auto found = this->serviceIndices.find({event.upstream.bundle, event.upstream.service});
    if (found != this->serviceIndices.end()) {
        auto &service = *this->services[found->second];
        service.pool.noteOtherEntriesLoad(event);
        // Requests may wait because other entries fill the upstreams.
        if (service.service.sharing == Bundles::Sharing::Fair && !service.queue.empty()) {
            this->scheduleDispatch(service);
        }
    }
}

void Engine::on(const DataCentreLoadChanged &event)
{
    const auto found = this->serviceIndices.find({event.bundle, event.service});
    if (found != this->serviceIndices.end()) {
        this->services[found->second]->pool.noteDataCentreLoad(event.dataCentre, event.load, this->now);
    }
}

void Engine::on(const ReserveUsed &event)
{
    const auto found = this->serviceIndices.find({event.bundle, event.service});
    if (found != this->serviceIndices.end()) {
        this->services[found->second]->reserve.noteOtherEntry(this->now);
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
        this->leavingChanged(*service);
    }
}

} // namespace Verbenadock::Core::Internal
