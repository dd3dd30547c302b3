#include "sharingmodel.h"

#include <algorithm>
#include <cmath>

namespace Verbenadock::Core::Test {

namespace {

constexpr double NoTimer = 1e18;
/// Timers fire this much late, so that rounding never makes them fire before they are due.
constexpr double TimerLatenessMs = 0.002;
/// Work varies by this fraction in both directions.
constexpr double WorkSpread = 0.2;

Configuration configurationFor(const ModelSettings &settings)
{
    Bundles::Service service;
    service.name = "katalog";
    service.prefersOwnDataCentre = true;
    service.sharing = settings.sharing;
    service.detection.poolDecides = true;
    service.budgets = {.retryPercent = 17,
                       .hedgePercent = 0,
                       .retryReserve = 0,
                       .retryReservePerSecond = 0,
                       .tokenLimit = 2,
                       .coversAllAttempts = true};
    for (int number = 0; number < settings.upstreams; ++number) {
        service.upstreams.push_back(
            Bundles::Upstream{.id = std::to_string(number),
                              .endpoint = {.address = "127.0.1." + std::to_string(number + 1), .port = 8000},
                              .dataCentre = "a",
                              .slots = settings.slots});
    }
    Bundles::Bundle bundle;
    bundle.name = "nalezeno";
    bundle.version = 1;
    for (std::size_t group = 0; group < settings.groups.size(); ++group) {
        bundle.routes.push_back(
            Bundles::Route{.pathPrefix = "/" + std::to_string(group),
                           .service = service.name,
                           .idempotent = true,
                           .priority = settings.groups[group].priority,
                           .timeout = Duration(static_cast<Duration::rep>(settings.deadlineMs * 1000)),
                           .maxAttempts = 3,
                           .targetLatency = Duration(static_cast<Duration::rep>(settings.targetMs * 1000))});
    }
    bundle.services = {std::move(service)};
    return Configuration{.revision = 1, .bundles = {std::move(bundle)}};
}

} // namespace

SharingModel::SharingModel(ModelSettings initial)
    : settings(std::move(initial))
    , random(this->settings.seed)
    , upstreams(static_cast<std::size_t>(this->settings.upstreams))
    , results(this->settings.groups.size())
{
    const auto configuration = configurationFor(this->settings);
    for (int vm = 0; vm < this->settings.vms; ++vm) {
        this->vms.push_back(Vm{.reducer = Reducer(ReducerSettings{
                                   .dataCentre = "a", .seed = this->settings.seed * 1000 + vm, .requestLimit = 10'000}),
                               .reported = std::vector<unsigned>(this->upstreams.size(), 0)});
        this->vms.back().reducer.apply(configure(configuration));
        if (this->settings.vms > 1) {
            const auto index = static_cast<std::size_t>(vm);
            this->later(this->settings.reportMs * this->random.fraction(), [this, index] {
                this->report(index);
            });
        }
    }
    for (std::size_t group = 0; group < this->settings.groups.size(); ++group) {
        this->scheduleArrivals(group);
    }
}

void SharingModel::later(double atMs, std::function<void()> action)
{
    this->actions.push(Action{.atMs = atMs, .order = ++this->lastOrder, .run = std::move(action)});
}

std::vector<GroupResult> SharingModel::run()
{
    while (!this->actions.empty()) {
        const auto action = this->actions.top();
        this->actions.pop();
        this->nowMs = action.atMs;
        action.run();
    }
    return this->results;
}

void SharingModel::scheduleArrivals(std::size_t group)
{
    const auto &callers = this->settings.groups[group];
    const double fastest = callers.requestsPerSecond * std::max(1.0, callers.burstFactor);
    double time = 0;
    int number = 0;
    while (fastest > 0) {
        time += -std::log(1 - this->random.fraction()) * 1000 / fastest;
        if (time >= this->settings.endMs) {
            break;
        }
        const bool inBurst = time >= this->settings.burstFromMs && time < this->settings.burstToMs;
        const double factor = inBurst ? callers.burstFactor : 1;
        if (this->random.fraction() * std::max(1.0, callers.burstFactor) >= factor) {
            continue;
        }
        const Call call{.group = group,
                        .sentMs = time,
                        .repetitionsLeft = callers.repetitions,
                        .process = ++number % callers.processes,
                        .counted = time >= this->settings.countFromMs};
        this->later(time, [this, call] {
            this->results[call.group].sent += call.counted ? 1 : 0;
            this->send(call);
        });
    }
}

void SharingModel::send(const Call &call)
{
    const auto connected = call.group * static_cast<std::size_t>(this->settings.groups[call.group].processes)
                           + static_cast<std::size_t>(call.process);
    const auto vm = this->settings.keepsConnections ? connected % this->vms.size()
                                                    : this->random.below(static_cast<std::uint32_t>(this->vms.size()));
    const auto request = ++this->lastRequest;
    this->open[request] = Open{.call = call, .vm = vm, .arrivedMs = this->nowMs};
    auto event = arrival(request, "GET", at(this->nowMs));
    event.target = "/" + std::to_string(call.group);
    event.caller = std::to_string(call.group) + "-" + std::to_string(call.process);
    event.timeLeft
        = Duration(static_cast<Duration::rep>((call.sentMs + this->settings.deadlineMs - this->nowMs) * 1000));
    this->feed(vm, event);
}

void SharingModel::feed(std::size_t vm, const Event &event)
{
    auto &state = this->vms[vm];
    for (const auto &effect : state.reducer.apply(event)) {
        if (const auto *start = std::get_if<StartAttempt>(&effect)) {
            this->carryOut(vm, *start);
        } else if (const auto *cancel = std::get_if<CancelAttempt>(&effect)) {
            this->carryOut(vm, *cancel);
        } else if (const auto *local = std::get_if<RespondLocally>(&effect)) {
            this->carryOut(*local);
        } else if (const auto *answer = std::get_if<ForwardAnswer>(&effect)) {
            this->carryOut(*answer);
        }
    }
    const auto next = state.reducer.nextDeadline();
    const double dueMs = next ? toMilliseconds(next->time_since_epoch()) : NoTimer;
    if (dueMs + TimerLatenessMs >= state.timerMs || dueMs > this->settings.endMs + 2 * this->settings.deadlineMs) {
        return;
    }
    state.timerMs = std::max(dueMs, this->nowMs) + TimerLatenessMs;
    this->later(state.timerMs, [this, vm, dueAt = state.timerMs] {
        auto &owner = this->vms[vm];
        if (owner.timerMs == dueAt) {
            owner.timerMs = NoTimer;
            this->feed(vm, TimerExpired{.at = at(this->nowMs)});
        }
    });
}

void SharingModel::carryOut(std::size_t vm, const StartAttempt &effect)
{
    auto &request = this->open.at(effect.request);
    request.started = true;
    const auto number = static_cast<std::size_t>(std::stoi(effect.upstream.upstream));
    auto &upstream = this->upstreams[number];
    if (upstream.running.size() + upstream.waiting.size() >= this->settings.slots + this->settings.upstreamQueue) {
        this->later(this->nowMs + 1, [this, vm, effect] {
            this->feed(vm,
                       AttemptCompleted{.at = at(this->nowMs),
                                        .request = effect.request,
                                        .attempt = effect.attempt,
                                        .status = 503,
                                        .notRun = true});
        });
        return;
    }
    ++upstream.inFlight;
    ++upstream.inFlightByVm[vm];
    upstream.waiting.push_back(Job{.request = effect.request, .attempt = effect.attempt, .vm = vm});
    this->upstreamByAttempt[{effect.request, effect.attempt}] = number;
    this->startWork(number);
}

void SharingModel::startWork(std::size_t number)
{
    auto &upstream = this->upstreams[number];
    while (upstream.running.size() < this->settings.slots && !upstream.waiting.empty()) {
        const auto job = upstream.waiting.front();
        upstream.waiting.pop_front();
        upstream.running.push_back(job);
        const auto group = this->open.at(job.request).call.group;
        const double spread = 1 + WorkSpread * (2 * this->random.fraction() - 1);
        this->later(this->nowMs + this->settings.groups[group].workMs * spread, [this, number, job] {
            this->finishWork(number, job);
        });
    }
}

bool SharingModel::removeJob(std::size_t number, RequestId request, AttemptId attempt)
{
    auto &upstream = this->upstreams[number];
    const auto matches = [request, attempt](const Job &job) {
        return job.request == request && job.attempt == attempt;
    };
    const auto removeFrom = [&matches](auto &jobs) {
        const auto found = std::find_if(jobs.begin(), jobs.end(), matches);
        if (found == jobs.end()) {
            return false;
        }
        jobs.erase(found);
        return true;
    };
    const auto vm = this->upstreamByAttempt.erase({request, attempt}) > 0 ? this->open.at(request).vm : 0;
    if (!removeFrom(upstream.running) && !removeFrom(upstream.waiting)) {
        return false;
    }
    --upstream.inFlight;
    --upstream.inFlightByVm[vm];
    this->startWork(number);
    return true;
}

void SharingModel::finishWork(std::size_t number, const Job &job)
{
    if (this->removeJob(number, job.request, job.attempt)) {
        this->feed(
            job.vm,
            AttemptCompleted{.at = at(this->nowMs), .request = job.request, .attempt = job.attempt, .status = 200});
    }
}

void SharingModel::carryOut(std::size_t /*vm*/, const CancelAttempt &effect)
{
    const auto found = this->upstreamByAttempt.find({effect.request, effect.attempt});
    if (found != this->upstreamByAttempt.end()) {
        this->removeJob(found->second, effect.request, effect.attempt);
    }
}

void SharingModel::carryOut(const ForwardAnswer &effect)
{
    const auto &call = this->open.at(effect.request).call;
    auto &result = this->results[call.group];
    if (call.counted) {
        ++(this->nowMs - call.sentMs <= this->settings.targetMs ? result.inTime : result.late);
    }
}

void SharingModel::carryOut(const RespondLocally &effect)
{
    const auto request = this->open.at(effect.request);
    auto call = request.call;
    const double leftMs = call.sentMs + this->settings.deadlineMs - this->nowMs;
    if (!request.started && this->nowMs > request.arrivedMs) {
        this->leastTimeLeftMs = std::min(this->leastTimeLeftMs, leftMs);
    }
    auto &result = this->results[call.group];
    const double waitMs = toMilliseconds(effect.retryAfter);
    if (call.counted) {
        ++result.rejections[effect.refusal];
        result.retryAfterMs.push_back(waitMs);
    }
    constexpr double EnoughTimeMs = 200;
    if (leftMs > EnoughTimeMs && waitMs > 0) {
        this->largestRetryAfterShare = std::max(this->largestRetryAfterShare, waitMs / leftMs);
        this->smallestRetryAfterMs = std::min(this->smallestRetryAfterMs, waitMs);
    }
    // A repetition at once still takes a round trip.
    constexpr double RoundTripMs = 2;
    const double returnMs = this->nowMs + (this->settings.groups[call.group].isImpatient ? RoundTripMs : waitMs);
    if (call.repetitionsLeft-- > 0 && returnMs < call.sentMs + this->settings.deadlineMs) {
        this->later(returnMs, [this, call] {
            this->send(call);
        });
    }
}

void SharingModel::report(std::size_t vm)
{
    for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
        auto &upstream = this->upstreams[number];
        const auto others = upstream.inFlight - upstream.inFlightByVm[vm];
        if (others != this->vms[vm].reported[number]) {
            this->vms[vm].reported[number] = others;
            this->feed(vm,
                       LoadChanged{.at = at(this->nowMs),
                                   .upstream
                                   = {.bundle = "nalezeno", .service = "katalog", .upstream = std::to_string(number)},
                                   .otherEntriesInFlight = others});
        }
    }
    if (this->nowMs < this->settings.endMs + this->settings.deadlineMs) {
        this->later(this->nowMs + this->settings.reportMs, [this, vm] {
            this->report(vm);
        });
    }
}

} // namespace Verbenadock::Core::Test
