#include "engine.h"

#include <algorithm>

namespace Verbenadock::Core::Internal {

namespace {

/// Token buckets of callers, about 100 bytes each. The fleet has more callers than one entry serves at a time.
constexpr std::size_t MaxCallerBuckets = 65536;

/// Longest delay between a success with usual latency and the evaluation that includes it. The cost of an evaluation
/// grows with the number of upstreams, and such a success changes no state unless an upstream is restricted.
constexpr Duration MaxEvaluationDelay = std::chrono::milliseconds(1);

/// Interval at which requests that wait because all upstreams are full are tried again. Reports of the load, which also
/// trigger this, may be lost.
constexpr Duration FullUpstreamsPoll = std::chrono::milliseconds(25);

/// Fractions of a service's typical latency and of a route's target latency below which a failure is early, that is,
/// before the work can have been done. Targets are three to four times the usual latency.
constexpr double EarlyShareOfTypical = 0.3;
constexpr double EarlyShareOfTarget = 0.1;

} // namespace

Engine::Engine(ReducerSettings initial)
    : settings(std::move(initial))
    , random(this->settings.seed)
    , callerLimits(MaxCallerBuckets)
{
}

Effects Engine::apply(const Event &event)
{
    this->effects.clear();
    if (this->terminated) {
        // Callers may send requests while the host still writes the last answers.
        if (const auto *arrival = std::get_if<RequestArrived>(&event)) {
            this->on(*arrival);
        }
        return std::exchange(this->effects, {});
    }
    std::visit(
        [this](const auto &alternative) {
            this->now = alternative.at;
            this->on(alternative);
        },
        event);
    this->runScheduledDispatches();
    this->advanceShutdown();
    return std::exchange(this->effects, {});
}

std::optional<TimePoint> Engine::nextDeadline() const
{
    if (this->terminated) {
        return std::nullopt;
    }
    auto earliest = this->requestTimers.next();
    const auto consider = [&earliest](const std::optional<TimePoint> &time) {
        if (time && (!earliest || *time < *earliest)) {
            earliest = time;
        }
    };
    consider(this->serviceTimers.next());
    if (this->shutdown) {
        consider(this->shutdown->limitAt);
        if (!this->shutdown->stoppedAccepting) {
            consider(this->shutdown->stopAcceptingAt);
        }
        for (const auto &service : this->services) {
            if (service->lastStartAt && !service->startsEnded) {
                consider(*service->lastStartAt + Duration(1));
            }
        }
    }
    return earliest;
}

bool Engine::ready() const
{
    return this->configuration != nullptr && !this->shutdown && !this->terminated;
}

ServiceState &Engine::serviceOf(const Request &request)
{
    return *this->services[request.service];
}

const ServiceState &Engine::serviceOf(const Request &request) const
{
    return *this->services[request.service];
}

void Engine::reportLoad(const ServiceState &service, std::uint32_t upstream)
{
    const auto &state = service.pool.at(upstream);
    if (service.service.prefersOwnDataCentre) {
        this->effects.emplace_back(
            ReportLoad{.upstream = state.key, .inFlight = state.inFlight, .dataCentre = state.dataCentre});
    }
}

bool Engine::isEarly(const Request &request, const ServiceState &service, Duration latency)
{
    const auto typical = service.latency.typical();
    if (typical > Duration(0)) {
        return latency < std::chrono::duration_cast<Duration>(typical * EarlyShareOfTypical);
    }
    // Without samples and without a target latency the usual work time is unknown.
    return request.targetLatency <= Duration(0)
           || latency < std::chrono::duration_cast<Duration>(request.targetLatency * EarlyShareOfTarget);
}

void Engine::record(ServiceState &service, std::uint32_t upstream, const Health::Sample &sample)
{
    if (sample.cause == Health::Cause::Cancelled) {
        return;
    }
    const auto &state = service.pool.at(upstream);
    this->effects.emplace_back(ReportEvidence{.upstream = state.key, .sample = sample});
    if (state.configured) {
        service.detector->record(state.key.upstream, sample);
        if (!this->mayDelayEvaluation(service, sample.cause, sample.latency)) {
            this->evaluate(service);
        }
    }
}

bool Engine::mayDelayEvaluation(const ServiceState &service, Health::Cause cause, Duration latency) const
{
    const bool isUsual = cause == Health::Cause::Success && latency <= 2 * service.latency.typical();
    return isUsual && !service.pool.anyRestricted() && this->now - service.evaluatedAt < MaxEvaluationDelay;
}

void Engine::evaluate(ServiceState &service)
{
    service.evaluatedAt = this->now;
    const auto transitions = service.detector->evaluate(this->now);
    for (const auto &transition : transitions) {
        const UpstreamKey key{
            .bundle = service.bundle, .service = service.service.name, .upstream = transition.upstream};
        this->effects.emplace_back(
            ReportStateChange{.change = HealthStateChanged{.upstream = key, .transition = transition}});
    }
    if (transitions.empty()) {
        service.pool.refreshRestricted(*service.detector, this->now);
    } else {
        service.pool.refreshAdmissions(*service.detector, this->now);
    }
    service.detectorDeadline = service.detector->nextDeadline();
    this->scheduleDispatch(service);
}

void Engine::scheduleDispatch(ServiceState &service)
{
    if (!service.dispatchScheduled) {
        service.dispatchScheduled = true;
        this->scheduledServices.push_back(service.index);
    }
}

void Engine::runScheduledDispatches()
{
    // Dispatching may reject other requests, but frees no slot. A service that is scheduled again meanwhile is appended
    // to the list and handled by this loop.
    for (std::size_t position = 0; position < this->scheduledServices.size(); ++position) {
        auto &service = *this->services[this->scheduledServices[position]];
        this->dispatch(service);
        this->updateTimer(service);
        service.dispatchScheduled = false;
    }
    this->scheduledServices.clear();
}

void Engine::updateTimer(const ServiceState &service)
{
    auto earliest = service.detectorDeadline;
    const auto consider = [&earliest](const std::optional<TimePoint> &time) {
        if (time && (!earliest || *time < *earliest)) {
            earliest = time;
        }
    };
    consider(service.pool.nextDrainEnd(this->now));
    if (!service.queue.empty()) {
        consider(service.pool.nextBackOffEnd(this->now));
        consider(service.pool.nextPauseEnd(this->now));
        if (service.service.sharing == Bundles::Sharing::Fair) {
            consider(this->now + FullUpstreamsPoll);
        }
    }
    if (earliest && service.configured) {
        this->serviceTimers.set(service.index, *earliest);
    } else {
        this->serviceTimers.clear(service.index);
    }
}

void Engine::on(const TimerExpired & /*event*/)
{
    while (const auto slot = this->requestTimers.popDue(this->now)) {
        this->requestTimerExpired(*slot);
    }
    while (const auto index = this->serviceTimers.popDue(this->now)) {
        auto &service = *this->services[*index];
        service.detector->setLeaving(service.pool.leavingIds(this->now));
        this->evaluate(service);
        service.pool.refreshAdmissions(*service.detector, this->now);
    }
}

void Engine::on(const ShutdownRequested &event)
{
    if (this->shutdown) {
        this->terminate();
        return;
    }
    this->shutdown = ShutdownState{
        .stopAcceptingAt = event.at + event.drainDelay, .limitAt = event.at + event.limit, .stoppedAccepting = false};
}

void Engine::advanceShutdown()
{
    if (!this->shutdown || this->terminated) {
        return;
    }
    if (!this->shutdown->stoppedAccepting && this->now >= this->shutdown->stopAcceptingAt) {
        this->shutdown->stoppedAccepting = true;
        this->setLastStarts();
        this->effects.emplace_back(StopAccepting{});
    }
    for (const auto &service : this->services) {
        if (service->lastStartAt && !service->startsEnded && this->now > *service->lastStartAt) {
            this->withdrawUnsent(*service);
        }
    }
    const bool finished = this->shutdown->stoppedAccepting && this->requests.size() == 0;
    if (finished || this->now >= this->shutdown->limitAt) {
        this->terminate();
    }
}

void Engine::setLastStarts()
{
    for (const auto &service : this->services) {
        const auto longest = service->latency.longest();
        // Nothing is known about the work without earlier answers, so that only the deadline of a request limits it.
        service->lastStartAt = longest > Duration(0) ? this->shutdown->limitAt - longest : TimePoint{};
    }
}

bool Engine::endsBeforeShutdown(const Request &request, TimePoint at) const
{
    const auto &lastStartAt = this->serviceOf(request).lastStartAt;
    return !lastStartAt || at <= *lastStartAt || request.deadline <= this->shutdown->limitAt;
}

void Engine::withdrawUnsent(ServiceState &service)
{
    service.startsEnded = true;
    for (const auto slot : this->requests.openSlots()) {
        const auto &request = this->requests.at(slot);
        if (request.service != service.index || this->endsBeforeShutdown(request, this->now)) {
            continue;
        }
        if (request.queued) {
            this->failRequest(slot, RejectionReason::ShuttingDown);
        } else {
            this->effects.emplace_back(WithdrawUnsentAttempts{.request = request.id});
        }
    }
}

void Engine::terminate()
{
    const bool clean = this->requests.size() == 0;
    // Abandoned requests still get an answer with their outcome, if the host can write it before the process ends.
    for (const auto slot : this->requests.openSlots()) {
        this->failRequest(slot, RejectionReason::ShuttingDown);
    }
    this->effects.emplace_back(Terminate{.clean = clean});
    this->terminated = true;
}

} // namespace Verbenadock::Core::Internal
