#ifndef VERBENADOCK_ENTRY_RECORDCACHE_H
#define VERBENADOCK_ENTRY_RECORDCACHE_H

#include "verbenadock/platform/storeclient.h"

#include <map>
#include <string>

namespace Verbenadock::Entry {

/// The newest records of a topic in the form in which they were written, for VMs that cannot reach the store.
class RecordCache
{
public:
    void take(const std::vector<Platform::KeyedRecord> &records, std::uint64_t recordsEnd);

    /// Replaces everything.
    void reset(const Platform::NewestRecords &newest);

    Platform::NewestRecords newest() const;

private:
    std::map<std::string, Platform::KeyedRecord> byKey;
    std::uint64_t end = 0;
};

} // namespace Verbenadock::Entry

#endif
