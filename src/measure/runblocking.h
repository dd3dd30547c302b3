#ifndef VERBENADOCK_MEASURE_RUNBLOCKING_H
#define VERBENADOCK_MEASURE_RUNBLOCKING_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <utility>

namespace Verbenadock::Measure {

/// Runs a coroutine to its end on the context and returns its result.
template<typename Result>
Result runBlocking(boost::asio::io_context &context, boost::asio::awaitable<Result> task)
{
    auto future = boost::asio::co_spawn(context, std::move(task), boost::asio::use_future);
    context.restart();
    context.run();
    return future.get();
}

} // namespace Verbenadock::Measure

#endif
