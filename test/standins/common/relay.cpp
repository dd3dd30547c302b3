#include "common/relay.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace Verbenadock::Standins {

namespace {

constexpr std::size_t ChunkBytes = 64 * 1024;
constexpr auto GatePollInterval = std::chrono::milliseconds(10);

void resetSocket(Tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(Tcp::socket::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

Relay::Relay(Tcp::socket clientValue, Tcp::socket targetValue, std::shared_ptr<const Path> pathValue)
    : client(std::move(clientValue))
    , target(std::move(targetValue))
    , path(std::move(pathValue))
{
    this->client.set_option(Tcp::no_delay(true));
    this->target.set_option(Tcp::no_delay(true));
}

asio::awaitable<void> Relay::run()
{
    using namespace asio::experimental::awaitable_operators;
    const auto self = this->shared_from_this();
    co_await (this->copy(true) && this->copy(false));
}

void Relay::silence()
{
    this->silent = true;
}

void Relay::reset()
{
    this->ended = true;
    resetSocket(this->client);
    resetSocket(this->target);
}

asio::awaitable<void> Relay::copy(bool toTarget)
{
    auto &from = toTarget ? this->client : this->target;
    auto &to = toTarget ? this->target : this->client;
    std::vector<char> chunk(ChunkBytes);
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    while (!this->ended) {
        const auto size = co_await from.async_read_some(asio::buffer(chunk), token);
        const bool atEnd = error == asio::error::eof;
        if (error && !atEnd) {
            break;
        }
        if (this->path->delayMs > 0) {
            co_await this->sleep(std::chrono::milliseconds(this->path->delayMs));
        }
        co_await this->waitUntilOpen(toTarget);
        if (atEnd) {
            to.shutdown(Tcp::socket::shutdown_send, error);
            co_return;
        }
        co_await asio::async_write(to, asio::buffer(chunk, size), token);
        if (error) {
            break;
        }
    }
    co_await this->waitUntilOpen(toTarget);
    this->reset();
}

asio::awaitable<void> Relay::waitUntilOpen(bool toTarget)
{
    while (!this->ended && (this->silent || (toTarget ? this->path->cutToTarget : this->path->cutToClient))) {
        co_await this->sleep(GatePollInterval);
    }
}

asio::awaitable<void> Relay::sleep(Duration duration)
{
    asio::steady_timer timer(this->client.get_executor(), duration);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace Verbenadock::Standins
