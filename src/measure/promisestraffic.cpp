#include "promisestraffic.h"

#include "callerconnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <random>

namespace Verbenadock::Measure {

namespace asio = boost::asio;

namespace {

constexpr double CallsPerSecond = 300;
constexpr double ClaimShare = 0.4;
constexpr double UploadShare = 0.03;
constexpr Duration CallTimeout = std::chrono::seconds(30);
constexpr std::size_t UploadBytes = 300'000;
/// A slow upload takes longer than an entry waits before it stops accepting.
constexpr Duration SlowUploadPause = std::chrono::milliseconds(1500);
constexpr double SlowUploadShare = 0.4;
/// No answer, one that is held back, and one that is streamed.
constexpr std::array<std::size_t, 3> Paddings = {0, 2'000, 100'000};
constexpr std::size_t MostTries = 40;
constexpr Duration RetryWait = std::chrono::milliseconds(250);

struct Traffic
{
    TrafficPlan plan;
    ConnectionPool pool;
    std::mt19937_64 random;
    std::vector<Call> calls;
    std::uint64_t running = 0;
    asio::steady_timer finished;

    Traffic(TrafficPlan trafficPlan, const asio::any_io_executor &executor)
        : plan(std::move(trafficPlan))
        , pool(executor)
        , random(plan.seed)
        , finished(executor, asio::steady_timer::time_point::max())
    {
    }

    double fraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    std::uint64_t below(std::uint64_t bound)
    {
        return this->random() % bound;
    }
};

struct PlannedCall
{
    Call call;
    LoadRequest request;
};

std::string randomBody(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string body(UploadBytes, '\0');
    for (char &byte : body) {
        byte = static_cast<char>(random());
    }
    return body;
}

std::string hashOf(const std::string &body)
{
    std::array<char, 17> text{};
    std::snprintf(
        text.data(), text.size(), "%016llx", static_cast<unsigned long long>(XXH64(body.data(), body.size(), 0)));
    return text.data();
}

void planUpload(Traffic &traffic, PlannedCall &planned)
{
    planned.call.kind = CallKind::Upload;
    planned.call.path = traffic.plan.uploads + "/scan";
    planned.request.method = traffic.below(2) == 0 ? "PUT" : "POST";
    planned.request.body = randomBody(traffic.random());
    planned.request.bodyPause = traffic.fraction() < SlowUploadShare ? SlowUploadPause : Duration(0);
}

void planClaim(Traffic &traffic, PlannedCall &planned)
{
    planned.call.kind = CallKind::Claim;
    planned.call.path = traffic.plan.claims + "/item";
    planned.request.method = "POST";
    planned.request.body = "{\"claim\": \"" + planned.call.workId + "\"}";
}

void planSearch(Traffic &traffic, PlannedCall &planned)
{
    planned.call.padding = Paddings[traffic.below(Paddings.size())];
    planned.call.path = traffic.plan.searches + "/keys?q=" + planned.call.workId
                        + "&size=" + std::to_string(planned.call.padding) + (traffic.below(2) == 0 ? "&chunked=1" : "");
}

PlannedCall planCall(Traffic &traffic, std::uint64_t number)
{
    PlannedCall planned;
    planned.call.workId = "w" + std::to_string(traffic.plan.seed) + "-" + std::to_string(number);
    const double kind = traffic.fraction();
    if (kind < UploadShare) {
        planUpload(traffic, planned);
    } else if (kind < UploadShare + ClaimShare) {
        planClaim(traffic, planned);
    } else {
        planSearch(traffic, planned);
    }
    planned.request.path = planned.call.path;
    planned.request.workId = planned.call.workId;
    planned.call.bodyBytes = planned.request.body.size();
    planned.call.bodyHash = hashOf(planned.request.body);
    return planned;
}

void checkAnswer(Call &call, const LoadResult &result)
{
    // Failures that upstreams report have no body that could be checked.
    if (result.outcome != LoadOutcome::Answered || result.status != 200) {
        return;
    }
    const auto body = nlohmann::json::parse(result.body, nullptr, false);
    if (!body.is_object() || body.value("padding", std::string()).size() != call.padding) {
        call.incomplete = true;
        return;
    }
    call.crossed = body.value("workId", "") != call.workId || body.value("target", "") != call.path
                   || body.value("hash", "") != call.bodyHash;
}

bool sendsAgain(const Call &call)
{
    const CallTry &last = call.tries.back();
    const bool refused = last.outcome == LoadOutcome::NotRun && call.kind == CallKind::Upload;
    return (!last.connected || refused) && call.tries.size() < MostTries;
}

asio::awaitable<void> makeCall(std::shared_ptr<Traffic> traffic, PlannedCall planned)
{
    Call &call = planned.call;
    const bool direct = traffic->below(2) == 0;
    do {
        if (!call.tries.empty()) {
            asio::steady_timer timer(co_await asio::this_coro::executor, RetryWait);
            co_await timer.async_wait(asio::use_awaitable);
        }
        const auto &entries = traffic->plan.entries;
        planned.request.target = direct ? entries[traffic->below(entries.size())] : traffic->plan.balancer;
        const TimePoint startedAt = monotonicNow();
        const LoadResult result = co_await traffic->pool.exchange(planned.request, CallTimeout);
        call.tries.push_back({.startedAt = startedAt,
                              .endedAt = monotonicNow(),
                              .target = planned.request.target,
                              .connected = result.connected,
                              .outcome = result.outcome,
                              .status = result.status});
        checkAnswer(call, result);
    } while (sendsAgain(call));
    traffic->calls.push_back(std::move(call));
    if (--traffic->running == 0) {
        traffic->finished.cancel();
    }
}

} // namespace

asio::awaitable<std::vector<Call>> runTraffic(TrafficPlan plan)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto traffic = std::make_shared<Traffic>(std::move(plan), executor);
    std::exponential_distribution<double> gapSeconds(CallsPerSecond);
    asio::steady_timer timer(executor);
    TimePoint due = monotonicNow();
    const TimePoint end = due + traffic->plan.length;
    for (std::uint64_t number = 0; due < end; ++number) {
        timer.expires_after(timeUntil(due));
        co_await timer.async_wait(asio::use_awaitable);
        ++traffic->running;
        asio::co_spawn(executor, makeCall(traffic, planCall(*traffic, number)), asio::detached);
        due += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gapSeconds(traffic->random)));
    }
    while (traffic->running > 0) {
        boost::system::error_code ignored;
        co_await traffic->finished.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::move(traffic->calls);
}

} // namespace Verbenadock::Measure
