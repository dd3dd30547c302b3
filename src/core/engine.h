#ifndef VERBENADOCK_CORE_ENGINE_H
#define VERBENADOCK_CORE_ENGINE_H

#include "budgets.h"
#include "callerlimits.h"
#include "fleetreserve.h"
#include "random.h"
#include "requestqueue.h"
#include "requesttable.h"
#include "routingtable.h"
#include "timerqueue.h"
#include "upstreampool.h"
#include "verbenadock/core/reducer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Verbenadock::Core::Internal {

/// State of one service. Its index in the engine's list is stable while requests refer to it.
struct ServiceState
{
    /// Index in the engine's list.
    std::uint32_t index = 0;
    std::string bundle;
    Bundles::Service service;
    bool configured = false;
    /// Queued requests are dispatched at the end of the current event.
    bool dispatchScheduled = false;
    UpstreamPool pool;
    std::optional<Health::ServiceDetector> detector;
    TimePoint evaluatedAt{};
    /// Next deadline of the detector, as of the last evaluation.
    std::optional<TimePoint> detectorDeadline;
    AttemptBudget retries;
    AttemptBudget hedges;
    FleetReserve reserve;
    LatencyTracker latency;
    /// Once a shutdown accepts no more requests: the last time at which work can begin that ends before the limit.
    std::optional<TimePoint> lastStartAt;
    /// The requests that had not been sent by then were withdrawn.
    bool startsEnded = false;
    RequestQueue queue;
    std::size_t openRequests = 0;
};

/// Progress of a shutdown.
struct ShutdownState
{
    TimePoint stopAcceptingAt{};
    TimePoint limitAt{};
    bool stoppedAccepting = false;
};

/// Implementation of the reducer, in allowances.cpp, arrivals.cpp, attempts.cpp, configuration.cpp, dump.cpp,
/// engine.cpp and scheduling.cpp.
class Engine
{
public:
    explicit Engine(ReducerSettings initial);

    Effects apply(const Event &event);
    std::optional<TimePoint> nextDeadline() const;
    std::optional<KeyScope> keyScope(std::string_view host, std::string_view method, std::string_view target) const;
    bool maySend(RequestId request, AttemptId attempt, TimePoint now) const;
    bool ready() const;
    std::string dump(TimePoint at) const;

private:
    void on(const RequestArrived &event);
    void on(const ResponseHeadReceived &event);
    void on(const AttemptCompleted &event);
    void on(const AttemptFailed &event);
    void on(const UpstreamAnnounced &event);
    void on(const CallerDisconnected &event);
    void on(const ConfigurationChanged &event);
    void on(const HealthChanged &event);
    void on(const LeavingChanged &event);
    void on(const LoadChanged &event);
    void on(const DataCentreLoadChanged &event);
    void on(const ReserveUsed &event);
    void on(const ConfigurationConfirmed &event);
    void on(const AllowanceDecided &event);
    void on(const TimerExpired &event);
    void on(const ShutdownRequested &event);

    // arrivals.cpp
    std::optional<RouteTarget> admit(const RequestArrived &event);
    /// Weighted random choice; returns the index of the service.
    std::uint32_t chooseSplitService(const std::vector<SplitPart> &parts);
    /// Value of Retry-After for a caller that waits this long at most.
    Duration retryAfter(std::optional<Duration> timeLeft);
    /// Value of Retry-After for a request that was not run.
    Duration retryAfter(const Request &request);
    void reject(RequestId request,
                unsigned status,
                RejectionReason refusal,
                Duration retryAfter = Duration(0),
                RejectionView seen = {});
    RejectionView rejectionView(const Request &request) const;
    void failRequest(std::uint32_t slot, RejectionReason refusal);
    void closeRequest(std::uint32_t slot);
    void requestTimerExpired(std::uint32_t slot);

    // allowances.cpp
    /// The customer whose key the request bears; null for none.
    std::shared_ptr<const Bundles::Customer> requestCustomer(const RequestArrived &event, std::uint32_t bundle) const;
    /// Schedules the request, at once or when it is counted for the cap of its customer.
    void countAndSchedule(std::uint32_t slot);
    /// Takes back that a request was counted, or asks for it, if the request ends without being sent.
    void returnAllowance(const Request &request);

    // scheduling.cpp
    void schedule(std::uint32_t slot);
    void enqueue(std::uint32_t slot);
    /// Allows upstreams again at which the request failed, if no other one is left and they may be tried again.
    void readmitUpstreams(Request &request) const;
    /// Whether an upstream can take the request now or after a wait that leaves enough time for the work. `ahead` is
    /// the number of requests that wait in front of it.
    bool isServable(const Request &request, std::size_t ahead) const;
    RejectionReason unservableReason(const Request &request) const;
    /// Rejects queued requests that no upstream can take any more.
    void rejectUnservable(ServiceState &service);
    void dequeue(std::uint32_t slot);
    void dispatch(ServiceState &service);
    ConnectionPolicy connectionPolicy(const Request &request, const UpstreamState &upstream) const;
    void startAttempt(std::uint32_t slot, std::uint32_t upstream, bool hedge);
    void handleOverdueAttempt(std::uint32_t slot);
    /// Delay before a hedge; zero without enough samples.
    static Duration hedgeDelay(const Request &request, const ServiceState &service);
    void recordOverdue(ServiceState &service, std::uint32_t upstream);
    void updateTimer(std::uint32_t slot);

    // attempts.cpp
    struct RunningAttempt
    {
        std::uint32_t slot = 0;
        Attempt *attempt = nullptr;
    };
    std::optional<RunningAttempt> findRunningAttempt(RequestId request, AttemptId attempt);
    void endAttempt(std::uint32_t slot, Attempt &attempt, Health::Cause cause);
    void cancelActive(std::uint32_t slot, Health::Cause cause);
    void expireRequest(std::uint32_t slot);
    void forward(std::uint32_t slot, AttemptId attempt);
    bool retryInsteadOfForwarding(std::uint32_t slot);
    void retryOrFail(std::uint32_t slot, bool provenNotRun);
    /// Takes a token for a further attempt from the service's budget, or from the fleet reserve while more than
    /// `reserved` attempts remain there.
    bool takeAttemptToken(ServiceState &service, std::size_t reserved = 0);
    bool mayRetry(const Request &request, bool provenNotRun) const;
    /// Takes over which upstreams of the service are leaving.
    void leavingChanged(ServiceState &service);

    // engine.cpp
    ServiceState &serviceOf(const Request &request);
    const ServiceState &serviceOf(const Request &request) const;
    /// Reports this entry's requests in flight at the upstream to the other entries.
    void reportLoad(const ServiceState &service, std::uint32_t upstream);
    void record(ServiceState &service, std::uint32_t upstream, const Health::Sample &sample);
    /// Whether a failure after this latency came too early for the upstream to have done the usual work.
    static bool isEarly(const Request &request, const ServiceState &service, Duration latency);
    bool mayDelayEvaluation(const ServiceState &service, Health::Cause cause, Duration latency) const;
    void evaluate(ServiceState &service);
    void scheduleDispatch(ServiceState &service);
    void runScheduledDispatches();
    void updateTimer(const ServiceState &service);
    void advanceShutdown();
    /// Whether work on the request that begins now ends before the limit of a shutdown, as far as is known.
    bool endsBeforeShutdown(const Request &request, TimePoint at) const;
    void setLastStarts();
    void withdrawUnsent(ServiceState &service);
    void terminate();

    // configuration.cpp
    std::uint32_t findOrAddService(const std::string &bundle, const std::string &service);
    void configureService(std::uint32_t index, const std::string &bundle, const Bundles::Service &service);
    void removeService(ServiceState &service);
    /// Sets the services of the target; returns false when none of them is configured.
    bool resolveServices(const std::string &bundle, const Bundles::Route &route, RouteTarget &target) const;
    void buildRoutes(const Configuration &configured);
    void updateBundleTimes(const Configuration &configured);

    ReducerSettings settings;
    Random random;
    TimePoint now{};
    Effects effects;

    std::shared_ptr<const Configuration> configuration;
    TimePoint configuredAt{};
    /// Times at which this entry began to use the current version of each bundle.
    std::map<std::string, TimePoint> bundlesInForceSince;
    std::optional<TimePoint> leavingAt;
    std::optional<TimePoint> verdictsAt;
    std::unordered_set<std::string> leaving;

    std::shared_ptr<const RoutingTable> routes;
    std::vector<std::unique_ptr<ServiceState>> services;
    std::map<std::pair<std::string, std::string>, std::uint32_t> serviceIndices;
    std::vector<std::uint32_t> scheduledServices;
    CallerLimits callerLimits;

    RequestTable requests;
    TimerQueue requestTimers;
    TimerQueue serviceTimers;
    AttemptId lastAttempt = 0;
    std::uint64_t lastSequence = 0;

    std::optional<ShutdownState> shutdown;
    bool terminated = false;
};

} // namespace Verbenadock::Core::Internal

#endif
