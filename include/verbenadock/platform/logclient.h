#ifndef VERBENADOCK_PLATFORM_LOGCLIENT_H
#define VERBENADOCK_PLATFORM_LOGCLIENT_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"
#include "verbenadock/platform/storeclient.h"

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Verbenadock::Platform {

using LogRecord = StoredRecord;

using LogPage = StoredPage;

/// Client of a stream of this system, stored in a topic of the store.
class LogClient
{
public:
    LogClient(Endpoint service, std::string stream, Duration timeout);

    /// Returns the offset of the new record. Throws PlatformError.
    boost::asio::awaitable<std::uint64_t> append(std::string data) const;

    /// Reads up to `limit` records. Skips deleted records, so that the first one may have a later offset than `from`.
    /// Throws PlatformError.
    boost::asio::awaitable<LogPage> read(std::uint64_t from, std::size_t limit) const;

private:
    StoreClient store;
    std::string stream;
};

} // namespace Verbenadock::Platform

#endif
