#include "verbenadock/fleet/recordcache.h"

#include <algorithm>

namespace Verbenadock::Fleet {

namespace {

// Covers some seconds of changes while all upstreams of a large deployment are replaced.
constexpr std::size_t MaxTailRecords = 512;
// A record may have 256 KiB, and small VMs have 160 MB of memory.
constexpr std::size_t MaxTailBytes = 4 * 1024 * 1024;

} // namespace

void RecordCache::append(const std::vector<Platform::KeyedRecord> &records, std::uint64_t endOffset)
{
    for (const auto &record : records) {
        const auto known = this->byKey.find(record.key);
        // Records arrive in datagrams and in pages, and a page may be late. All records before the end are known.
        if (record.offset < this->end || (known != this->byKey.end() && known->second.offset > record.offset)) {
            continue;
        }
        if (record.value) {
            this->byKey.insert_or_assign(record.key, record);
        } else {
            this->byKey.erase(record.key);
        }
    }
    this->extendTail(records, endOffset);
    this->end = std::max(this->end, endOffset);
}

void RecordCache::extendTail(const std::vector<Platform::KeyedRecord> &records, std::uint64_t endOffset)
{
    for (const auto &record : records) {
        if (record.offset < this->end) {
            continue;
        }
        // An offset without a readable key is forwarded as an empty record, which has no key either.
        for (auto missing = this->end; missing < record.offset; ++missing) {
            this->tail.push_back({.offset = missing, .data = {}});
        }
        this->tail.push_back(
            {.offset = record.offset, .data = Platform::joinKeyed(record.key, record.value.value_or(""))});
        this->end = record.offset + 1;
    }
    for (; this->end < endOffset; ++this->end) {
        this->tail.push_back({.offset = this->end, .data = {}});
    }
    std::size_t bytes = 0;
    std::size_t kept = 0;
    while (kept < std::min(this->tail.size(), MaxTailRecords)) {
        bytes += this->tail[this->tail.size() - 1 - kept].data.size();
        if (bytes > MaxTailBytes) {
            break;
        }
        ++kept;
    }
    this->tail.erase(this->tail.begin(), this->tail.end() - static_cast<std::ptrdiff_t>(kept));
}

std::optional<Platform::StoredPage> RecordCache::recordsFrom(std::uint64_t from) const
{
    const auto first = this->end - this->tail.size();
    if (from < first) {
        return std::nullopt;
    }
    Platform::StoredPage page{.era = this->era, .first = first, .end = this->end, .records = {}};
    for (const auto &record : this->tail) {
        if (record.offset >= from) {
            page.records.push_back(record);
        }
    }
    return page;
}

void RecordCache::reset(const Platform::NewestRecords &newest)
{
    const StorePosition known{.era = this->era, .offset = this->end};
    if (newest.end >= known) {
        this->byKey.clear();
        if (newest.end > known) {
            // The records in between were not read, so that the tail would have a gap.
            this->tail.clear();
        }
        for (const auto &record : newest.records) {
            this->byKey.insert_or_assign(record.key, record);
        }
        this->era = newest.end.era;
        this->end = newest.end.offset;
    }
}

Platform::NewestRecords RecordCache::newest() const
{
    Platform::NewestRecords result{.records = {}, .end = {.era = this->era, .offset = this->end}};
    for (const auto &[key, record] : this->byKey) {
        result.records.push_back(record);
    }
    return result;
}

void truncatePage(Platform::StoredPage &page, std::size_t maxBytes)
{
    std::size_t bytes = 0;
    const auto excess = std::ranges::find_if(page.records, [&](const auto &record) {
        bytes += record.data.size();
        return bytes > maxBytes && &record != &page.records.front();
    });
    if (excess != page.records.end()) {
        page.end = excess->offset;
        page.records.erase(excess, page.records.end());
    }
}

} // namespace Verbenadock::Fleet
