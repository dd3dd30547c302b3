#include "verbenadock/fleet/recordcache.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;
using Platform::KeyedRecord;

namespace {

RecordCache cacheWithThree()
{
    RecordCache cache;
    cache.reset(
        {.records = {{.offset = 4, .key = "a", .value = "1"}, {.offset = 9, .key = "b", .value = "1"}}, .end = 10});
    cache.append({{.offset = 10, .key = "a", .value = "2"}, {.offset = 12, .key = "b", .value = std::nullopt}}, 13);
    return cache;
}

} // namespace

// Pattern: 44 VMs of a data centre learn of a change from one VM with a tenth of a core and 10 Mbit/s. With whole pages
// of 260 upstreams the last one had the change 2.7 s after the store.
TEST_CASE("a VM that lacks the last records gets just these")
{
    const auto page = cacheWithThree().recordsFrom(12);
    REQUIRE(page);
    CHECK(page->end == 13);
    REQUIRE(page->records.size() == 1);
    const auto record = Platform::splitKeyed(page->records.front());
    REQUIRE(record);
    CHECK(*record == KeyedRecord{.offset = 12, .key = "b", .value = std::nullopt});
}

TEST_CASE("offsets without a readable record are passed on, so that the others keep their offsets")
{
    const auto page = cacheWithThree().recordsFrom(10);
    REQUIRE(page);
    REQUIRE(page->records.size() == 3);
    CHECK(page->records[1] == Platform::StoredRecord{.offset = 11, .data = {}});
    CHECK(page->records[2].offset == 12);
    CHECK(cacheWithThree().recordsFrom(13)->records.empty());
}

// Records before the newest ones were read were never seen one by one.
TEST_CASE("a VM that lacks older records is told so")
{
    CHECK_FALSE(cacheWithThree().recordsFrom(9));
    RecordCache cache = cacheWithThree();
    for (std::uint64_t offset = 13; offset < 2000; ++offset) {
        cache.append({{.offset = offset, .key = "a", .value = "3"}}, offset + 1);
    }
    CHECK_FALSE(cache.recordsFrom(13));
    CHECK(cache.recordsFrom(1990));
}

TEST_CASE("the newest records hold no dropped keys")
{
    const auto newest = cacheWithThree().newest();
    CHECK(newest.end == 13);
    REQUIRE(newest.records.size() == 1);
    CHECK(newest.records.front() == KeyedRecord{.offset = 10, .key = "a", .value = "2"});
}

// Pattern: a VM with a slow link lacked 336 records. The page with all of them never came within the time-out, and the
// next one was longer: it knew nothing new for 4.5 s, and sent claims to upstreams that had left.
TEST_CASE("a long page is passed on in parts that end where the next one begins")
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
    auto one = cache.recordsFrom(99);
    truncatePage(*one, 10);
    CHECK(one->records.size() == 1);
}
