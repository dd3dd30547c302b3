#include "sessionbuilder.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;

namespace {

enum class StepKind {
    Arrive,
    Answer,
    ServerError,
    NotRun,
    Draining,
    Head,
    Reset,
    Refused,
    NothingWritten,
    CallerDisconnects,
    Timer,
    Configure,
    Leave,
    Verdict,
};
constexpr int StepCount = 14;

struct Command
{
    int step = 0;
    unsigned choice = 0;
    unsigned milliseconds = 0;
};

/// Model of one request as the host sees it.
struct ExpectedState
{
    bool idempotent = false;
    bool callerDisconnected = false;
    int answers = 0;
    AttemptId forwarded = 0;
    std::set<AttemptId> running;
    /// Ended attempts that may have run the request.
    unsigned attemptsThatMayHaveRun = 0;
};

/// Simulates the host, the upstreams and the callers, and checks the invariants on each effect.
class Host
{
public:
    Host()
        : reducer(ReducerSettings{.dataCentre = "a", .seed = 5, .requestLimit = 20})
    {
        this->changeConfiguration(0);
    }

    void run(const Command &command)
    {
        this->time += std::chrono::milliseconds(command.milliseconds);
        const auto step = static_cast<StepKind>(command.step);
        if (step == StepKind::Arrive) {
            this->arrive(command.choice);
        } else if (step == StepKind::CallerDisconnects && this->lastRequest > 0) {
            const RequestId request = 1 + command.choice % this->lastRequest;
            this->expected[request].callerDisconnected = true;
            this->feed(CallerDisconnected{.at = this->time, .request = request});
        } else if (step == StepKind::Timer) {
            this->feed(TimerExpired{.at = this->time});
        } else if (step == StepKind::Configure) {
            this->changeConfiguration(command.choice);
        } else if (step == StepKind::Leave) {
            this->leaving = command.choice % 3 == 0 ? "" : "127.0.1." + std::to_string(command.choice % 3);
            this->feed(LeavingChanged{.at = this->time, .addresses = {this->leaving}});
        } else if (step == StepKind::Verdict) {
            const UpstreamKey key{"nalezeno", "katalog", "u" + std::to_string(command.choice % 4)};
            this->feed(
                HealthChanged{.at = this->time, .verdicts = {{.upstream = key, .sick = command.choice % 3 > 0}}});
        } else if (!this->running.empty()) {
            auto chosen = this->running.begin();
            std::advance(chosen, command.choice % this->running.size());
            this->finish(step, chosen->second);
        }
    }

    /// Advances the time past all deadlines and checks that each request got exactly one answer.
    void finishAll()
    {
        while (const auto next = this->reducer.nextDeadline()) {
            if (*next > this->time + std::chrono::minutes(1)) {
                break;
            }
            this->time = std::max(this->time, *next);
            this->feed(TimerExpired{.at = this->time});
        }
        RC_ASSERT(this->running.empty());
        for (const auto &[request, state] : this->expected) {
            RC_ASSERT(state.answers == 1 || state.callerDisconnected);
        }
        const auto effects = this->reducer.apply(ShutdownRequested{.at = this->time});
        RC_ASSERT(only<Terminate>(effects) == std::vector{Terminate{.clean = true}});
    }

private:
    void changeConfiguration(unsigned choice)
    {
        auto service = makeService(2 + choice % 3, 1 + choice % 2);
        service.queueLimit = choice % 4;
        service.sharing = choice % 2 == 0 ? Bundles::Sharing::ByArrival : Bundles::Sharing::Fair;
        service.timeouts.total = std::chrono::seconds(2);
        service.budgets.hedgePercent = 50;
        this->slots.clear();
        for (const auto &upstream : service.upstreams) {
            this->slots[upstream.id] = upstream.slots;
        }
        this->feed(configure(makeConfiguration(service, ++this->revision), this->time));
    }

    void arrive(unsigned choice)
    {
        const auto request = ++this->lastRequest;
        this->expected[request].idempotent = choice % 2 == 0;
        auto event = arrival(request, choice % 2 == 0 ? "GET" : "POST", this->time);
        if (choice % 3 == 0) {
            event.bodyBytes.reset();
        }
        this->feed(event);
    }

    void finish(StepKind step, const StartAttempt &attempt)
    {
        if (step == StepKind::Head) {
            this->feed(ResponseHeadReceived{
                .at = this->time, .request = attempt.request, .attempt = attempt.attempt, .status = 200});
            return;
        }
        // After the head was forwarded, the upstream can no longer report that it did not run the request.
        auto &request = this->expected[attempt.request];
        const bool forwarded = request.forwarded == attempt.attempt;
        const bool proof
            = !forwarded && (step == StepKind::NotRun || step == StepKind::Refused || step == StepKind::NothingWritten);
        request.attemptsThatMayHaveRun += proof ? 0 : 1;
        // The parameter may refer to the removed element.
        const auto finished = attempt;
        this->remove(finished.request, finished.attempt);
        if (step == StepKind::Reset || step == StepKind::Refused || step == StepKind::NothingWritten) {
            this->feed(AttemptFailed{.at = this->time,
                                     .request = finished.request,
                                     .attempt = finished.attempt,
                                     .cause = step == StepKind::Refused && !forwarded ? Health::Cause::Refused
                                                                                      : Health::Cause::Reset,
                                     .nothingWritten = step == StepKind::NothingWritten && !forwarded});
        } else {
            if (step == StepKind::Draining) {
                this->feed(UpstreamAnnounced{.at = this->time, .upstream = finished.upstream, .leaving = true});
            }
            const unsigned status = step == StepKind::ServerError            ? 500
                                    : step == StepKind::NotRun && !forwarded ? 503
                                                                             : 200;
            this->feed(AttemptCompleted{.at = this->time,
                                        .request = finished.request,
                                        .attempt = finished.attempt,
                                        .status = status,
                                        .notRun = step == StepKind::NotRun && !forwarded});
        }
    }

    void feed(const Event &event)
    {
        for (const auto &effect : this->reducer.apply(event)) {
            std::visit(
                [this](const auto &alternative) {
                    this->check(alternative);
                },
                effect);
        }
    }

    void check(const StartAttempt &effect)
    {
        auto &request = this->expected.at(effect.request);
        RC_ASSERT(request.answers == 0);
        RC_ASSERT(request.idempotent || (request.running.empty() && request.attemptsThatMayHaveRun == 0));
        RC_ASSERT(effect.endpoint.address != this->leaving);
        RC_ASSERT(++this->inFlight[effect.upstream.upstream] <= this->slots.at(effect.upstream.upstream));
        request.running.insert(effect.attempt);
        this->running.emplace(effect.attempt, effect);
    }

    void check(const CancelAttempt &effect)
    {
        RC_ASSERT(this->running.contains(effect.attempt));
        ++this->expected.at(effect.request).attemptsThatMayHaveRun;
        this->remove(effect.request, effect.attempt);
    }

    void check(const ForwardAnswer &effect)
    {
        auto &request = this->expected.at(effect.request);
        RC_ASSERT(++request.answers == 1);
        RC_ASSERT(!request.callerDisconnected);
        request.forwarded = effect.attempt;
    }

    void check(const RespondLocally &effect)
    {
        auto &request = this->expected.at(effect.request);
        RC_ASSERT(++request.answers == 1);
        RC_ASSERT(!request.callerDisconnected);
        RC_ASSERT(request.running.empty());
        RC_ASSERT((effect.outcome == Outcome::NotRun) == (request.attemptsThatMayHaveRun == 0));
    }

    void check(const AbortCaller &effect)
    {
        RC_ASSERT(this->expected.at(effect.request).forwarded != 0);
    }

    template<typename UncheckedEffect>
    void check(const UncheckedEffect & /*effect*/)
    {
    }

    void remove(RequestId request, AttemptId attempt)
    {
        --this->inFlight[this->running.at(attempt).upstream.upstream];
        this->running.erase(attempt);
        this->expected.at(request).running.erase(attempt);
    }

    Reducer reducer;
    TimePoint time{};
    std::uint64_t revision = 0;
    RequestId lastRequest = 0;
    std::map<RequestId, ExpectedState> expected;
    std::map<AttemptId, StartAttempt> running;
    std::map<std::string, unsigned> inFlight;
    std::map<std::string, unsigned> slots;
    std::string leaving;
};

} // namespace

// Guards against duplicate answers, repeated non-idempotent requests, wrong "not-run" outcomes, more requests than
// slots at an upstream, and lost requests.
TEST_CASE("the invariants of the reducer hold under random orders of events")
{
    const bool holds = rc::check([] {
        const auto command = rc::gen::construct<Command>(
            rc::gen::weightedOneOf<int>({{3, rc::gen::just(0)}, {4, rc::gen::inRange(0, StepCount)}}),
            rc::gen::inRange<unsigned>(0, 1000),
            rc::gen::inRange<unsigned>(0, 60));
        const auto commands = *rc::gen::scale(4, rc::gen::container<std::vector<Command>>(command));
        Host host;
        for (const auto &step : commands) {
            host.run(step);
        }
        host.finishAll();
    });
    CHECK(holds);
}
