#ifndef VERBENADOCK_MEASURE_CALLERCONNECTION_H
#define VERBENADOCK_MEASURE_CALLERCONNECTION_H

#include "load.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <map>
#include <memory>
#include <vector>

namespace Verbenadock::Measure {

/// A caller's connection with the bytes that were read ahead.
struct CallerConnection
{
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;

    explicit CallerConnection(const boost::asio::any_io_executor &executor)
        : stream(executor)
    {
    }
};

/// Keep-alive connections of callers, by target.
class ConnectionPool
{
public:
    explicit ConnectionPool(boost::asio::any_io_executor executor);

    /// Sends one request and reads the whole answer. Failures are results, not exceptions.
    boost::asio::awaitable<LoadResult> exchange(const LoadRequest &request, Duration timeout);

private:
    using Connection = std::unique_ptr<CallerConnection>;

    boost::asio::awaitable<Connection> acquire(const Endpoint &target, Duration timeout);

    boost::asio::any_io_executor executor;
    std::map<Endpoint, std::vector<Connection>> idle;
};

} // namespace Verbenadock::Measure

#endif
