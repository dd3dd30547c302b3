#ifndef VERBENADOCK_PROXY_UPSTREAMPOOL_H
#define VERBENADOCK_PROXY_UPSTREAMPOOL_H

#include "httpparser.h"
#include "io.h"
#include "proxymetrics.h"
#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/settings/settings.h"

#include <map>
#include <memory>
#include <vector>

namespace Verbenadock::Proxy::internal {

/// A connection to an upstream, owned by one attempt or idle in the pool.
struct UpstreamConnection
{
    explicit UpstreamConnection(const Executor &executor);

    /// Closes the socket; a second call has no effect.
    void close();

    Socket socket;
    Buffer buffer;
    TimePoint openedAt{};
    TimePoint lastAnswerAt{};
    /// Whether it carried an answer before the present request.
    bool reused = false;
};

/// What the pool knows of one endpoint.
struct UpstreamPeer
{
    tcp::endpoint address;
    /// The connection used last is at the end.
    std::vector<std::unique_ptr<UpstreamConnection>> idle;
    /// When the newest connection that ever answered was opened, and when it answered last.
    TimePoint newestOpenedAt{};
    TimePoint newestAnsweredAt{};
    TimePoint lastUsedAt{};
};

/// Idle connections to all upstreams.
class UpstreamPool
{
public:
    UpstreamPool(const Settings::EntryLimits &entryLimits, ProxyMetrics &counters);

    /// Returns nothing when the address is no IP address.
    std::shared_ptr<UpstreamPeer> peer(const Endpoint &endpoint);

    /// Takes an idle connection that the policy allows and that shows no sign of being closed or out of step.
    std::unique_ptr<UpstreamConnection> takeIdle(UpstreamPeer &peer, Core::ConnectionPolicy policy, TimePoint now);

    /// Keeps a connection that just carried a whole answer.
    void putBack(UpstreamPeer &peer, std::unique_ptr<UpstreamConnection> connection, TimePoint now);

    /// Closes the idle connections that gave no answer after the time; another connection went silent then.
    void closeUnproven(UpstreamPeer &peer, TimePoint since);

    /// Closes idle connections that expired or became readable, and forgets endpoints without use.
    void sweep(TimePoint now);

    void closeAll();

private:
    void close(std::unique_ptr<UpstreamConnection> connection, CloseReason reason);

    std::size_t idleLimit;
    Duration provenAliveTime;
    Duration idleTime;
    ProxyMetrics &metrics;
    std::map<Endpoint, std::shared_ptr<UpstreamPeer>> peers;
};

} // namespace Verbenadock::Proxy::internal

#endif
