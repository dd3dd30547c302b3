#ifndef VERBENADOCK_ALLOWANCE_ALLOWANCECLIENT_H
#define VERBENADOCK_ALLOWANCE_ALLOWANCECLIENT_H

#include "verbenadock/allowance/allowancepool.h"
#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/mesh/message.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Allowance {

/// The hubs that a VM may ask for tokens.
struct Hubs
{
    /// Up to two of the own data centre, in order; may contain this VM.
    std::vector<std::string> local;
    /// First hubs of the other data centres.
    std::vector<std::string> remote;

    auto operator<=>(const Hubs &) const = default;
};

/// A message and the VM that receives it.
struct AddressedMessage
{
    std::string vm;
    Mesh::Message message;

    auto operator<=>(const AddressedMessage &) const = default;
};

/// Whether a request may be sent.
struct Decision
{
    enum class Kind {
        /// The customer has no cap any more.
        Uncapped,
        GrantedLocally,
        GrantedByHub,
        OverCap,
        /// No hub answered.
        Unknown,
    };

    RequestId request = 0;
    Kind kind = Kind::Unknown;
    /// Time after which there is a token again; zero when unknown.
    Duration retryAfter{0};

    auto operator<=>(const Decision &) const = default;
};

/// Finds tokens for the requests of one VM and lends the share of this VM to hubs.
///
/// A request takes a token of the VM's own pool, or of an earlier grant. Otherwise it waits while hubs are asked one
/// after the other. There is one search per waiting request; a token goes to the request that has waited longest.
///
/// Usage: call the functions with each event, send the messages and carry out the decisions that they return, and call
/// advance() at nextDeadline().
class AllowanceClient
{
public:
    struct Update
    {
        std::vector<AddressedMessage> messages;
        std::vector<Decision> decisions;
        /// Times between a request to a hub and its answer.
        std::vector<Duration> roundTrips;
    };

    /// The pool must outlive the client. `incarnation` is the one of Mesh::Hello.
    AllowanceClient(AllowancePool &ownPool, std::string vm, std::uint64_t incarnation);

    /// The pool knows the registered VMs for the first time since the process started.
    void vmsKnown(TimePoint now);

    /// Decides on waiting requests whose customers the pool no longer caps. Call it when the caps changed.
    Update capsChanged(TimePoint now);

    void setHubs(Hubs newHubs);

    Update reserve(RequestId request, Mesh::CustomerNumber customer, TimePoint now);

    /// A request ended without being sent, or while it waited.
    void giveBack(RequestId request, TimePoint now);

    Update handle(const Mesh::AllowanceGrant &grant, TimePoint now);

    /// Renews loans and ends searches without an answer.
    Update advance(TimePoint now);

    std::optional<TimePoint> nextDeadline() const;

    std::size_t waitingCount() const;

private:
    struct Refusal
    {
        /// Until then the hub is not asked again for the customer.
        TimePoint until;
        TimePoint dueAt;
    };

    struct HubState
    {
        bool hasAnswered = false;
        unsigned timeouts = 0;
        TimePoint firstTimeoutAt;
        /// The hub is not asked again before, if it is silent.
        TimePoint askAgainAt;
        std::map<Mesh::CustomerNumber, Refusal> refusals;
    };

    struct Loan
    {
        Mesh::AllowanceParts parts;
        TimePoint until;
    };

    struct Search
    {
        Mesh::CustomerNumber customer = 0;
        std::vector<std::string> hubsLeft;
        /// Empty while the search waits before it asks all hubs again.
        std::string askedHub;
        TimePoint askedAt;
        TimePoint answerDueAt;
        TimePoint endsAt;
        /// Earliest time at which one of the hubs that refused has a token again.
        std::optional<TimePoint> dueAt;
    };

    /// A request to a hub for which no search waits any more; a late grant is used for later requests.
    struct AbandonedAsk
    {
        std::string hub;
        TimePoint askedAt;
    };

    /// A granted token, for the case that its request is not sent.
    struct UsedToken
    {
        Mesh::CustomerNumber customer = 0;
        /// Expiry of a token of a hub; absent for a token of the own pool.
        std::optional<TimePoint> expiresAt;
        TimePoint usedAt;
    };

    /// Whether the VMs have been known for a short time only.
    bool isStarting(TimePoint now) const;
    /// The hubs to ask, in order.
    std::vector<std::string> hubsToAsk() const;
    bool isSilent(const std::string &hub, TimePoint now) const;
    bool mayAsk(const std::string &hub, TimePoint now) const;
    void noteAnswer(const std::string &hub, Update &update, TimePoint now);
    void noteTimeout(const std::string &hub, TimePoint now);
    /// Takes a token for the request from the own pool or from a grant; returns the decision if there was one.
    std::optional<Decision> takeToken(RequestId request, Mesh::CustomerNumber customer, TimePoint now);
    /// Gives available tokens to waiting requests.
    void serveWaiting(Mesh::CustomerNumber customer, Update &update, TimePoint now);
    void startSearch(Mesh::CustomerNumber customer, Update &update, TimePoint now);
    /// Asks the next hub, or refuses the request that has waited longest.
    void continueSearch(Search search, Update &update, TimePoint now);
    void abandonAsk(std::map<std::uint64_t, Search>::iterator search);
    /// Ends searches beyond the number of waiting requests.
    void endSurplusSearches(Mesh::CustomerNumber customer);
    void renewLoans(Update &update, TimePoint now);
    void lendTo(const std::string &hub,
                const Mesh::AllowanceParts &wanted,
                std::uint64_t creditNumber,
                Update &update,
                TimePoint now);
    /// Parts lent to all hubs, or to all except one.
    Mesh::AllowanceParts lentParts(TimePoint now, const std::string &except) const;
    void forgetOldTokens(TimePoint now);

    AllowancePool &pool;
    std::string ownVm;
    std::uint64_t ownIncarnation;
    TimePoint keepsFrom = TimePoint::max();
    TimePoint startsUntil = TimePoint::max();
    /// Time of the next loans; never before the VMs are known.
    TimePoint loansDueAt = TimePoint::max();
    /// The hubs that give initial tokens for the loans of this VM, and the number and time of that order.
    std::vector<std::string> creditedHubs;
    std::uint64_t credit = 0;
    TimePoint creditedAt;
    Hubs hubs;
    std::map<std::string, HubState> hubStates;
    /// By hub. Several loans to a hub are in force when their parts differ.
    std::map<std::string, std::vector<Loan>> lent;
    std::map<Mesh::CustomerNumber, std::deque<RequestId>> waiting;
    /// By the number of the last message to a hub.
    std::map<std::uint64_t, Search> searches;
    std::map<std::uint64_t, AbandonedAsk> abandonedAsks;
    std::uint64_t lastNumber;
    /// Expiry times of granted tokens that no request has used.
    std::map<Mesh::CustomerNumber, std::deque<TimePoint>> grantedTokens;
    std::map<RequestId, UsedToken> usedTokens;
};

} // namespace Verbenadock::Allowance

#endif
