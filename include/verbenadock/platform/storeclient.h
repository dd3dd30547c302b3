#ifndef VERBENADOCK_PLATFORM_STORECLIENT_H
#define VERBENADOCK_PLATFORM_STORECLIENT_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/error.h"
#include "verbenadock/base/storeposition.h"
#include "verbenadock/base/time.h"
#include "verbenadock/net/adminserver.h"

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Platform {

/// The store gave no usable response. After a failed append the record may be stored already, later or never.
class PlatformError : public Error
{
public:
    using Error::Error;
};

/// The requested records were deleted; `first` is the oldest retained offset.
class HistoryGone : public PlatformError
{
public:
    explicit HistoryGone(std::uint64_t firstRetained);

    std::uint64_t first = 0;
};

/// The end offset of the partition is not the one that the append required; `end` is the actual one.
class AppendConflict : public PlatformError
{
public:
    explicit AppendConflict(std::uint64_t actualEnd);

    std::uint64_t end = 0;
};

/// Record of a topic without keys.
struct StoredRecord
{
    std::uint64_t offset = 0;
    std::string data;

    auto operator<=>(const StoredRecord &) const = default;
};

struct StoredPage
{
    /// Era of the offsets (StorePosition).
    std::uint64_t era = 0;
    /// Oldest retained offset.
    std::uint64_t first = 0;
    /// Offset of the next record.
    std::uint64_t end = 0;
    std::vector<StoredRecord> records;

    bool operator==(const StoredPage &) const = default;
};

/// Record of a keyed topic. A record without a value is a tombstone: the key was deleted.
struct KeyedRecord
{
    std::uint64_t offset = 0;
    std::string key;
    std::optional<std::string> value;

    auto operator<=>(const KeyedRecord &) const = default;
};

/// Newest record of each key.
struct NewestRecords
{
    std::vector<KeyedRecord> records;
    StorePosition end;

    bool operator==(const NewestRecords &) const = default;
};

/// Topics of the store that are written by the operators and the upstreams.
extern const std::string_view ConfigurationTopic;
extern const std::string_view ConfigurationKey;
extern const std::string_view UpstreamsTopic;
/// Topic of the fleet's members: the key is the id of a VM, the value its address.
extern const std::string_view MembersTopic;

/// Splits a record of a keyed topic into key and value. Empty when the record has no valid key.
std::optional<KeyedRecord> splitKeyed(const StoredRecord &record);
std::string joinKeyed(std::string_view key, std::string_view value);

struct ReadOptions
{
    /// Maximum time for which the store waits for the first record.
    Duration wait{0};
    /// Size in KiB after which the store ends the page; empty for the store's own limit.
    std::optional<std::uint64_t> maxKibibytes = {};
    /// Called when the head of the answer has arrived.
    std::function<void()> answerBegun = {};
};

/// Client of the platform's store, for partition 0 of each topic. Each call opens a new connection, because a
/// connection with a lost response delivers no further responses.
class StoreClient
{
public:
    /// `bodyLimit` is the time that an answer may take once it has begun, as long as it makes progress; zero to let the
    /// time-out cover the whole call.
    StoreClient(Endpoint store, Duration answerTimeout, Duration bodyLimit = Duration(0));

    /// Returns the offset of the record. Throws AppendConflict when `expectedEnd` is set and is not the end offset.
    boost::asio::awaitable<std::uint64_t> append(std::string topic,
                                                 std::string record,
                                                 std::optional<std::uint64_t> expectedEnd = {}) const;

    /// Reads records from the offset on. Throws HistoryGone.
    boost::asio::awaitable<StoredPage> read(std::string topic, std::uint64_t from, ReadOptions options = {}) const;

    /// Reads all keys. Calls `answerBegun` when the head of an answer has arrived. Throws PlatformError also if the
    /// store returns from an older copy in between.
    boost::asio::awaitable<NewestRecords> newest(std::string topic, std::function<void()> answerBegun = {}) const;

private:
    Endpoint service;
    Duration timeout;
    Duration bodyTimeLimit;
};

/// Response to newest(), for entries that forward records to each other.
Net::AdminPage newestPage(const NewestRecords &records);

/// Response to read().
Net::AdminPage readPage(const StoredPage &page);

/// Parameters of a request for a page.
struct PageRequest
{
    std::string topic;
    /// First requested offset; empty for the newest record of each key.
    std::optional<std::uint64_t> from;

    auto operator<=>(const PageRequest &) const = default;
};

/// Parses the target of a request for a page. Empty for any other target.
std::optional<PageRequest> pageRequest(std::string_view target);

} // namespace Verbenadock::Platform

#endif
