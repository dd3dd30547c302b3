#ifndef VERBENADOCK_TEST_STANDINS_BEHAVIOUR_H
#define VERBENADOCK_TEST_STANDINS_BEHAVIOUR_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace Verbenadock::Standins {

/// What a stand-in upstream does with its requests. Rates are from 0 to 1.
struct Behaviour
{
    std::uint64_t slots = 4;
    /// Further requests are shed.
    std::uint64_t queueLimit = 8;
    std::int64_t serviceMs = 20;
    /// Slot time of a health probe.
    std::int64_t probeMs = 25;
    /// Cost of a new connection.
    std::int64_t connectMs = 1;
    std::uint64_t connectionLimit = 400;
    /// After a start the work is slower by the factor, falling to 1 over this time.
    std::int64_t coldStartMs = 0;
    double coldFactor = 5;
    /// Announces that it leaves, in all its answers; with refuseWork it also refuses new work as not run.
    bool draining = false;
    /// Value of the header that announces the leaving on the platform.
    std::string leavingValue = "1";
    bool refuseWork = false;
    double shedRate = 0;
    /// Value of Retry-After on each refusal with 503; none when empty.
    std::string retryAfter;
    /// A refusal is written once more when the next request arrives on its connection.
    double repeatRefusalRate = 0;
    /// A refusal bears no id.
    double anonymousRefusalRate = 0;
    /// Ignores X-Deadline-Ms.
    bool ignoreDeadline = false;
    bool echoAttemptId = true;
    /// Speaks the headers of the users' platform and rejects requests that expect another instance.
    bool platform = false;

    /// Gray modes. With flapMs they are on and off by turns of this length.
    std::int64_t flapMs = 0;
    /// When not empty, the gray modes concern only requests whose target contains this text.
    std::string onlyTargets;
    /// Work runs and is answered with 500; probes pass.
    double failRate = 0;
    double slowFactor = 1;
    double truncateRate = 0;
    /// Answers are held for this time after the work is done.
    std::int64_t lateMs = 0;
    /// The answers to two requests are swapped between their connections.
    double crossRate = 0;
    /// Never answers; the request counts as run.
    double hangRate = 0;
    /// Refuses connections.
    bool refuse = false;

    /// What /health says: "auto" for the truth, "up" or "down".
    std::string healthAnswer = "auto";
    /// Load that /load reports; negative for the truth.
    double loadAnswer = -1;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Behaviour,
                                   slots,
                                   queueLimit,
                                   serviceMs,
                                   probeMs,
                                   connectMs,
                                   connectionLimit,
                                   coldStartMs,
                                   coldFactor,
                                   draining,
                                   leavingValue,
                                   refuseWork,
                                   shedRate,
                                   retryAfter,
                                   repeatRefusalRate,
                                   anonymousRefusalRate,
                                   ignoreDeadline,
                                   echoAttemptId,
                                   platform,
                                   flapMs,
                                   onlyTargets,
                                   failRate,
                                   slowFactor,
                                   truncateRate,
                                   lateMs,
                                   crossRate,
                                   hangRate,
                                   refuse,
                                   healthAnswer,
                                   loadAnswer)

/// One run of a request. A run counts from the moment at which it has a slot, whatever becomes of it.
struct Execution
{
    std::string upstream;
    std::string requestId;
    std::string attemptId;
    /// The caller's own key, from X-Work-Id.
    std::string workId;
    /// Name of the customer, and the credentials that the upstream must not get.
    std::string customer;
    std::string authorization;
    std::string method;
    std::string target;
    /// "running", "completed", "failed", "hung" or "cancelled".
    std::string outcome = "running";
    /// Microseconds since 1970.
    std::int64_t startedUs = 0;
    bool whileDraining = false;
    /// Size and xxHash64 of the request body.
    std::uint64_t bytes = 0;
    std::string hash;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Execution,
                                   upstream,
                                   requestId,
                                   attemptId,
                                   workId,
                                   customer,
                                   authorization,
                                   method,
                                   target,
                                   outcome,
                                   startedUs,
                                   whileDraining,
                                   bytes,
                                   hash)

/// One request that reached an upstream, run or not.
struct Arrival
{
    std::string upstream;
    std::string requestId;
    /// Microseconds since 1970.
    std::int64_t atUs = 0;
    /// The answer announced that the upstream leaves.
    bool saidLeaving = false;
    /// Retry-After of the answer; empty for none.
    std::string askedPause;
    /// Time of the answer in microseconds since 1970; zero before.
    std::int64_t answeredUs = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Arrival, upstream, requestId, atUs, saidLeaving, askedPause, answeredUs)

} // namespace Verbenadock::Standins

#endif
