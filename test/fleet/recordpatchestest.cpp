#include "verbenadock/fleet/recordpatches.h"

#include "recordcompression.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;

namespace {

constexpr std::string_view Topic = "keyed.op";
constexpr std::string_view Key = "config";
/// Fits into a datagram with the other fields of a patch.
constexpr std::size_t MaxDatagramBytes = 1500;
constexpr std::size_t Routes = 1000;

/// Routes of a configuration as they are written, with random names.
std::string routes(std::size_t count, unsigned seed)
{
    std::mt19937 random(seed);
    std::string text;
    for (std::size_t number = 0; number < count; ++number) {
        text += R"({"entryKind":"routes","metadata":{"name":"r-)" + std::to_string(random())
                + R"("},"spec":{"host":"host)" + std::to_string(random() % 100) + R"(.example","pathPrefix":"/)"
                + std::to_string(random())
                + R"(/","kind":"safe","timeoutS":2,"targetLatencyS":0.8,"priority":0,"service":"tabelle"}},)";
    }
    return text;
}

Platform::KeyedRecord record(std::uint64_t offset, std::string value)
{
    return {.offset = offset, .key = std::string(Key), .value = std::move(value)};
}

RecordPatches makePatches()
{
    return {std::string(Topic), std::string(Key)};
}

} // namespace

// Guards against configurations that are late because each of their versions crosses all links as a whole. A VM with
// 10 Mbit/s got a version of 250 KB for one changed route up to 16 s after the readers had it.
TEST_CASE("a long record that differs little from its base is restored from a datagram")
{
    RecordCache sender;
    RecordCache receiver;
    const auto first = record(4, routes(Routes, 1));
    const auto second = record(5, routes(Routes / 2, 1) + "changed" + routes(Routes / 2, 2));
    const auto third = record(6, routes(Routes / 2, 1) + routes(1, 3) + routes(Routes / 2, 2));
    for (auto *cache : {&sender, &receiver}) {
        cache->append({first, second}, 6);
    }
    sender.append({third}, 7);
    auto patches = makePatches();
    const auto patch = patches.patchFrom(sender, StorePosition{.offset = 5});
    REQUIRE(patch);
    const auto datagram = Mesh::encode(*patch);
    CHECK(datagram.size() < MaxDatagramBytes);
    const auto decoded = Mesh::decode(datagram);
    REQUIRE(decoded);
    CHECK(restoredRecord(std::get<Mesh::StoreRecordPatch>(*decoded), receiver) == third);
}

// Guards against changes that are sent as a whole because the record and its base exceed the window of the compression.
TEST_CASE("a change of a configuration of more than a megabyte fits into a datagram")
{
    RecordCache cache;
    const auto half = routes(4 * Routes, 1);
    const auto otherHalf = routes(4 * Routes, 2);
    cache.append({record(4, half + otherHalf), record(5, half + routes(1, 3) + otherHalf)}, 6);
    auto patches = makePatches();
    const auto patch = patches.patchFrom(cache, StorePosition{.offset = 4});
    REQUIRE(patch);
    CHECK(Mesh::encode(*patch).size() < MaxDatagramBytes);
    CHECK(restoredRecord(*patch, cache) == record(5, half + routes(1, 3) + otherHalf));
}

TEST_CASE("a VM without the base gets the whole record, compressed")
{
    RecordCache sender;
    const auto newest = record(4, routes(Routes, 1));
    sender.append({newest}, 5);
    auto patches = makePatches();
    const auto patch = patches.patchFrom(sender, std::nullopt);
    REQUIRE(patch);
    CHECK_FALSE(patch->base);
    CHECK(patch->data.size() < newest.value->size() / 5);
    CHECK(restoredRecord(*patch, RecordCache()) == newest);
    const auto withUnknownBase = patches.patchFrom(sender, StorePosition{.offset = 2});
    REQUIRE(withUnknownBase);
    CHECK_FALSE(withUnknownBase->base);
    const auto ofEarlierEra = patches.patchFrom(sender, StorePosition{.era = 7, .offset = 4});
    REQUIRE(ofEarlierEra);
    CHECK_FALSE(ofEarlierEra->base);
}

// Guards against a configuration that nobody wrote, put together from a patch and another base than the sender's.
TEST_CASE("a patch is not applied to another base than its own, and not if it is damaged")
{
    RecordCache sender;
    sender.append({record(4, routes(Routes, 1)), record(5, routes(Routes, 1) + "end")}, 6);
    auto patches = makePatches();
    auto patch = patches.patchFrom(sender, StorePosition{.offset = 4});
    REQUIRE(patch);
    REQUIRE(patch->base == 4);
    CHECK_FALSE(restoredRecord(*patch, RecordCache()));
    RecordCache other;
    other.append({record(4, routes(Routes, 2))}, 5);
    CHECK_FALSE(restoredRecord(*patch, other));
    patch->data.resize(patch->data.size() / 2);
    CHECK_FALSE(restoredRecord(*patch, sender));
    CHECK_FALSE(internal::restoreRecord("no compressed data", {}));
    CHECK_FALSE(internal::restoreRecord("", {}));
    CHECK_FALSE(
        internal::restoreRecord(internal::compressRecord(std::string(internal::MaxRecordBytes + 1, 'x'), {}), {}));
}

TEST_CASE("a patch is created once for all VMs with the same base")
{
    RecordCache cache;
    cache.append({record(4, routes(Routes, 1)), record(5, routes(Routes, 1) + "end")}, 6);
    auto patches = makePatches();
    const auto first = patches.patchFrom(cache, StorePosition{.offset = 4});
    CHECK(patches.patchFrom(cache, StorePosition{.offset = 4}) == first);
    // Records of other keys advance the end of the topic but not the newest record of this key.
    cache.append({{.offset = 6, .key = "other", .value = "x"}}, 7);
    const auto later = patches.patchFrom(cache, StorePosition{.offset = 4});
    REQUIRE(later);
    CHECK(later->end == 7);
    CHECK(later->data == first->data);
}

// Guards against VMs that fetch a long configuration again that they have, because records of other keys follow it.
TEST_CASE("a VM that has the newest record gets a short patch with the end of the topic")
{
    RecordCache cache;
    cache.append({record(4, routes(Routes, 1)), {.offset = 5, .key = "other", .value = "x"}}, 6);
    auto patches = makePatches();
    const auto patch = patches.patchFrom(cache, StorePosition{.offset = 4});
    REQUIRE(patch);
    CHECK(patch->offset == 4);
    CHECK(patch->end == 6);
    CHECK(patch->data.size() < 100);
}

TEST_CASE("the target of a patch names the topic and the base")
{
    CHECK(patchRequest(patchTarget(Topic, StorePosition{.era = 2, .offset = 17}))
          == PatchRequest{.topic = std::string(Topic), .base = StorePosition{.era = 2, .offset = 17}});
    CHECK(patchRequest(patchTarget(Topic, std::nullopt)) == PatchRequest{.topic = std::string(Topic), .base = {}});
    CHECK_FALSE(patchRequest("/v1/log-read?topic=keyed.op&from=3"));
}
