#ifndef VERBENADOCK_MEASURE_LOAD_H
#define VERBENADOCK_MEASURE_LOAD_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Verbenadock::Measure {

/// One request of a load.
struct LoadRequest
{
    Endpoint target;
    std::string method = "GET";
    std::string path = "/";
    /// Value of X-Caller-Id; empty for none.
    std::string caller;
    /// Value of X-Work-Id, by which upstreams record what they ran; empty for none.
    std::string workId;
    std::string body;
    /// Wait in the middle of the body.
    Duration bodyPause{0};

    auto operator<=>(const LoadRequest &) const = default;
};

/// What the caller learned.
enum class LoadOutcome {
    /// A whole answer of an upstream.
    Answered,
    /// Told that the request was not run.
    NotRun,
    /// Told that the outcome is unknown.
    Unknown,
    /// The connection broke or timed out without a whole answer.
    Broken,
};

struct LoadResult
{
    std::uint64_t number = 0;
    /// Whether a connection was open, so that the request may have been received.
    bool connected = false;
    LoadOutcome outcome = LoadOutcome::Broken;
    unsigned status = 0;
    /// When the request was due, and from then to the end of the answer.
    TimePoint due;
    Duration latency{0};
    std::string body;

    auto operator<=>(const LoadResult &) const = default;
};

/// Requests that are due at a fixed rate, whether or not earlier ones were answered (open loop).
struct LoadPlan
{
    double requestsPerSecond = 100;
    Duration length = std::chrono::seconds(10);
    Duration timeout = std::chrono::seconds(20);
    std::uint64_t seed = 1;
    std::function<LoadRequest(std::uint64_t number)> request;
    /// Called for each request that ended; may be empty.
    std::function<void(const LoadRequest &, const LoadResult &)> onResult;
};

/// Sends the load with exponential gaps between requests and returns all results once the last request has ended.
boost::asio::awaitable<std::vector<LoadResult>> runOpenLoop(LoadPlan plan);

/// Keeps a number of connections busy for a time, each with one request after another.
struct SaturationPlan
{
    unsigned connections = 64;
    Duration length = std::chrono::seconds(5);
    LoadRequest request;
};

/// Returns the number of whole answers.
boost::asio::awaitable<std::uint64_t> runSaturation(SaturationPlan plan);

/// Latency below which the fraction (0 to 1) of the answered requests stays; zero when none was answered.
Duration latencyQuantile(const std::vector<LoadResult> &results, double fraction);

/// Number of results with the outcome.
std::uint64_t countOutcome(const std::vector<LoadResult> &results, LoadOutcome outcome);

} // namespace Verbenadock::Measure

#endif
