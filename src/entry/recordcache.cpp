#include "recordcache.h"

#include <algorithm>

namespace Verbenadock::Entry {

void RecordCache::take(const std::vector<Platform::KeyedRecord> &records, std::uint64_t recordsEnd)
{
    for (const auto &record : records) {
        if (record.value) {
            this->byKey.insert_or_assign(record.key, record);
        } else {
            this->byKey.erase(record.key);
        }
    }
    this->end = std::max(this->end, recordsEnd);
}

void RecordCache::reset(const Platform::NewestRecords &newest)
{
    if (newest.end >= this->end) {
        this->byKey.clear();
        this->take(newest.records, newest.end);
    }
}

Platform::NewestRecords RecordCache::newest() const
{
    Platform::NewestRecords result{.records = {}, .end = this->end};
    for (const auto &[key, record] : this->byKey) {
        result.records.push_back(record);
    }
    return result;
}

} // namespace Verbenadock::Entry
