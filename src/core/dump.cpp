#include "engine.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

using Json = nlohmann::ordered_json;

Json age(const std::optional<TimePoint> &since, TimePoint at)
{
    return since ? Json(toMilliseconds(at - *since)) : Json(nullptr);
}

Json describe(const UpstreamState &upstream, TimePoint at)
{
    return Json{{"id", upstream.key.upstream},
                {"endpoint", toString(upstream.endpoint)},
                {"slots", upstream.slots},
                {"own_data_centre", upstream.ownDataCentre},
                {"in_flight", upstream.inFlight},
                {"concurrency", upstream.concurrency},
                {"leaving", upstream.leaving},
                {"draining", upstream.drainingUntil > at},
                {"paused_ms", std::max(0.0, toMilliseconds(upstream.pausedUntil - at))},
                {"backing_off", upstream.backOffUntil > at},
                {"allowed", upstream.admission.allowed},
                {"trial_only", upstream.admission.trialOnly},
                {"share", upstream.admission.share}};
}

Json describe(const ServiceState &service, TimePoint at)
{
    Json upstreams = Json::array();
    const auto reports = service.detector->report(at);
    for (const auto index : service.pool.configured()) {
        auto entry = describe(service.pool.at(index), at);
        for (const auto &report : reports) {
            if (report.upstream == service.pool.at(index).key.upstream) {
                entry["health"] = std::string(Health::toString(report.state));
                entry["evidence"] = report.evidence;
                entry["threshold"] = report.threshold;
                entry["health_age_ms"] = toMilliseconds(report.age);
                entry["relapses"] = report.relapses;
            }
        }
        upstreams.push_back(std::move(entry));
    }
    return Json{{"bundle", service.bundle},
                {"service", service.service.name},
                {"open_requests", service.openRequests},
                {"queued", service.queue.size()},
                {"queue_limit", service.service.queueLimit},
                {"retry_tokens", service.retries.available()},
                {"hedge_tokens", service.hedges.available()},
                {"typical_latency_ms", toMilliseconds(service.latency.typical())},
                {"hedge_delay_ms", toMilliseconds(service.latency.hedgeDelay())},
                {"upstreams", std::move(upstreams)}};
}

} // namespace

std::string Engine::dump(TimePoint at) const
{
    Json bundles = Json::array();
    Json serviceList = Json::array();
    if (this->configuration) {
        for (const auto &bundle : this->configuration->bundles) {
            bundles.push_back(Json{{"name", bundle.name},
                                   {"version", bundle.version},
                                   {"in_force_ms", toMilliseconds(at - this->bundlesInForceSince.at(bundle.name))}});
        }
    }
    for (const auto &service : this->services) {
        if (service->configured) {
            serviceList.push_back(describe(*service, at));
        }
    }
    const Json state{
        {"ready", this->ready()},
        {"shutting_down", this->shutdown.has_value()},
        {"revision", this->configuration ? Json(this->configuration->revision) : Json(nullptr)},
        {"configuration_age_ms", this->configuration ? age(this->configuredAt, at) : Json(nullptr)},
        {"leaving_age_ms", age(this->leavingAt, at)},
        {"verdicts_age_ms", age(this->verdictsAt, at)},
        {"bundles", std::move(bundles)},
        {"routes", this->routes ? this->routes->size() : 0},
        {"open_requests", this->requests.size()},
        {"callers", this->callerLimits.size()},
        {"services", std::move(serviceList)},
    };
    return state.dump();
}

} // namespace Verbenadock::Core::Internal
