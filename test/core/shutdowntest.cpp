// Requests that have not been sent to an upstream when a shutdown leaves too little time for their work.
#include "sessionbuilder.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;

namespace {

constexpr double WorkMs = 1000;
/// Times of the shutdown: its begin, the end of accepting, the last start of work of WorkMs, and the limit.
constexpr double BeginMs = 100'000;
constexpr double StopAcceptingMs = BeginMs + 2000;
constexpr double LastStartMs = BeginMs + 4000;
constexpr double LimitMs = BeginMs + 5000;

/// A reducer that has seen answers after WorkMs.
Reducer experiencedReducer(unsigned upstreams, unsigned slots, int answers = 40)
{
    Reducer reducer(ReducerSettings{.dataCentre = "a", .seed = 7, .requestLimit = 1000});
    reducer.apply(configure(makeConfiguration(makeService(upstreams, slots))));
    for (int number = 0; number < answers; ++number) {
        const double time = number * 2 * WorkMs;
        const auto attempt
            = only<StartAttempt>(reducer.apply(arrival(1000 + static_cast<RequestId>(number), "POST", at(time)))).at(0);
        reducer.apply(AttemptCompleted{
            .at = at(time + WorkMs), .request = attempt.request, .attempt = attempt.attempt, .status = 200});
    }
    return reducer;
}

void beginShutdown(Reducer &reducer)
{
    reducer.apply(ShutdownRequested{
        .at = at(BeginMs), .drainDelay = std::chrono::milliseconds(2000), .limit = std::chrono::milliseconds(5000)});
}

AttemptFailed withdrawn(const StartAttempt &attempt, double time)
{
    return {.at = at(time),
            .request = attempt.request,
            .attempt = attempt.attempt,
            .cause = Health::Cause::Cancelled,
            .nothingWritten = true};
}

} // namespace

// Guards against requests that are sent late in a shutdown and cut off at its limit while an upstream works on them.
TEST_CASE("an attempt that has not been sent is withdrawn when its work cannot end before the limit of a shutdown")
{
    auto reducer = experiencedReducer(2, 4);
    beginShutdown(reducer);
    const auto waiting = only<StartAttempt>(reducer.apply(arrival(1, "POST", at(BeginMs + 100)))).at(0);
    CHECK(only<WithdrawUnsentAttempts>(reducer.apply(TimerExpired{.at = at(StopAcceptingMs)})).empty());
    CHECK(reducer.maySend(1, waiting.attempt, at(LastStartMs)));
    CHECK_FALSE(reducer.maySend(1, waiting.attempt, at(LastStartMs + 1)));
    auto next = reducer.nextDeadline();
    for (; next && *next <= at(LastStartMs); next = reducer.nextDeadline()) {
        reducer.apply(TimerExpired{.at = *next});
    }
    REQUIRE(next);
    CHECK(*next <= at(LastStartMs + 1));
    const auto effects = reducer.apply(TimerExpired{.at = at(LastStartMs + 1)});
    CHECK(only<WithdrawUnsentAttempts>(effects) == std::vector{WithdrawUnsentAttempts{.request = 1}});
    const auto answers = reducer.apply(withdrawn(waiting, LastStartMs + 2));
    REQUIRE(only<RespondLocally>(answers).size() == 1);
    CHECK(only<RespondLocally>(answers).front().status == 503);
    CHECK(only<RespondLocally>(answers).front().outcome == Outcome::NotRun);
    CHECK(only<RespondLocally>(answers).front().refusal == RejectionReason::ShuttingDown);
    CHECK(only<Terminate>(answers) == std::vector{Terminate{.clean = true}});
}

// Guards against counting on a short latency that nobody has seen.
TEST_CASE("without earlier answers only requests whose deadline precedes the limit are sent late in a shutdown")
{
    auto reducer = experiencedReducer(2, 4, 0);
    beginShutdown(reducer);
    const auto unlimited = only<StartAttempt>(reducer.apply(arrival(1, "POST", at(BeginMs + 100)))).at(0);
    auto event = arrival(2, "POST", at(BeginMs + 100));
    event.timeLeft = std::chrono::milliseconds(4500);
    const auto limited = only<StartAttempt>(reducer.apply(event)).at(0);
    const auto effects = reducer.apply(TimerExpired{.at = at(StopAcceptingMs)});
    CHECK(only<WithdrawUnsentAttempts>(effects) == std::vector{WithdrawUnsentAttempts{.request = 1}});
    CHECK_FALSE(reducer.maySend(1, unlimited.attempt, at(StopAcceptingMs + 1)));
    CHECK(reducer.maySend(2, limited.attempt, at(StopAcceptingMs + 1)));
}

// Guards against queued requests that are closed without a promise, and against ones that get a slot too late.
TEST_CASE("a queued request is rejected as not run when its work cannot end before the limit of a shutdown")
{
    auto reducer = experiencedReducer(1, 1);
    const auto running = only<StartAttempt>(reducer.apply(arrival(1, "POST", at(BeginMs - 100)))).at(0);
    CHECK(reducer.apply(arrival(2, "POST", at(BeginMs - 50))).empty());
    beginShutdown(reducer);
    reducer.apply(TimerExpired{.at = at(StopAcceptingMs)});
    const auto rejected = only<RespondLocally>(reducer.apply(TimerExpired{.at = at(LastStartMs + 1)}));
    REQUIRE(rejected.size() == 1);
    CHECK(rejected.front().request == 2);
    CHECK(rejected.front().outcome == Outcome::NotRun);
    const auto last = reducer.apply(
        AttemptCompleted{.at = at(LimitMs - 1), .request = running.request, .attempt = running.attempt, .status = 200});
    CHECK(only<ForwardAnswer>(last).size() == 1);
    CHECK(only<Terminate>(last) == std::vector{Terminate{.clean = true}});
}

// Guards against retries whose work is cut off at the limit: the caller gets what is known instead.
TEST_CASE("a failed request is not tried again when its work cannot end before the limit of a shutdown")
{
    auto reducer = experiencedReducer(2, 4);
    const auto attempt = only<StartAttempt>(reducer.apply(arrival(1, "GET", at(BeginMs)))).at(0);
    beginShutdown(reducer);
    reducer.apply(TimerExpired{.at = at(StopAcceptingMs)});
    const bool late = GENERATE(false, true);
    const auto time = late ? LastStartMs + 1 : LastStartMs;
    const auto effects
        = reducer.apply(AttemptCompleted{.at = at(time), .request = 1, .attempt = attempt.attempt, .status = 500});
    CHECK(only<StartAttempt>(effects).size() == (late ? 0 : 1));
    CHECK(only<ForwardAnswer>(effects).size() == (late ? 1 : 0));
}
