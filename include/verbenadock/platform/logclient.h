#ifndef VERBENADOCK_PLATFORM_LOGCLIENT_H
#define VERBENADOCK_PLATFORM_LOGCLIENT_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/error.h"
#include "verbenadock/base/time.h"

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Verbenadock::Platform {

/// The log service or the VM list gave no usable answer. After an append the record may or may not be in the log.
class PlatformError : public Error
{
public:
    using Error::Error;
};

struct LogRecord
{
    std::uint64_t offset = 0;
    std::string data;

    auto operator<=>(const LogRecord &) const = default;
};

/// Records from an offset on.
struct LogPage
{
    /// Oldest offset that the log still has.
    std::uint64_t first = 0;
    /// Offset that the next record will get.
    std::uint64_t next = 0;
    std::vector<LogRecord> records;

    bool operator==(const LogPage &) const = default;
};

/// Client of one stream of the log service.
class LogClient
{
public:
    LogClient(Endpoint service, std::string stream, Duration timeout);

    /// Returns the offset of the new record. Throws PlatformError.
    boost::asio::awaitable<std::uint64_t> append(std::string data) const;

    /// Throws PlatformError.
    boost::asio::awaitable<LogPage> read(std::uint64_t from, std::size_t limit) const;

private:
    Endpoint service;
    std::string stream;
    Duration timeout;
};

} // namespace Verbenadock::Platform

#endif
