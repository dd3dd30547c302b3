#ifndef VERBENADOCK_FLEET_RECORDCACHE_H
#define VERBENADOCK_FLEET_RECORDCACHE_H

#include "verbenadock/platform/storeclient.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Verbenadock::Fleet {

/// The newest records of a topic in the form in which they were written, for VMs that cannot reach the store.
class RecordCache
{
public:
    void take(const std::vector<Platform::KeyedRecord> &records, std::uint64_t recordsEnd);

    /// Replaces everything.
    void reset(const Platform::NewestRecords &newest);

    Platform::NewestRecords newest() const;

    /// All records from the offset on; nothing when some of them were never read or are too old.
    std::optional<Platform::StoredPage> since(std::uint64_t from) const;

private:
    void extendTail(const std::vector<Platform::KeyedRecord> &records, std::uint64_t recordsEnd);

    std::map<std::string, Platform::KeyedRecord> byKey;
    std::uint64_t end = 0;
    /// The last records, without gaps up to `end`.
    std::deque<Platform::StoredRecord> tail;
};

/// Keeps the first records of a page, at least one, as if it ended there.
void limitPage(Platform::StoredPage &page, std::size_t mostBytes);

} // namespace Verbenadock::Fleet

#endif
