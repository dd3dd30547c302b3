#ifndef VERBENADOCK_CORE_FAIRSHARE_H
#define VERBENADOCK_CORE_FAIRSHARE_H

#include "verbenadock/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace Verbenadock::Core::Internal {

/// Identity of a customer or of a route; equal at all entries and in all configurations.
using ShareKey = std::uint64_t;

ShareKey customerKey(std::string_view customer);
ShareKey routeKey(std::string_view host, std::string_view pathPrefix);

/// Shares of customers, or of routes without customers, in the work of one service at this entry. Work is the time in
/// seconds that requests take at upstreams. Designed for 7 to 17 requests per second, of which a customer sends between
/// two per second and one in ten seconds.
///
/// Usage: noteOffered() each request and charge() it; start() it when it is sent to an upstream; then refund() it if it
/// was not run, or settle() it with the time that it took. Of the queued requests the one with the lowest start tag
/// goes first.
class FairShare
{
public:
    void noteOffered(ShareKey key, TimePoint now);
    /// Returns the start tag of start-time fair queueing: the service that the key has received, in seconds of work.
    double charge(ShareKey key, double work, TimePoint now);
    /// The charged request is sent to an upstream.
    void start(ShareKey key, double work, TimePoint now);
    void refund(ShareKey key, double work, bool wasStarted, TimePoint now);
    /// Replaces the estimated work by the actual one, which also improves the next estimates.
    void settle(ShareKey key, double estimated, double actual, TimePoint now);
    /// A queued request with this start tag was started.
    void advance(double startTag);

    /// Expected work of a request of the key; `usual` if nothing is known about the key.
    double expectedWork(ShareKey key, double usual) const;

    /// Work of the last seconds that the key holds: queued, in flight and done.
    double held(ShareKey key, TimePoint now) const;
    /// Held work of all keys divided by the number of keys that hold any.
    double equalShare(TimePoint now) const;
    /// Whether the key is served far less often than all.
    bool isNeglected(ShareKey key, TimePoint now) const;
    /// Held work of the key, without queued requests, as a multiple of what each other key holds on average; 1 if there
    /// is no other one.
    double ratioToOthers(ShareKey key, TimePoint now) const;
    /// Whether the key holds more than the equal share, and other keys hold work too.
    bool isAboveShare(ShareKey key, TimePoint now) const;
    std::size_t countAboveShare(TimePoint now) const;

    /// Number of keys that are remembered.
    std::size_t size() const;

private:
    struct Account
    {
        /// Work of requests that were started; decays exponentially.
        double held = 0;
        /// Work of queued requests.
        double waiting = 0;
        /// Requests of the last seconds, and those of them that were started; decay exponentially.
        double offered = 0;
        double started = 0;
        /// Finish tag of the last request; its distance from the virtual time decays exponentially.
        double finishTag = 0;
        /// Smoothed work of a request.
        std::optional<double> usualWork;
        TimePoint updatedAt{};
    };

    Account &accountFor(ShareKey key, TimePoint now);
    void evictLeast(TimePoint now);
    static double startedWork(const Account &account, TimePoint now);
    static double heldAt(const Account &account, TimePoint now);

    double virtualTime = 0;
    std::unordered_map<ShareKey, Account> accounts;
};

} // namespace Verbenadock::Core::Internal

#endif
