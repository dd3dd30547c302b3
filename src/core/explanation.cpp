// Member functions of Engine that explain where a request would go now.
#include "engine.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <map>
#include <tuple>

namespace Verbenadock::Core::Internal {

namespace {

using Json = nlohmann::ordered_json;

/// Bounds the upstreams that all draws of an explanation examine together. A draw examines all upstreams of the
/// service, and the VM serves no requests meanwhile.
constexpr std::size_t MaxExaminedUpstreams = 10'000;
constexpr std::size_t MinDraws = 50;
constexpr std::size_t MaxDraws = 500;

enum class Decision {
    Sent,
    Queued,
    Rejected,
};

std::string_view toString(Decision decision)
{
    constexpr std::array<std::string_view, 3> Names{"sent", "queued", "rejected"};
    return Names.at(static_cast<std::size_t>(decision));
}

std::string_view toString(Obstacle obstacle)
{
    constexpr std::array<std::string_view, 8> Names{
        "leaving", "paused", "withdrawn", "backing-off", "on-trial", "on-probation", "at-limit", "full"};
    return Names.at(static_cast<std::size_t>(obstacle));
}

/// What happens to a request at one service.
struct Verdict
{
    Decision decision = Decision::Rejected;
    std::optional<RejectionReason> rejection = std::nullopt;
};

Json toJson(const std::optional<RejectionReason> &rejection)
{
    return rejection ? Json(std::string(Core::toString(*rejection))) : Json(nullptr);
}

/// Results of the choices for a service.
struct Draws
{
    std::size_t count = 0;
    /// By index of the upstream; only those with room.
    std::map<std::uint32_t, std::size_t> chosen;
    /// A draw found an upstream, with or without room.
    bool foundAny = false;
};

double percentOf(double part, double whole)
{
    constexpr double Percent = 100;
    return whole > 0 ? Percent * part / whole : 0;
}

Json describe(const UpstreamPool &pool, std::uint32_t index, const Draws &draws, TimePoint at)
{
    const auto &state = pool.at(index);
    const auto view = pool.view(index);
    const auto chosen = draws.chosen.find(index);
    const bool isChosen = chosen != draws.chosen.end();
    Json reason = nullptr;
    if (!isChosen) {
        const auto obstacle = pool.obstacle(index, at);
        const bool hasLocal = std::ranges::any_of(draws.chosen, [&pool](const auto &entry) {
            return pool.at(entry.first).ownDataCentre;
        });
        const auto *const other = !state.ownDataCentre && hasLocal ? "other-data-centre" : "higher-load";
        reason = obstacle ? std::string(toString(*obstacle)) : std::string(other);
    }
    return Json{{"id", state.key.upstream},
                {"data_centre", state.dataCentre},
                {"own_data_centre", state.ownDataCentre},
                {"slots", state.slots},
                {"in_flight", state.inFlight},
                {"in_flight_of_others", state.otherEntriesInFlight},
                {"load_percent", view.loadPercent},
                {"share_percent",
                 isChosen ? percentOf(static_cast<double>(chosen->second), static_cast<double>(draws.count)) : 0.0},
                {"reason", std::move(reason)}};
}

Json describe(const Bundles::Route &route)
{
    return Json{{"host", route.host},
                {"path_prefix", route.pathPrefix},
                {"method", route.method},
                {"idempotent", route.idempotent},
                {"public", route.isPublic}};
}

const Bundles::Route *findRoute(const Bundles::Bundle &bundle, const RouteTarget &target, std::string_view method)
{
    const Bundles::Route *found = nullptr;
    for (const auto &route : bundle.routes) {
        if (identityOf(route) != target.identity || (route.method != method && route.method != "*")) {
            continue;
        }
        // An exact method has precedence, and of equal routes the first one.
        if (found == nullptr || (route.method == method && found->method != method)) {
            found = &route;
        }
    }
    return found;
}

const Bundles::Customer *findCustomer(const Bundles::Bundle &bundle, const std::optional<std::string> &name)
{
    const auto found = std::ranges::find_if(bundle.customers, [&name](const Bundles::Customer &customer) {
        return name && customer.name == *name;
    });
    return found == bundle.customers.end() ? nullptr : &*found;
}

} // namespace

std::optional<RejectionReason> Engine::refusalOf(const RouteTarget &target,
                                                 const Bundles::Customer *customer,
                                                 TimePoint at) const
{
    const auto key
        = customer != nullptr && !customer->keys.empty() ? std::optional(customer->keys.front()) : std::nullopt;
    const auto &bundle = this->configuration->bundles[target.bundle].name;
    if (const auto refusal = this->accessOf(bundle, key, target.isPublic, at).refusal) {
        return refusal;
    }
    return this->requests.size() >= this->settings.requestLimit ? std::optional(RejectionReason::NoCapacity)
                                                                : std::nullopt;
}

bool Engine::hasLeastClaim(const Request &request) const
{
    const auto &service = this->serviceOf(request);
    if (service.queue.empty() || request.priority != service.queue.rbegin()->priority) {
        return service.queue.empty() || request.priority > service.queue.rbegin()->priority;
    }
    const auto &least = this->requests.at(this->leastClaim(service).slot);
    const auto usual = std::chrono::duration<double>(usualWork(request, service)).count();
    const auto key = shareKey(request);
    const double own = service.shares.held(key, this->now) + service.shares.expectedWork(key, usual);
    const double other = least.isNeglected ? 0 : service.shares.held(shareKey(least), this->now);
    return std::tuple(false, own) >= std::tuple(least.returnsEarly, other);
}

std::optional<RejectionReason> Engine::queueRejection(const Request &request) const
{
    const auto &service = this->serviceOf(request);
    const bool isFull = service.queue.size() >= service.service.queueLimit;
    if (service.service.sharing != Bundles::Sharing::Fair) {
        const QueuePosition position{
            .priority = request.priority, .deadline = request.deadline, .sequence = this->lastSequence + 1};
        const bool isLast = service.queue.empty() || *service.queue.rbegin() < position;
        return isFull && isLast ? std::optional(RejectionReason::QueueFull) : std::nullopt;
    }
    const auto ahead = std::ranges::count_if(service.queue, [&request](const QueuePosition &position) {
        return position.priority <= request.priority;
    });
    if (!this->isInTime(request, 0)) {
        return RejectionReason::DeadlineExceeded;
    }
    const bool isTooLong = !this->isInTime(request, static_cast<std::size_t>(ahead));
    if ((!isFull && !isTooLong) || !this->hasLeastClaim(request)) {
        return std::nullopt;
    }
    return this->reasonOfRejection(request, isFull ? RejectionReason::QueueFull : RejectionReason::NoCapacity);
}

std::optional<RejectionReason> Engine::rejectionWithoutRoom(const Request &request, TimePoint at) const
{
    const auto &service = this->serviceOf(request);
    if (!service.pool.couldServe(request, at)) {
        const auto pause = service.pool.nextPauseEnd(request, at);
        const auto typical = service.latency.typical();
        const auto work = typical > Duration(0) ? typical : request.targetLatency;
        if (!pause || pause->at + work > request.deadline || service.queue.size() >= pause->slots) {
            return pause ? RejectionReason::UpstreamsPaused : RejectionReason::NoCapacity;
        }
    }
    return this->queueRejection(request);
}

Request Engine::probeOf(const RouteTarget &target, std::uint32_t service, const Bundles::Customer *customer) const
{
    const auto &state = *this->services[service];
    const auto timeout = target.timeout > Duration(0) ? target.timeout : state.service.timeouts.total;
    Request request;
    request.service = service;
    request.idempotent = target.idempotent;
    request.maxAttempts = target.maxAttempts;
    request.targetLatency = target.targetLatency;
    request.priority = target.priority;
    if (customer != nullptr) {
        request.customer = std::make_shared<const Bundles::Customer>(*customer);
        request.priority = customer->priority.value_or(target.priority);
    }
    request.arrivedAt = this->now;
    request.deadline = this->now + timeout;
    request.route = target.identity;
    request.isNeglected
        = state.service.sharing == Bundles::Sharing::Fair && state.shares.isNeglected(shareKey(request), this->now);
    return request;
}

struct Engine::ServiceExplanation
{
    Verdict verdict;
    Draws draws;
};

Engine::ServiceExplanation Engine::explainService(const Request &request, TimePoint at) const
{
    const auto &service = this->serviceOf(request);
    const bool isFair = service.service.sharing == Bundles::Sharing::Fair;
    const auto limit = isFair && service.service.prefersOwnDataCentre ? this->loadLimitPercent(request)
                                                                      : std::numeric_limits<unsigned>::max();
    const auto upstreams = std::max<std::size_t>(1, service.pool.configured().size());
    Draws draws{.count = std::clamp(MaxExaminedUpstreams / upstreams, MinDraws, MaxDraws)};
    // The generator of the requests is left alone.
    Random own(this->settings.seed);
    for (std::size_t draw = 0; draw < draws.count; ++draw) {
        const auto upstream = service.pool.pick(request, at, own);
        draws.foundAny = draws.foundAny || upstream;
        if (upstream && !service.pool.isFull(*upstream, at) && service.pool.view(*upstream).loadPercent < limit) {
            ++draws.chosen[*upstream];
        }
    }
    if (service.queue.empty() && !draws.chosen.empty()) {
        return {.verdict = {.decision = Decision::Sent}, .draws = std::move(draws)};
    }
    const bool isFull = service.queue.empty() && draws.foundAny && !isFair;
    const auto rejection
        = isFull ? std::optional(RejectionReason::NoCapacity) : this->rejectionWithoutRoom(request, at);
    return {.verdict = {.decision = rejection ? Decision::Rejected : Decision::Queued, .rejection = rejection},
            .draws = std::move(draws)};
}

std::string Engine::explain(const RouteQuery &query, TimePoint at) const
{
    Json result{{"host", query.host}, {"path", query.path}, {"method", query.method}};
    const auto finish = [&result](const Verdict &verdict) {
        result["decision"] = std::string(toString(verdict.decision));
        result["rejection"] = toJson(verdict.rejection);
        // Text of the query may be invalid UTF-8.
        return result.dump(-1, ' ', false, Json::error_handler_t::replace);
    };
    if (!this->configuration) {
        return finish({.rejection = RejectionReason::NotConfigured});
    }
    if (this->terminated || (this->shutdown && this->shutdown->stoppedAccepting)) {
        return finish({.rejection = RejectionReason::ShuttingDown});
    }
    const auto target = this->routes->find(query.host, query.method, query.path);
    if (!target) {
        return finish({.rejection = this->missingRouteReason(at)});
    }
    const auto &bundle = this->configuration->bundles[target->bundle];
    const auto *customer = findCustomer(bundle, query.customer);
    // An unknown name is not repeated, since it may be a key.
    result["customer"] = customer != nullptr ? Json(customer->name) : Json(nullptr);
    result["customer_known"] = query.customer ? Json(customer != nullptr) : Json(nullptr);
    result["bundle"] = bundle.name;
    if (const auto *route = findRoute(bundle, *target, query.method)) {
        result["route"] = describe(*route);
    }
    if (const auto refusal = this->refusalOf(*target, customer, at)) {
        return finish({.rejection = refusal});
    }
    const auto parts = target->split ? *target->split : std::vector<SplitPart>{{.service = target->service}};
    double weights = 0;
    for (const auto &part : parts) {
        weights += part.weight;
    }
    std::optional<Verdict> best;
    Json serviceList = Json::array();
    for (const auto &part : parts) {
        const auto &service = *this->services[part.service];
        const auto request = this->probeOf(*target, part.service, customer);
        const auto [verdict, draws] = this->explainService(request, at);
        best = !best || verdict.decision < best->decision ? verdict : *best;
        Json upstreams = Json::array();
        for (const auto index : service.pool.configured()) {
            upstreams.push_back(describe(service.pool, index, draws, at));
        }
        serviceList.push_back(Json{{"service", service.service.name},
                                   {"weight_percent", percentOf(part.weight, weights)},
                                   {"decision", std::string(toString(verdict.decision))},
                                   {"rejection", toJson(verdict.rejection)},
                                   {"queued", service.queue.size()},
                                   {"draws", draws.count},
                                   {"upstreams", std::move(upstreams)}});
    }
    result["services"] = std::move(serviceList);
    return finish(*best);
}

} // namespace Verbenadock::Core::Internal
