#ifndef VERBENADOCK_PROXY_IO_H
#define VERBENADOCK_PROXY_IO_H

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace Verbenadock::Proxy::internal {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// The concrete executor type avoids the type erasure of any_io_executor on each operation.
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<tcp, Executor>;
using Acceptor = asio::basic_socket_acceptor<tcp, Executor>;

template<typename Result>
using Task = asio::awaitable<Result, Executor>;

inline constexpr asio::use_awaitable_t<Executor> UseTask;

/// Condition variable for a single coroutine that is notified on the same thread. A notification without a waiter is
/// lost, so that the waiter has to check its condition in a loop.
class Signal
{
public:
    Task<void> wait()
    {
        return asio::async_initiate<const asio::use_awaitable_t<Executor>, void()>(
            [this](auto handler) {
                auto sharedHandler = std::make_shared<decltype(handler)>(std::move(handler));
                this->waiter = [sharedHandler] {
                    asio::post(std::move(*sharedHandler));
                };
            },
            UseTask);
    }

    void notify()
    {
        if (this->waiter) {
            std::exchange(this->waiter, nullptr)();
        }
    }

private:
    std::function<void()> waiter;
};

} // namespace Verbenadock::Proxy::internal

#endif
