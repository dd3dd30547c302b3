#ifndef VERBENADOCK_PLATFORM_STORECLIENT_H
#define VERBENADOCK_PLATFORM_STORECLIENT_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/error.h"
#include "verbenadock/base/time.h"

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Platform {

/// The store gave no usable answer. After an append the records may or may not be in the store, or come into it later.
class PlatformError : public Error
{
public:
    using Error::Error;
};

/// The records asked for were deleted; older ones than `first` cannot be read.
class HistoryGone : public PlatformError
{
public:
    explicit HistoryGone(std::uint64_t firstRetained);

    std::uint64_t first = 0;
};

/// The partition ended at another offset than the append required.
class AppendConflict : public PlatformError
{
public:
    explicit AppendConflict(std::uint64_t presentEnd);

    std::uint64_t end = 0;
};

/// A record of a topic without keys.
struct StoredRecord
{
    std::uint64_t offset = 0;
    std::string data;

    auto operator<=>(const StoredRecord &) const = default;
};

struct StoredPage
{
    /// Oldest offset that is retained.
    std::uint64_t first = 0;
    /// Offset that the next record will get.
    std::uint64_t end = 0;
    std::vector<StoredRecord> records;

    bool operator==(const StoredPage &) const = default;
};

/// A record of a keyed topic. Without a value the key was dropped.
struct KeyedRecord
{
    std::uint64_t offset = 0;
    std::string key;
    std::optional<std::string> value;

    auto operator<=>(const KeyedRecord &) const = default;
};

/// The newest record of each key.
struct NewestRecords
{
    std::vector<KeyedRecord> records;
    std::uint64_t end = 0;

    bool operator==(const NewestRecords &) const = default;
};

/// Topics of the store that the operators and the upstreams write.
extern const std::string_view ConfigurationTopic;
extern const std::string_view ConfigurationKey;
extern const std::string_view UpstreamsTopic;
/// Topic of this system: the key is the VM's id, the value its address.
extern const std::string_view MembersTopic;

/// Splits a record of a keyed topic. Nothing when its bytes do not hold a key.
std::optional<KeyedRecord> splitKeyed(const StoredRecord &record);
std::string joinKeyed(std::string_view key, std::string_view value);

/// Client of the platform's store, on partition 0 of each topic. Each call opens a connection of its own, because a
/// connection on which an answer was lost returns nothing further.
class StoreClient
{
public:
    StoreClient(Endpoint store, Duration answerTimeout);

    /// Returns the offset of the record. Throws AppendConflict when `expectedEnd` is given and is not the end.
    boost::asio::awaitable<std::uint64_t> append(std::string topic,
                                                 std::string record,
                                                 std::optional<std::uint64_t> expectedEnd = {}) const;

    /// Waits up to `wait` for a record. Throws HistoryGone.
    boost::asio::awaitable<StoredPage> read(std::string topic, std::uint64_t from, Duration wait) const;

    boost::asio::awaitable<NewestRecords> newest(std::string topic) const;

private:
    Endpoint service;
    Duration timeout;
};

/// The page that answers newest(), for entries that pass their records on to one another.
std::string newestPage(const NewestRecords &records);

/// The page that answers read().
std::string readPage(const StoredPage &page);

/// What the target of a request for a page asks for.
struct PageRequest
{
    std::string topic;
    /// First offset that is wanted; nothing for the newest record of each key.
    std::optional<std::uint64_t> from;

    auto operator<=>(const PageRequest &) const = default;
};

/// Nothing for another request.
std::optional<PageRequest> pageRequest(std::string_view target);

} // namespace Verbenadock::Platform

#endif
