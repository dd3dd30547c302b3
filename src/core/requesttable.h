#ifndef VERBENADOCK_CORE_REQUESTTABLE_H
#define VERBENADOCK_CORE_REQUESTTABLE_H

#include "requestqueue.h"
#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/bundle/bundle.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Verbenadock::Core::Internal {

/// One try to have a request answered by an upstream.
struct Attempt
{
    AttemptId id = 0;
    /// Index in the service's upstream pool.
    std::uint32_t upstream = 0;
    TimePoint startedAt{};
    /// Latency up to the head of an answer that streams; zero before.
    Duration headLatency{0};
    bool active = true;
    bool hedge = false;
    /// Ended with a proof that the request was not run.
    bool provenNotRun = false;
    /// The upstream answered that it did not run the request.
    bool shed = false;
    /// Ended before anything was sent.
    bool unsent = false;
    /// Counted as overdue by the detector.
    bool overdue = false;
    /// Failed because a pooled connection had gone silent or was closed, which says nothing about the upstream.
    bool staleConnection = false;
    /// Further attempts avoid the upstream.
    bool excludesUpstream = true;
};

/// State of one caller's request.
struct Request
{
    RequestId id = 0;
    std::uint32_t service = 0;
    bool idempotent = false;
    /// Upstreams to which the request may be sent; zero for no limit of the route's own.
    unsigned maxAttempts = 0;
    /// Time within which an answer is of full use; zero when it is not known.
    Duration targetLatency{0};
    /// The body is so long that the way to another data centre is dear.
    bool hasLargeBody = false;
    /// Requests for each 100 slots of the upstream that was full when the request was rejected; for the log only.
    unsigned bestLoadPercent = 0;
    /// The body can be sent again after a part of it was written.
    bool replayable = true;
    Bundles::Priority priority = Bundles::Priority::Normal;
    TimePoint deadline{};
    /// When the caller stops waiting, if it says so.
    std::optional<TimePoint> callerDeadline;
    std::vector<Attempt> attempts;
    std::optional<QueuePosition> queued;
    /// When a queued request is given up.
    TimePoint queueExpiry{};
    /// When the answer of the running attempt is much later than typical.
    std::optional<TimePoint> overdueAt;
    /// Attempts before this position no longer exclude their upstreams.
    std::size_t firstExcludingAttempt = 0;
    /// A part of a body that cannot be sent again was sent.
    bool bodyConsumed = false;
    /// The attempt whose answer is being passed on; zero before.
    AttemptId forwardedAttempt = 0;
    bool callerDisconnected = false;

    Attempt *find(AttemptId attempt);
    std::size_t activeAttempts() const;
    bool excludes(std::uint32_t upstream) const;
    bool allAttemptsShed() const;
    bool hadStaleConnection() const;
    /// Admits each upstream again whose only attempt failed for a stale connection.
    void readmitAfterStaleConnections();
    /// Whether any attempt, active ones included, may have run the request.
    bool mayHaveRun() const;
    /// Attempts that reached an upstream, or may have.
    std::size_t sentAttempts() const;
    /// Whether the route allows one more upstream.
    bool allowsAnotherAttempt() const;
};

/// Requests in slots that are reused, so that other tables can refer to them by index.
///
/// Usage: open() a request, find() its slot by id, close() it when nothing more happens.
class RequestTable
{
public:
    /// The slot of a new, empty request.
    std::uint32_t open(RequestId id);
    std::optional<std::uint32_t> find(RequestId id) const;
    Request &at(std::uint32_t slot);
    void close(std::uint32_t slot);

    std::size_t size() const;
    /// Slots of all open requests, in the order of their ids.
    std::vector<std::uint32_t> openSlots() const;

private:
    std::vector<Request> requests;
    std::vector<std::uint32_t> freeSlots;
    std::unordered_map<RequestId, std::uint32_t> slotById;
};

} // namespace Verbenadock::Core::Internal

#endif
