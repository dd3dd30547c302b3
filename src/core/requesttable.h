#ifndef VERBENADOCK_CORE_REQUESTTABLE_H
#define VERBENADOCK_CORE_REQUESTTABLE_H

#include "fairshare.h"
#include "requestqueue.h"
#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/bundle/bundle.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Verbenadock::Core::Internal {

/// One attempt to have a request answered by an upstream.
struct Attempt
{
    AttemptId id = 0;
    /// Index in the service's upstream pool.
    std::uint32_t upstream = 0;
    TimePoint startedAt{};
    /// Latency up to the head of a streamed answer; zero before.
    Duration headLatency{0};
    bool active = true;
    bool hedge = false;
    /// The attempt ended and provably did not run the request.
    bool provenNotRun = false;
    /// The upstream answered that it did not run the request.
    bool shed = false;
    /// The attempt ended before any part of the request was sent.
    bool unsent = false;
    /// The detector already counted the attempt as overdue.
    bool overdue = false;
    /// The attempt failed on a stale pooled connection, which is no evidence against the upstream.
    bool staleConnection = false;
    /// Further attempts must use another upstream.
    bool excludesUpstream = true;
    /// The customer that the upstream is told; null for none.
    std::shared_ptr<const Bundles::Customer> customer = nullptr;
    bool hidesCredentials = false;
};

/// Work that was charged to a share for a request.
struct ShareCharge
{
    ShareKey key = 0;
    /// In seconds.
    double work = 0;
    bool started = false;

    auto operator<=>(const ShareCharge &) const = default;
};

/// Whether a request is counted for the cap of its customer.
enum class Counting {
    /// No cap applies.
    Uncapped,
    /// The request waits for the decision.
    Asked,
    Granted,
    Refused,
};

/// State of one caller's request.
struct Request
{
    RequestId id = 0;
    std::uint32_t service = 0;
    bool idempotent = false;
    /// Upstreams to which the request may be sent; zero if the route sets no limit.
    unsigned maxAttempts = 0;
    /// The customer whose key the request bears; null for none.
    std::shared_ptr<const Bundles::Customer> customer;
    Counting counting = Counting::Uncapped;
    /// The customer for which an allowance was asked; `customer` may change while the request waits.
    std::string countedCustomer = {};
    /// Digest of the key with which the request was admitted.
    std::optional<Bundles::KeyDigest> key;
    /// The route requires no key.
    bool isPublic = false;
    /// Time within which the answer should arrive; zero if the route sets none.
    Duration targetLatency{0};
    /// The body is expensive to send to another data centre.
    bool hasLargeBody = false;
    /// Load in percent of the slots of the upstream that was full when the request was rejected; for the log only.
    unsigned bestLoadPercent = 0;
    /// The whole body is buffered, so that it can be sent again.
    bool replayable = true;
    Bundles::Priority priority = Bundles::Priority::Normal;
    TimePoint deadline{};
    /// Time at which the caller stops waiting, if the request states it.
    std::optional<TimePoint> callerDeadline;
    TimePoint arrivedAt{};
    /// Hash of the caller's name or address.
    std::uint64_t caller = 0;
    /// The caller often comes back before its Retry-After.
    bool returnsEarly = false;
    /// When the request arrived, its customer or route was served far less often than all.
    bool isNeglected = false;
    /// Identity of the route for fair sharing without customers.
    ShareKey route = 0;
    std::optional<ShareCharge> shareCharge;
    /// Time that the ended attempts took.
    Duration workDone{0};
    std::vector<Attempt> attempts;
    std::optional<QueuePosition> queued;
    /// Time at which the request was queued last, and its wait in the queue before that.
    TimePoint queuedAt{};
    Duration queueWait{0};
    /// Time at which the request is rejected if it is still queued.
    TimePoint queueExpiry{};
    /// Time at which the running attempt becomes overdue.
    std::optional<TimePoint> overdueAt;
    /// Attempts before this index no longer exclude their upstreams.
    std::size_t firstExcludingAttempt = 0;
    /// A part of a body that is not replayable was sent.
    bool bodyConsumed = false;
    /// Attempt whose answer is forwarded to the caller; zero before.
    AttemptId forwardedAttempt = 0;
    bool callerDisconnected = false;

    Attempt *find(AttemptId attempt);
    const Attempt *find(AttemptId attempt) const;
    std::size_t activeAttempts() const;
    bool excludes(std::uint32_t upstream) const;
    bool allAttemptsShed() const;
    bool hadStaleConnection() const;
    /// Allows each upstream again whose only attempt failed on a stale connection.
    void readmitAfterStaleConnections();
    /// Whether any attempt, active ones included, may have run the request.
    bool mayHaveRun() const;
    /// Number of attempts that reached an upstream or may have.
    std::size_t sentAttempts() const;
    /// Whether the attempt limit of the route allows another upstream.
    bool allowsAnotherAttempt() const;
};

/// Open requests in reusable slots, so that other tables can refer to them by index.
///
/// Usage: open() a request, find() its slot by id, close() it when it is finished.
class RequestTable
{
public:
    /// Adds an empty request and returns its slot.
    std::uint32_t open(RequestId id);
    std::optional<std::uint32_t> find(RequestId id) const;
    Request &at(std::uint32_t slot);
    const Request &at(std::uint32_t slot) const;
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
