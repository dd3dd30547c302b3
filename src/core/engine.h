#ifndef VERBENADOCK_CORE_ENGINE_H
#define VERBENADOCK_CORE_ENGINE_H

#include "budgets.h"
#include "callerlimits.h"
#include "customertable.h"
#include "earlyreturns.h"
#include "fairshare.h"
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
    FairShare shares;
    std::size_t openRequests = 0;
};

/// What the configuration says about a request and its key.
struct CustomerAccess
{
    /// Nothing if the request may be sent.
    std::optional<RejectionReason> refusal = std::nullopt;
    /// Null for a request without a known key.
    std::shared_ptr<const Bundles::Customer> customer = nullptr;
    /// See StartAttempt::hidesCredentials.
    bool hidesCredentials = false;
};

/// Progress of a shutdown.
struct ShutdownState
{
    TimePoint stopAcceptingAt{};
    TimePoint limitAt{};
    bool stoppedAccepting = false;
};

/// Implementation of the reducer, in allowances.cpp, arrivals.cpp, attempts.cpp, configuration.cpp, customeraccess.cpp,
/// dump.cpp, engine.cpp, explanation.cpp, fairscheduling.cpp and scheduling.cpp.
class Engine
{
public:
    explicit Engine(ReducerSettings initial);

    Effects apply(const Event &event);
    std::optional<TimePoint> nextDeadline() const;
    std::optional<KeyScope> keyScope(std::string_view host, std::string_view method, std::string_view target) const;
    bool isIdempotent(std::string_view host, std::string_view method, std::string_view target) const;
    bool maySend(RequestId request, AttemptId attempt, TimePoint now) const;
    bool ready() const;
    std::string dump(TimePoint at) const;
    std::string explain(const RouteQuery &query, TimePoint at) const;

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
    void on(const ConfigurationSuperseded &event);
    void on(const AllowanceDecided &event);
    void on(const TimerExpired &event);
    void on(const ShutdownRequested &event);

    // customeraccess.cpp
    static constexpr unsigned Unauthorized = 401;
    static constexpr unsigned ServiceUnavailable = 503;
    /// Rejects a request for which the configuration in force has no route.
    void rejectUnrouted(const RequestArrived &event);
    RejectionReason missingRouteReason(TimePoint at) const;
    /// Whether the configuration was the newest one of the store until shortly before.
    bool hasNewestConfiguration(TimePoint at) const;
    /// Whether the configuration was the newest one of the store at most this long ago.
    bool confirmedWithin(Duration limit, TimePoint at) const;
    CustomerAccess accessOf(const std::string &bundle,
                            const std::optional<Bundles::KeyDigest> &key,
                            bool isPublic,
                            TimePoint at) const;
    CustomerAccess accessOf(const Request &request, TimePoint at) const;
    /// Whether the configuration still gives the credentials with which the attempt was started.
    bool hasCurrentCredentials(const Request &request, const Attempt &attempt, TimePoint at) const;
    /// Checks the key of an arriving request and rejects the request if the key does not admit it.
    bool admitCustomer(const RequestArrived &event, const RouteTarget &target);
    void setCustomer(Request &request, const RequestArrived &event, const RouteTarget &target);
    /// Sets the customer of the request by the current configuration. Returns the reason if no further attempt may
    /// start. The request must have no active attempt.
    std::optional<RejectionReason> renewCustomer(Request &request);
    /// Fails the request if its key admits no further attempt; otherwise returns true.
    bool recheckCustomer(std::uint32_t slot);
    void configureCustomers(const Configuration &configured);

    // arrivals.cpp
    std::optional<RouteTarget> admit(const RequestArrived &event);
    /// Choice by weight; returns the index of the service.
    std::uint32_t chooseSplitService(const RouteTarget &target);
    /// Position in [0, 1) of the next request of a route with a split.
    double nextSplitPosition(const RouteTarget &target);
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
    /// Schedules the request, at once or when it is counted for the cap of its customer.
    void countAndSchedule(std::uint32_t slot);
    /// Counts a request that was not sent again if its key moved to another customer, and for the first time if its
    /// customer has a cap only now. Returns whether the request waits for that or has ended.
    bool recount(std::uint32_t slot);
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

    // fairscheduling.cpp; for services with fair sharing
    void scheduleFairly(std::uint32_t slot);
    void enqueueFairly(std::uint32_t slot);
    void dispatchFairly(ServiceState &service);
    /// Load in percent of the slots from which an upstream has no room for the request. It falls with what the customer
    /// or route holds above its share, so that all entries together leave room for the others.
    unsigned loadLimitPercent(const Request &request) const;
    /// Starts the request unless no upstream has room.
    bool startIfRoom(std::uint32_t slot);
    /// Moves the queued request behind those that can still meet their target latency.
    void defer(std::uint32_t slot);
    bool missesTarget(const Request &request) const;
    /// Whether the request can be answered before its deadline behind this number of queued requests.
    bool isInTime(const Request &request, std::size_t ahead) const;
    /// Rejects queued requests that cannot be answered before their deadline.
    void rejectHopeless(ServiceState &service);
    /// The queued request that is rejected first when there is no room for all.
    const QueuePosition &leastClaim(const ServiceState &service) const;
    RejectionReason reasonOfRejection(const Request &request, RejectionReason otherwise) const;
    static ShareKey shareKey(const Request &request);
    static std::size_t countInFlight(const ServiceState &service);
    static Duration usualWork(const Request &request, const ServiceState &service);
    /// Charges the request to its share unless this was done; returns the start tag.
    Duration chargeShare(Request &request);
    void releaseShare(Request &request);
    /// Value of Retry-After for a request that was not run; remembers when its caller may return.
    Duration fairRetryAfter(const Request &request);
    std::optional<ShareView> shareView(const Request &request) const;

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

    // explanation.cpp
    /// The rejection of a request before a service is chosen; nothing if there is none.
    std::optional<RejectionReason> refusalOf(const RouteTarget &target,
                                             const Bundles::Customer *customer,
                                             TimePoint at) const;
    /// The request of a query, as if it arrived now.
    Request probeOf(const RouteTarget &target, std::uint32_t service, const Bundles::Customer *customer) const;
    struct ServiceExplanation;
    ServiceExplanation explainService(const Request &request, TimePoint at) const;
    /// Whether a request that is not queued yet would be rejected before the queued ones. A higher priority than theirs
    /// keeps it from that.
    bool hasLeastClaim(const Request &request) const;
    /// The rejection of a request that has to wait; nothing if it may.
    std::optional<RejectionReason> queueRejection(const Request &request) const;
    /// The same, if no upstream may be able to serve it.
    std::optional<RejectionReason> rejectionWithoutRoom(const Request &request, TimePoint at) const;

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
    /// Last time at which the configuration in force was known to be the newest one.
    std::optional<TimePoint> confirmedAt;
    /// This entry heard of a newer configuration than the one in force.
    bool isSuperseded = false;
    /// By name of the bundle; only bundles with customers.
    std::map<std::string, CustomerTable> customers;
    std::optional<TimePoint> leavingAt;
    std::optional<TimePoint> verdictsAt;
    std::unordered_set<std::string> leaving;

    std::shared_ptr<const RoutingTable> routes;
    /// Last position in each route's sequence, which starts at random.
    std::vector<std::optional<double>> splitPositions;
    std::vector<std::unique_ptr<ServiceState>> services;
    std::map<std::pair<std::string, std::string>, std::uint32_t> serviceIndices;
    std::vector<std::uint32_t> scheduledServices;
    CallerLimits callerLimits;
    EarlyReturns earlyReturns;

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
