#include "load.h"

#include "callerconnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>

namespace Verbenadock::Measure {

namespace asio = boost::asio;

namespace {

/// State that the requests of one open loop share.
struct OpenLoop
{
    LoadPlan plan;
    ConnectionPool pool;
    std::vector<LoadResult> results;
    std::uint64_t running = 0;
    asio::steady_timer finished;

    OpenLoop(LoadPlan loadPlan, const asio::any_io_executor &executor)
        : plan(std::move(loadPlan))
        , pool(executor)
        , finished(executor, asio::steady_timer::time_point::max())
    {
    }
};

asio::awaitable<void> sendOne(std::shared_ptr<OpenLoop> loop, std::uint64_t number, TimePoint due)
{
    const LoadRequest request = loop->plan.request(number);
    LoadResult result = co_await loop->pool.exchange(request, loop->plan.timeout);
    result.number = number;
    result.due = due;
    result.latency = monotonicNow() - due;
    if (loop->plan.onResult) {
        loop->plan.onResult(request, result);
    }
    result.body.clear();
    loop->results.push_back(std::move(result));
    if (--loop->running == 0) {
        loop->finished.cancel();
    }
}

asio::awaitable<void> waitForRunning(OpenLoop &loop)
{
    while (loop.running > 0) {
        boost::system::error_code ignored;
        co_await loop.finished.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> keepBusy(std::shared_ptr<SaturationPlan> plan,
                               TimePoint end,
                               std::shared_ptr<std::uint64_t> answers)
{
    ConnectionPool pool(co_await asio::this_coro::executor);
    while (monotonicNow() < end) {
        const LoadResult result = co_await pool.exchange(plan->request, std::chrono::seconds(5));
        *answers += result.outcome == LoadOutcome::Answered ? 1 : 0;
    }
}

} // namespace

asio::awaitable<std::vector<LoadResult>> runOpenLoop(LoadPlan plan)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto loop = std::make_shared<OpenLoop>(std::move(plan), executor);
    std::mt19937_64 random(loop->plan.seed);
    std::exponential_distribution<double> gapSeconds(loop->plan.requestsPerSecond);

    asio::steady_timer timer(executor);
    TimePoint due = monotonicNow();
    const TimePoint end = due + loop->plan.length;
    for (std::uint64_t number = 0; due < end; ++number) {
        timer.expires_after(timeUntil(due));
        co_await timer.async_wait(asio::use_awaitable);
        ++loop->running;
        asio::co_spawn(executor, sendOne(loop, number, due), asio::detached);
        due += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gapSeconds(random)));
    }
    co_await waitForRunning(*loop);
    co_return std::move(loop->results);
}

asio::awaitable<std::uint64_t> runSaturation(SaturationPlan plan)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto shared = std::make_shared<SaturationPlan>(std::move(plan));
    const auto answers = std::make_shared<std::uint64_t>(0);
    const TimePoint end = monotonicNow() + shared->length;
    for (unsigned i = 0; i < shared->connections; ++i) {
        asio::co_spawn(executor, keepBusy(shared, end, answers), asio::detached);
    }
    asio::steady_timer timer(executor, timeUntil(end));
    co_await timer.async_wait(asio::use_awaitable);
    co_return *answers;
}

Duration latencyQuantile(const std::vector<LoadResult> &results, double fraction)
{
    std::vector<Duration> latencies;
    latencies.reserve(results.size());
    for (const LoadResult &result : results) {
        if (result.outcome == LoadOutcome::Answered) {
            latencies.push_back(result.latency);
        }
    }
    if (latencies.empty()) {
        return Duration::zero();
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(latencies.size())));
    const auto position
        = latencies.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, latencies.size()) - 1);
    std::nth_element(latencies.begin(), position, latencies.end());
    return *position;
}

std::uint64_t countOutcome(const std::vector<LoadResult> &results, LoadOutcome outcome)
{
    return static_cast<std::uint64_t>(
        std::count_if(results.begin(), results.end(), [outcome](const LoadResult &result) {
            return result.outcome == outcome;
        }));
}

} // namespace Verbenadock::Measure
