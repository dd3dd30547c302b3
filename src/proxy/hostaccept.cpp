// Member functions of Host that accept and count caller connections.
#include "headwriter.h"
#include "host.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>

#include <netinet/tcp.h>

namespace Verbenadock::Proxy::internal {

namespace {

// A delay after a failed accept prevents a busy loop when no file descriptors are available.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(10);

// Without a limit the kernel holds as much as net.ipv4.tcp_wmem allows for each slow caller, which also counts as
// memory of the process where that is limited.
using UnsentLimit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
constexpr int MaxUnsentBytes = 131072;

} // namespace

void Host::start()
{
    ErrorCode error;
    const auto address = asio::ip::make_address(this->options.listen.address, error);
    const tcp::endpoint local(address, this->options.listen.port);
    if (!error) {
        this->acceptor.open(local.protocol(), error);
    }
    if (!error) {
        this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        this->acceptor.bind(local, error);
    }
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
        this->acceptor.non_blocking(true, error);
    }
    if (error) {
        throw ProxyError("cannot listen on " + toString(this->options.listen) + ": " + error.message());
    }
    if (this->options.keys) {
        this->keyHost = std::make_shared<KeyHost>(
            *this, this->context, *this->options.keys, this->handlers.epochMissing, this->proxyMetrics);
        this->keyHost->start();
    }
    asio::co_spawn(this->executor(), this->acceptConnections(), asio::detached);
}

void Host::stop()
{
    this->stopped = true;
    this->timerWheel.stop();
    this->deadlineTimer.cancel();
    ErrorCode ignored;
    this->acceptor.close(ignored);
    this->acceptRetrySignal.notify();
    this->configurationSignal.notify();
    if (this->keyHost) {
        this->keyHost->close();
    }
    const auto open = std::exchange(this->exchanges, {});
    for (const auto &[id, exchange] : open) {
        this->removeExchange(*exchange);
    }
    const std::vector<CallerConnection *> callers(this->connections.begin(), this->connections.end());
    for (auto *connection : callers) {
        connection->close();
        connection->wake();
    }
    this->upstreamPool.closeAll();
}

Task<void> Host::waitForConfiguration()
{
    // Until then connections wait in the kernel's backlog. Their requests would be rejected, and not every caller tries
    // again.
    if (this->options.limits.configurationWait <= Duration(0)) {
        co_return;
    }
    this->configurationTimer.setAfter(this->options.limits.configurationWait);
    while (!this->reducer.ready() && !this->configurationOverdue && this->acceptor.is_open()) {
        co_await this->configurationSignal.wait();
    }
    this->configurationTimer.clear();
}

Task<void> Host::acceptConnections()
{
    const auto self = this->shared_from_this();
    co_await this->waitForConfiguration();
    while (this->acceptor.is_open()) {
        ErrorCode error;
        Socket socket(this->executor());
        co_await this->acceptor.async_accept(socket, asio::redirect_error(UseTask, error));
        if (!error) {
            this->startConnection(std::move(socket));
        } else if (this->acceptor.is_open()) {
            this->acceptRetryTimer.setAfter(AcceptRetryDelay);
            co_await this->acceptRetrySignal.wait();
        }
    }
}

void Host::acceptBacklog()
{
    // Closing the listening socket would reset the connections that the kernel has already established.
    ErrorCode error;
    while (this->acceptor.is_open() && !error) {
        Socket socket(this->executor());
        this->acceptor.accept(socket, error);
        if (!error) {
            this->startConnection(std::move(socket));
        }
    }
}

void Host::startConnection(Socket socket)
{
    ErrorCode error;
    socket.non_blocking(true, error);
    socket.set_option(tcp::no_delay(true), error);
    socket.set_option(UnsentLimit(MaxUnsentBytes), error);
    if (this->connections.size() >= this->options.limits.maxCallerConnections) {
        this->refuseConnection(socket);
        return;
    }
    this->proxyMetrics.callerConnections.add();
    auto connection = std::make_shared<CallerConnection>(this->shared_from_this(), std::move(socket));
    asio::co_spawn(this->executor(), connection->run(), asio::detached);
}

void Host::refuseConnection(Socket &socket)
{
    this->proxyMetrics.callerConnectionsRefused.add();
    ErrorCode ignored;
    socket.write_some(
        asio::buffer(localAnswerText(LocalAnswer{
            .status = 503, .reason = "too-many-connections", .retryAfter = std::chrono::seconds(1), .close = true})),
        ignored);
    socket.shutdown(asio::socket_base::shutdown_send, ignored);
}

void Host::connectionOpened(CallerConnection &connection)
{
    this->connections.insert(&connection);
    this->proxyMetrics.openCallerConnections.set(static_cast<double>(this->connections.size()));
}

void Host::connectionClosed(CallerConnection &connection)
{
    this->connections.erase(&connection);
    this->proxyMetrics.openCallerConnections.set(static_cast<double>(this->connections.size()));
}

Endpoint Host::localEndpoint() const
{
    ErrorCode ignored;
    const auto local = this->acceptor.local_endpoint(ignored);
    return {.address = local.address().to_string(), .port = local.port()};
}

} // namespace Verbenadock::Proxy::internal
