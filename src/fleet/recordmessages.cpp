#include "verbenadock/fleet/recordmessages.h"

namespace Verbenadock::Fleet {

namespace {

// Encoded offset and length of a record.
constexpr std::size_t RecordOverhead = 12;

} // namespace

std::vector<Mesh::StoreRecords> recordMessages(const std::string &vm,
                                               std::string_view topic,
                                               std::uint64_t from,
                                               const Platform::StoredPage &page)
{
    std::vector<Mesh::StoreRecords> messages;
    std::size_t bytes = MaxRecordMessageBytes;
    for (const auto &record : page.records) {
        const auto size = record.data.size() + RecordOverhead;
        if (record.offset < from) {
            continue;
        }
        if (size > MaxRecordMessageBytes) {
            return messages;
        }
        if (bytes + size > MaxRecordMessageBytes) {
            const auto begin = messages.empty() ? from : messages.back().end;
            messages.push_back(
                {.vm = vm, .topic = std::string(topic), .era = page.era, .from = begin, .end = begin, .records = {}});
            bytes = 0;
        }
        messages.back().records.push_back({.offset = record.offset, .data = record.data});
        messages.back().end = record.offset + 1;
        bytes += size;
    }
    if (!messages.empty()) {
        messages.back().end = page.end;
    }
    return messages;
}

std::optional<Platform::StoredPage> followingRecords(const Mesh::StoreRecords &message, StorePosition next)
{
    if (message.era != next.era || next.offset < message.from || next.offset >= message.end) {
        return std::nullopt;
    }
    Platform::StoredPage page{.era = message.era, .first = message.from, .end = message.end, .records = {}};
    for (const auto &record : message.records) {
        if (record.offset >= next.offset) {
            page.records.push_back({.offset = record.offset, .data = record.data});
        }
    }
    return page;
}

} // namespace Verbenadock::Fleet
