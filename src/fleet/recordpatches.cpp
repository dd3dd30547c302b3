#include "verbenadock/fleet/recordpatches.h"

#include "recordcompression.h"
#include "verbenadock/net/error.h"
#include "verbenadock/net/query.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Verbenadock::Fleet {

namespace {

/// VMs that missed different records ask for patches with different bases.
constexpr std::size_t MaxCachedPatches = 8;

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    return error == std::errc() && rest == end ? std::optional(number) : std::nullopt;
}

} // namespace

std::string patchTarget(std::string_view topic, const std::optional<StorePosition> &base)
{
    auto target = std::string(PatchPath) + "?topic=" + std::string(topic);
    if (base) {
        target += "&era=" + std::to_string(base->era) + "&base=" + std::to_string(base->offset);
    }
    return target;
}

std::optional<PatchRequest> patchRequest(std::string_view target)
{
    if (target.substr(0, target.find('?')) != PatchPath) {
        return std::nullopt;
    }
    try {
        const auto parameters = Net::queryParameters(target);
        const auto valueOf = [&parameters](const std::string &name) {
            const auto found = parameters.find(name);
            return found == parameters.end() ? std::string() : found->second;
        };
        PatchRequest request{.topic = valueOf("topic"), .base = std::nullopt};
        const auto era = parseNumber(valueOf("era"));
        const auto offset = parseNumber(valueOf("base"));
        if (era && offset) {
            request.base = StorePosition{.era = *era, .offset = *offset};
        }
        return request;
    } catch (const Net::NetError &) {
        // A malformed query names no patch; the caller of this page gets 404.
        return std::nullopt;
    }
}

RecordPatches::RecordPatches(std::string topicName, std::string recordKey)
    : topic(std::move(topicName))
    , key(std::move(recordKey))
{
}

std::optional<Mesh::StoreRecordPatch> RecordPatches::patchFrom(const RecordCache &cache,
                                                               const std::optional<StorePosition> &base)
{
    const auto *newest = cache.newestOf(this->key);
    if (newest == nullptr) {
        return std::nullopt;
    }
    const auto end = cache.endPosition();
    const auto baseRecord
        = base && base->era == end.era && base->offset <= newest->offset ? cache.recordAt(base->offset) : std::nullopt;
    Mesh::StoreRecordPatch patch{.topic = this->topic,
                                 .era = end.era,
                                 .offset = newest->offset,
                                 .end = end.offset,
                                 .base = baseRecord ? std::optional(baseRecord->offset) : std::nullopt,
                                 .data = {}};
    const auto cached = std::ranges::find_if(this->patches, [&patch](const Mesh::StoreRecordPatch &existing) {
        return existing.era == patch.era && existing.offset == patch.offset && existing.base == patch.base;
    });
    if (cached != this->patches.end()) {
        patch.data = cached->data;
        return patch;
    }
    patch.data = internal::compressRecord(Platform::joinKeyed(newest->key, newest->value.value_or("")),
                                          baseRecord ? std::string_view(baseRecord->data) : std::string_view());
    this->patches.push_back(patch);
    if (this->patches.size() > MaxCachedPatches) {
        this->patches.pop_front();
    }
    return patch;
}

std::optional<Platform::KeyedRecord> restoredRecord(const Mesh::StoreRecordPatch &patch, const RecordCache &cache)
{
    std::optional<Platform::StoredRecord> base;
    if (patch.base) {
        base = cache.endPosition().era == patch.era ? cache.recordAt(*patch.base) : std::nullopt;
        if (!base) {
            return std::nullopt;
        }
    }
    auto data = internal::restoreRecord(patch.data, base ? std::string_view(base->data) : std::string_view());
    return data ? Platform::splitKeyed({.offset = patch.offset, .data = std::move(*data)}) : std::nullopt;
}

} // namespace Verbenadock::Fleet
