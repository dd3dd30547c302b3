#ifndef VERBENADOCK_PROXY_UPSTREAMPOOL_H
#define VERBENADOCK_PROXY_UPSTREAMPOOL_H

#include "httpparser.h"
#include "io.h"
#include "proxymetrics.h"
#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/settings/settings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace Verbenadock::Proxy::internal {

/// A connection to an upstream. Owned by one attempt while in use and by the pool while idle.
struct UpstreamConnection
{
    explicit UpstreamConnection(const Executor &executor);

    /// Closes the socket; a second call has no effect.
    void close();

    /// Unique within the process.
    std::uint64_t number = 0;
    Socket socket;
    Buffer buffer;
    TimePoint openedAt{};
    TimePoint lastAnswerAt{};
    /// Whether the connection carried an answer before the present request.
    bool reused = false;
};

/// State of the pool for one endpoint.
struct UpstreamPeer
{
    tcp::endpoint address;
    /// Ordered by last use; the most recently used connection is the last.
    std::vector<std::unique_ptr<UpstreamConnection>> idle;
    /// Opening time and last answer of the most recently opened connection that has answered.
    TimePoint newestOpenedAt{};
    TimePoint newestAnsweredAt{};
    TimePoint lastUsedAt{};
};

/// Pool of idle connections to all upstreams.
class UpstreamPool
{
public:
    UpstreamPool(const Settings::EntryLimits &entryLimits, ProxyMetrics &proxyMetrics);

    /// Applies changed limits, also to the connections that are idle already.
    void setLimits(const Settings::EntryLimits &entryLimits);

    /// Returns the state of the endpoint, created on first use. Null if the address is no IP address.
    std::shared_ptr<UpstreamPeer> peer(const Endpoint &endpoint);

    /// Takes an idle connection that the policy allows, that is not one of the excluded numbers and that has nothing to
    /// read. Null if there is none.
    std::unique_ptr<UpstreamConnection> takeIdle(UpstreamPeer &peer,
                                                 Core::ConnectionPolicy policy,
                                                 const std::vector<std::uint64_t> &excluded,
                                                 TimePoint now);

    std::unique_ptr<UpstreamConnection> makeConnection(const Executor &executor);

    /// Returns a connection that just carried a complete answer; closes it when the pool of the peer is full.
    void putBack(UpstreamPeer &peer, std::unique_ptr<UpstreamConnection> connection, TimePoint now);

    /// Closes the idle connections without an answer since the given time, at which another connection became
    /// unresponsive.
    void closeUnansweredSince(UpstreamPeer &peer, TimePoint since);

    /// Closes idle connections that expired or became readable, and evicts unused endpoints.
    void sweep(TimePoint now);

    void closeAll();

private:
    void close(std::unique_ptr<UpstreamConnection> connection, CloseReason reason);

    std::size_t maxIdlePerPeer;
    Duration provenAliveTime;
    Duration maxIdleTime;
    ProxyMetrics &metrics;
    std::uint64_t lastConnection = 0;
    std::map<Endpoint, std::shared_ptr<UpstreamPeer>> peers;
};

} // namespace Verbenadock::Proxy::internal

#endif
