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

    /// All records from the offset on. Empty when some of them were never read or were evicted.
    std::optional<Platform::StoredPage> recordsFrom(std::uint64_t from) const;

private:
    void extendTail(const std::vector<Platform::KeyedRecord> &records, std::uint64_t endOffset);

    std::map<std::string, Platform::KeyedRecord> byKey;
    std::uint64_t era = 0;
    std::uint64_t end = 0;
    /// The last records up to `end`, without gaps.
    std::deque<Platform::StoredRecord> tail;
};

/// Truncates a page to a size in bytes, but to no less than one record, and adjusts its end.
void truncatePage(Platform::StoredPage &page, std::size_t maxBytes);

} // namespace Verbenadock::Fleet

#endif
