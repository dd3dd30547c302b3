#ifndef VERBENADOCK_TEST_CORE_SHARINGMODEL_H
#define VERBENADOCK_TEST_CORE_SHARINGMODEL_H

#include "random.h"
#include "sessionbuilder.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace Verbenadock::Core::Test {

/// Callers that share one route, which stands for a customer: shares of both are computed alike.
struct CallerGroup
{
    double requestsPerSecond = 1;
    /// Factor of the rate between the burst's begin and end.
    double burstFactor = 1;
    Bundles::Priority priority = Bundles::Priority::Normal;
    double workMs = 210;
    /// Further requests after a rejection, while time is left.
    int repetitions = 0;
    /// Repeats at once instead of after Retry-After.
    bool isImpatient = false;
    /// Processes that send the requests in turn.
    int processes = 50;
};

struct ModelSettings
{
    Bundles::Sharing sharing = Bundles::Sharing::Fair;
    int vms = 1;
    int upstreams = 70;
    unsigned slots = 2;
    /// Requests that an upstream queues in addition to its slots; beyond that it sheds.
    unsigned upstreamQueue = 8;
    double targetMs = 800;
    double deadlineMs = 2000;
    double reportMs = 100;
    /// Each process keeps its connection to one VM; otherwise each request goes to a random VM.
    bool keepsConnections = false;
    double burstFromMs = 0;
    double burstToMs = 0;
    /// Arrivals are counted from the first to the second time.
    double countFromMs = 0;
    double endMs = 10'000;
    std::uint64_t seed = 1;
    std::vector<CallerGroup> groups;
};

/// What callers of a group got.
struct GroupResult
{
    int sent = 0;
    int inTime = 0;
    int late = 0;
    /// Local answers by reason, repetitions included.
    std::map<RejectionReason, int> rejections;
    std::vector<double> retryAfterMs;

    double served() const
    {
        return this->sent == 0 ? 1 : static_cast<double>(this->inTime + this->late) / this->sent;
    }
    /// Value per request; a late answer has less than half of the value of one in time.
    double value() const
    {
        constexpr double LateValue = 0.4;
        return this->sent == 0 ? 1 : (this->inTime + LateValue * this->late) / this->sent;
    }
};

/// Runs reducers of several VMs against one service in virtual time. Requests are idempotent, arrive as a Poisson
/// process and go to random VMs.
class SharingModel
{
public:
    explicit SharingModel(ModelSettings initial);

    /// Returns the results by group.
    std::vector<GroupResult> run();

    /// Least time that was left until the deadline when a request that had waited was rejected without an attempt.
    double leastTimeLeftMs = 1e9;
    /// Largest Retry-After as a fraction of the time that the caller had left, and the smallest one of callers that had
    /// enough time left.
    double largestRetryAfterShare = 0;
    double smallestRetryAfterMs = 1e9;

private:
    struct Call
    {
        std::size_t group = 0;
        double sentMs = 0;
        int repetitionsLeft = 0;
        int process = 0;
        bool counted = false;
    };
    struct Open
    {
        Call call;
        std::size_t vm = 0;
        double arrivedMs = 0;
        bool started = false;
    };
    struct Job
    {
        RequestId request = 0;
        AttemptId attempt = 0;
        std::size_t vm = 0;
    };
    struct Upstream
    {
        std::vector<Job> running;
        std::deque<Job> waiting;
        std::map<std::size_t, unsigned> inFlightByVm;
        unsigned inFlight = 0;
    };
    struct Vm
    {
        Reducer reducer;
        double timerMs = 1e18;
        std::vector<unsigned> reported;
    };
    struct Action
    {
        double atMs = 0;
        std::uint64_t order = 0;
        std::function<void()> run;
    };
    struct Later
    {
        bool operator()(const Action &first, const Action &second) const
        {
            return std::tie(first.atMs, first.order) > std::tie(second.atMs, second.order);
        }
    };

    void later(double atMs, std::function<void()> action);
    void scheduleArrivals(std::size_t group);
    void send(const Call &call);
    void feed(std::size_t vm, const Event &event);
    void carryOut(std::size_t vm, const StartAttempt &effect);
    void carryOut(std::size_t vm, const CancelAttempt &effect);
    void carryOut(const RespondLocally &effect);
    void carryOut(const ForwardAnswer &effect);
    void startWork(std::size_t upstream);
    void finishWork(std::size_t upstream, const Job &job);
    bool removeJob(std::size_t upstream, RequestId request, AttemptId attempt);
    void report(std::size_t vm);

    ModelSettings settings;
    Internal::Random random;
    double nowMs = 0;
    std::uint64_t lastOrder = 0;
    RequestId lastRequest = 0;
    std::priority_queue<Action, std::vector<Action>, Later> actions;
    std::vector<Vm> vms;
    std::vector<Upstream> upstreams;
    std::map<RequestId, Open> open;
    std::map<std::pair<RequestId, AttemptId>, std::size_t> upstreamByAttempt;
    std::vector<GroupResult> results;
};

} // namespace Verbenadock::Core::Test

#endif
