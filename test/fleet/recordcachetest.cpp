#include "verbenadock/fleet/recordcache.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;
using Platform::KeyedRecord;

namespace {

RecordCache cacheWithThreeOffsets()
{
    RecordCache cache;
    cache.reset({.records = {{.offset = 4, .key = "a", .value = "1"}, {.offset = 9, .key = "b", .value = "1"}},
                 .end = {.offset = 10}});
    cache.append({{.offset = 10, .key = "a", .value = "2"}, {.offset = 12, .key = "b", .value = std::nullopt}}, 13);
    return cache;
}

} // namespace

// Guards against whole pages for a single change. When 44 VMs of a data centre read pages of 260 upstreams from one VM
// with a tenth of a core and 10 Mbit/s, the last one had the change 2.7 s after the store.
TEST_CASE("a read from a recent offset returns only the records from there on")
{
    const auto page = cacheWithThreeOffsets().recordsFrom(12);
    REQUIRE(page);
    CHECK(page->end == 13);
    REQUIRE(page->records.size() == 1);
    const auto record = Platform::splitKeyed(page->records.front());
    REQUIRE(record);
    CHECK(*record == KeyedRecord{.offset = 12, .key = "b", .value = std::nullopt});
}

TEST_CASE("offsets without a readable record are returned as empty records")
{
    const auto page = cacheWithThreeOffsets().recordsFrom(10);
    REQUIRE(page);
    REQUIRE(page->records.size() == 3);
    CHECK(page->records[1] == Platform::StoredRecord{.offset = 11, .data = {}});
    CHECK(page->records[2].offset == 12);
    CHECK(cacheWithThreeOffsets().recordsFrom(13)->records.empty());
}

// Records before a full read were never read one by one.
TEST_CASE("a read from an offset that is no longer cached returns nothing")
{
    CHECK_FALSE(cacheWithThreeOffsets().recordsFrom(9));
    RecordCache cache = cacheWithThreeOffsets();
    for (std::uint64_t offset = 13; offset < 2000; ++offset) {
        cache.append({{.offset = offset, .key = "a", .value = "3"}}, offset + 1);
    }
    CHECK_FALSE(cache.recordsFrom(13));
    CHECK(cache.recordsFrom(1990));
}

// Guards against a cache that serves empty records in place of those that it never read.
TEST_CASE("a cache with the newest records only has no page for older offsets")
{
    RecordCache cache;
    cache.reset({.records = {{.offset = 600, .key = "a", .value = "1"}}, .end = {.offset = 601}});
    CHECK_FALSE(cache.recordsFrom(0));
    CHECK_FALSE(cache.recordsFrom(600));
    CHECK(cache.recordsFrom(601)->records.empty());
    cache.append({{.offset = 601, .key = "a", .value = "2"}}, 602);
    cache.reset({.records = {{.offset = 601, .key = "a", .value = "2"}}, .end = {.offset = 602}});
    const auto kept = cache.recordsFrom(601);
    REQUIRE(kept);
    CHECK(kept->records.size() == 1);
}

// Guards against processes that are killed for their memory after many long records.
TEST_CASE("the cached records are bounded by their bytes, too")
{
    RecordCache cache;
    const std::string value(256 * 1024, 'x');
    for (std::uint64_t offset = 0; offset < 100; ++offset) {
        cache.append({{.offset = offset, .key = "a", .value = value}}, offset + 1);
    }
    CHECK_FALSE(cache.recordsFrom(80));
    const auto last = cache.recordsFrom(99);
    REQUIRE(last);
    CHECK(last->records.size() == 1);
}

TEST_CASE("the newest records contain no removed keys")
{
    const auto newest = cacheWithThreeOffsets().newest();
    CHECK(newest.end.offset == 13);
    REQUIRE(newest.records.size() == 1);
    CHECK(newest.records.front() == KeyedRecord{.offset = 10, .key = "a", .value = "2"});
}

// Guards against pages that exceed the time-out. A VM with a slow link lacked 336 records. The page with all of them
// never arrived in time and the next one was longer: the VM got no change for 4.5 s and sent claims to upstreams that
// had left.
TEST_CASE("a long page is split into parts without gaps or overlap")
{
    RecordCache cache;
    std::vector<Platform::KeyedRecord> records;
    for (std::uint64_t offset = 0; offset < 100; ++offset) {
        records.push_back({.offset = offset, .key = std::to_string(offset), .value = std::string(300, 'x')});
    }
    cache.append(records, 100);
    std::uint64_t next = 0;
    int pages = 0;
    while (next < 100) {
        auto page = cache.recordsFrom(next);
        REQUIRE(page);
        truncatePage(*page, 4096);
        REQUIRE_FALSE(page->records.empty());
        CHECK(page->records.front().offset == next);
        CHECK(page->records.size() * 300 <= 4096);
        CHECK(page->end == page->records.back().offset + 1);
        next = page->end;
        ++pages;
    }
    CHECK(pages == 8);
    auto lastPage = cache.recordsFrom(99);
    truncatePage(*lastPage, 10);
    CHECK(lastPage->records.size() == 1);
}

// Guards against a VM that learns from another one that an upstream is ready which has left since, because pages and
// datagrams reached that VM in another order than they were written.
TEST_CASE("a page that arrives late does not replace newer records")
{
    RecordCache cache;
    cache.append({{.offset = 0, .key = "a", .value = "ready"}, {.offset = 1, .key = "b", .value = "ready"}}, 2);
    cache.append({{.offset = 2, .key = "a", .value = "draining"}, {.offset = 3, .key = "b", .value = std::nullopt}}, 4);
    cache.append({{.offset = 0, .key = "a", .value = "ready"}, {.offset = 1, .key = "b", .value = "ready"}}, 2);
    const auto newest = cache.newest();
    REQUIRE(newest.records.size() == 1);
    CHECK(newest.records.front() == KeyedRecord{.offset = 2, .key = "a", .value = "draining"});
    CHECK(newest.end.offset == 4);
}

// Guards against VMs that get records of before the store's return under the offsets of after it.
TEST_CASE("the records of a new era replace all others, with lower offsets")
{
    auto cache = cacheWithThreeOffsets();
    cache.reset({.records = {{.offset = 2, .key = "c", .value = "1"}}, .end = {.era = 1, .offset = 3}});
    cache.append({{.offset = 3, .key = "c", .value = "2"}}, 4);
    const auto newest = cache.newest();
    REQUIRE(newest.records.size() == 1);
    CHECK(newest.records.front() == KeyedRecord{.offset = 3, .key = "c", .value = "2"});
    CHECK(newest.end == StorePosition{.era = 1, .offset = 4});
    CHECK_FALSE(cache.recordsFrom(2));
    REQUIRE(cache.recordsFrom(3));
    CHECK(cache.recordsFrom(3)->era == 1);
}

// Guards against patches of a long record that hold the whole record, because the one that the other VM has was read
// with the newest records of all keys and not from its offset.
TEST_CASE("a record that was read with the newest ones can be looked up after it was replaced several times")
{
    RecordCache cache;
    cache.reset({.records = {{.offset = 3, .key = "a", .value = "1"}}, .end = {.offset = 9}});
    cache.append({{.offset = 9, .key = "a", .value = "2"}, {.offset = 10, .key = "a", .value = "3"}}, 12);
    const auto valueAt = [&cache](std::uint64_t offset) {
        const auto record = cache.recordAt(offset);
        return record ? Platform::splitKeyed(*record)->value.value_or("") : std::string();
    };
    CHECK(valueAt(3) == "1");
    CHECK(valueAt(9) == "2");
    CHECK(valueAt(10) == "3");
    CHECK_FALSE(cache.recordAt(11));
    CHECK_FALSE(cache.recordAt(2));
    CHECK_FALSE(cache.recordAt(12));
    REQUIRE(cache.newestOf("a") != nullptr);
    CHECK(cache.newestOf("a")->offset == 10);
    CHECK(cache.newestOf("b") == nullptr);
    cache.reset({.records = {{.offset = 1, .key = "a", .value = "4"}}, .end = {.era = 1, .offset = 2}});
    CHECK_FALSE(cache.recordAt(3));
    CHECK(valueAt(1) == "4");
}

// Guards against memory that grows with the number of long records.
TEST_CASE("the replaced records are bounded by their bytes")
{
    RecordCache cache;
    const std::string value(300 * 1024, 'x');
    for (std::uint64_t offset = 0; offset < 20; ++offset) {
        cache.reset({.records = {{.offset = offset, .key = "a", .value = value}}, .end = {.offset = offset + 1}});
    }
    CHECK(cache.recordAt(19));
    CHECK(cache.recordAt(18));
    CHECK(cache.recordAt(16));
    CHECK_FALSE(cache.recordAt(14));
}
