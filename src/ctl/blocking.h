#ifndef VERBENADOCK_CTL_BLOCKING_H
#define VERBENADOCK_CTL_BLOCKING_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace Verbenadock::Ctl {

/// Runs one asynchronous operation to its end and returns its result or throws its exception.
template<typename Result>
Result runBlocking(boost::asio::awaitable<Result> operation)
{
    boost::asio::io_context context;
    auto result = boost::asio::co_spawn(context, std::move(operation), boost::asio::use_future);
    context.run();
    return result.get();
}

} // namespace Verbenadock::Ctl

#endif
