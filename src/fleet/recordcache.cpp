#include "verbenadock/fleet/recordcache.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace Verbenadock::Fleet {

namespace {

// Covers some seconds of changes while all upstreams of a large deployment are replaced.
constexpr std::size_t MaxTailRecords = 512;
// A record may have 256 KiB, and small VMs have 160 MB of memory.
constexpr std::size_t MaxTailBytes = 4 * 1024 * 1024;
// Of the records outside the tail, at least the last one is kept.
constexpr std::size_t MaxReplacedBytes = 1024 * 1024;

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
            this->replace(record);
        } else {
            this->byKey.erase(record.key);
        }
    }
    this->extendTail(records, endOffset);
    this->end = std::max(this->end, endOffset);
}

void RecordCache::replace(const Platform::KeyedRecord &record)
{
    const auto [found, isNew] = this->byKey.try_emplace(record.key, record);
    if (isNew || found->second.offset == record.offset) {
        return;
    }
    auto previous = std::exchange(found->second, record);
    if (previous.offset >= this->end - this->tail.size()) {
        return;
    }
    this->replaced.push_back(std::move(previous));
    std::size_t bytes = 0;
    for (auto kept = this->replaced.rbegin(); kept != this->replaced.rend(); ++kept) {
        bytes += kept->value ? kept->value->size() : 0;
        if (bytes > MaxReplacedBytes && kept != this->replaced.rbegin()) {
            this->replaced.erase(this->replaced.begin(), kept.base());
            break;
        }
    }
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
        if (newest.end.era > known.era) {
            this->byKey.clear();
            this->replaced.clear();
        }
        if (newest.end > known) {
            // The records in between were not read, so that the tail would have a gap.
            this->tail.clear();
        }
        std::set<std::string_view> present;
        for (const auto &record : newest.records) {
            present.insert(record.key);
            this->replace(record);
        }
        std::erase_if(this->byKey, [&present](const auto &entry) {
            return !present.contains(entry.first);
        });
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

const Platform::KeyedRecord *RecordCache::newestOf(const std::string &key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : &found->second;
}

std::optional<Platform::StoredRecord> RecordCache::recordAt(std::uint64_t offset) const
{
    const auto first = this->end - this->tail.size();
    if (offset >= first && offset < this->end) {
        const auto &record = this->tail[offset - first];
        return record.data.empty() ? std::nullopt : std::optional(record);
    }
    const auto asWritten = [](const Platform::KeyedRecord &record) {
        return Platform::StoredRecord{.offset = record.offset,
                                      .data = Platform::joinKeyed(record.key, record.value.value_or(""))};
    };
    for (const auto &[key, record] : this->byKey) {
        if (record.offset == offset) {
            return asWritten(record);
        }
    }
    const auto found = std::ranges::find(this->replaced, offset, &Platform::KeyedRecord::offset);
    return found == this->replaced.end() ? std::nullopt : std::optional(asWritten(*found));
}

StorePosition RecordCache::endPosition() const
{
    return {.era = this->era, .offset = this->end};
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
