#include "upstreampool.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr Duration UnusedPeerLifetime = std::chrono::minutes(10);

/// Whether nothing can be read: neither the end of the stream nor bytes of a late answer.
bool hasNothingToRead(UpstreamConnection &connection)
{
    char byte = 0;
    const auto result = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

UpstreamConnection::UpstreamConnection(const Executor &executor)
    : socket(executor)
{
}

void UpstreamConnection::close()
{
    ErrorCode ignored;
    this->socket.close(ignored);
}

UpstreamPool::UpstreamPool(const Settings::EntryLimits &entryLimits, ProxyMetrics &proxyMetrics)
    : maxIdlePerPeer(entryLimits.maxIdlePerUpstream)
    , provenAliveTime(entryLimits.provenAliveTime)
    , maxIdleTime(entryLimits.upstreamIdleTime)
    , metrics(proxyMetrics)
{
}

void UpstreamPool::setLimits(const Settings::EntryLimits &entryLimits)
{
    this->maxIdlePerPeer = entryLimits.maxIdlePerUpstream;
    this->provenAliveTime = entryLimits.provenAliveTime;
    this->maxIdleTime = entryLimits.upstreamIdleTime;
}

std::shared_ptr<UpstreamPeer> UpstreamPool::peer(const Endpoint &endpoint)
{
    const auto found = this->peers.find(endpoint);
    if (found != this->peers.end()) {
        return found->second;
    }
    ErrorCode error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        return nullptr;
    }
    auto created = std::make_shared<UpstreamPeer>();
    created->address = tcp::endpoint(address, endpoint.port);
    this->peers.emplace(endpoint, created);
    return created;
}

std::unique_ptr<UpstreamConnection> UpstreamPool::makeConnection(const Executor &executor)
{
    auto connection = std::make_unique<UpstreamConnection>(executor);
    connection->number = ++this->lastConnection;
    return connection;
}

std::unique_ptr<UpstreamConnection> UpstreamPool::takeIdle(UpstreamPeer &peer,
                                                           Core::ConnectionPolicy policy,
                                                           const std::vector<std::uint64_t> &excluded,
                                                           TimePoint now)
{
    peer.lastUsedAt = now;
    if (policy == Core::ConnectionPolicy::Fresh) {
        return nullptr;
    }
    for (auto position = peer.idle.size(); position > 0; --position) {
        const auto candidate = peer.idle.begin() + static_cast<std::ptrdiff_t>(position - 1);
        if (std::ranges::find(excluded, (*candidate)->number) != excluded.end()) {
            continue;
        }
        const bool provenAlive = now - (*candidate)->lastAnswerAt <= this->provenAliveTime;
        if (policy == Core::ConnectionPolicy::ProvenAlive && !provenAlive) {
            return nullptr;
        }
        auto connection = std::move(*candidate);
        peer.idle.erase(candidate);
        if (hasNothingToRead(*connection)) {
            connection->reused = true;
            this->metrics.upstreamConnectionsReused.add();
            return connection;
        }
        this->close(std::move(connection), CloseReason::IdleReadable);
    }
    return nullptr;
}

void UpstreamPool::putBack(UpstreamPeer &peer, std::unique_ptr<UpstreamConnection> connection, TimePoint now)
{
    connection->lastAnswerAt = now;
    if (connection->openedAt >= peer.newestOpenedAt) {
        peer.newestOpenedAt = connection->openedAt;
        peer.newestAnsweredAt = now;
    }
    if (peer.idle.size() >= this->maxIdlePerPeer) {
        this->close(std::move(connection), CloseReason::Surplus);
        return;
    }
    peer.idle.push_back(std::move(connection));
}

void UpstreamPool::closeUnansweredSince(UpstreamPeer &peer, TimePoint since)
{
    std::vector<std::unique_ptr<UpstreamConnection>> kept;
    for (auto &connection : peer.idle) {
        if (connection->lastAnswerAt >= since) {
            kept.push_back(std::move(connection));
        } else {
            this->close(std::move(connection), CloseReason::Unproven);
        }
    }
    peer.idle = std::move(kept);
}

void UpstreamPool::sweep(TimePoint now)
{
    for (auto entry = this->peers.begin(); entry != this->peers.end();) {
        auto &peer = *entry->second;
        std::vector<std::unique_ptr<UpstreamConnection>> kept;
        for (auto &connection : peer.idle) {
            if (now - connection->lastAnswerAt > this->maxIdleTime) {
                this->close(std::move(connection), CloseReason::Expired);
            } else if (!hasNothingToRead(*connection)) {
                this->close(std::move(connection), CloseReason::IdleReadable);
            } else {
                kept.push_back(std::move(connection));
            }
        }
        peer.idle = std::move(kept);
        const bool unused = peer.idle.empty() && entry->second.use_count() == 1;
        entry = unused && now - peer.lastUsedAt > UnusedPeerLifetime ? this->peers.erase(entry) : std::next(entry);
    }
}

void UpstreamPool::closeAll()
{
    this->peers.clear();
}

void UpstreamPool::close(std::unique_ptr<UpstreamConnection> connection, CloseReason reason)
{
    connection->close();
    this->metrics.countClosed(reason);
}

} // namespace Verbenadock::Proxy::internal
