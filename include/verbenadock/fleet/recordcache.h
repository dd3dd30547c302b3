#ifndef VERBENADOCK_FLEET_RECORDCACHE_H
#define VERBENADOCK_FLEET_RECORDCACHE_H

#include "verbenadock/platform/storeclient.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Verbenadock::Fleet {

/// Caches a topic's newest records as they were written, for VMs that cannot reach the store.
class RecordCache
{
public:
    /// Appends records of the current era.
    void append(const std::vector<Platform::KeyedRecord> &records, std::uint64_t endOffset);

    /// Replaces the content, unless `newest` is older.
    void reset(const Platform::NewestRecords &newest);

    Platform::NewestRecords newest() const;

    /// The newest record of a key; null if there is none. Valid until the next change.
    const Platform::KeyedRecord *newestOf(const std::string &key) const;

    /// The record at an offset of the current era. Empty if it was never read, was evicted or has no key.
    std::optional<Platform::StoredRecord> recordAt(std::uint64_t offset) const;

    /// Position after the newest record.
    StorePosition endPosition() const;

    /// All records from the offset on. Empty when some of them were never read or were evicted.
    std::optional<Platform::StoredPage> recordsFrom(std::uint64_t from) const;

private:
    /// Sets the newest record of its key and keeps the one that it replaces.
    void replace(const Platform::KeyedRecord &record);
    void extendTail(const std::vector<Platform::KeyedRecord> &records, std::uint64_t endOffset);

    std::map<std::string, Platform::KeyedRecord> byKey;
    /// Replaced records of the current era that were read with the newest ones of all keys, so that the tail lacks
    /// them.
    std::deque<Platform::KeyedRecord> replaced;
    std::uint64_t era = 0;
    std::uint64_t end = 0;
    /// The last records up to `end`, without gaps.
    std::deque<Platform::StoredRecord> tail;
};

/// Truncates a page to a size in bytes, but to no less than one record, and adjusts its end.
void truncatePage(Platform::StoredPage &page, std::size_t maxBytes);

} // namespace Verbenadock::Fleet

#endif
