#include "verbenadock/fleet/recordmessages.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;

namespace {

Platform::StoredPage pageOf(std::uint64_t from, std::size_t count, std::size_t bytes)
{
    Platform::StoredPage page{.first = 0, .end = from + count, .records = {}};
    for (std::size_t number = 0; number < count; ++number) {
        page.records.push_back({.offset = from + number, .data = std::string(bytes, static_cast<char>('a' + number))});
    }
    return page;
}

} // namespace

// Guards against all VMs fetching a change at once. 45 VMs with a tenth of a core each fetched a change from one reader
// and ran into time-outs; a VM sent claims to an upstream 2.9 s after the store had confirmed that the upstream left.
TEST_CASE("the messages contain all new records, in order and without gaps")
{
    const auto page = pageOf(100, 20, 300);
    std::uint64_t next = 100;
    std::vector<Platform::StoredRecord> received;
    for (const auto &message : recordMessages("a-1", "keyed.servers", 100, page)) {
        const auto datagram = Mesh::encode(message);
        CHECK(datagram.size() < 2000);
        const auto read = Mesh::decode(datagram);
        REQUIRE(read);
        const auto following = followingRecords(std::get<Mesh::StoreRecords>(*read), {.offset = next});
        REQUIRE(following);
        next = following->end;
        received.insert(received.end(), following->records.begin(), following->records.end());
    }
    CHECK(next == page.end);
    CHECK(received == page.records);
}

TEST_CASE("a receiver ignores messages after a gap and applies only the records that it lacks")
{
    const auto messages = recordMessages("a-1", "keyed.servers", 100, pageOf(100, 4, 300));
    REQUIRE(messages.size() == 1);
    CHECK_FALSE(followingRecords(messages.front(), {.offset = 99}));
    CHECK_FALSE(followingRecords(messages.front(), {.offset = 104}));
    const auto rest = followingRecords(messages.front(), {.offset = 102});
    REQUIRE(rest);
    REQUIRE(rest->records.size() == 2);
    CHECK(rest->records.front().offset == 102);
    CHECK(rest->end == 104);
}

// Guards against skipping the records of a lost datagram.
TEST_CASE("messages after a lost message are ignored")
{
    const auto messages = recordMessages("a-1", "keyed.servers", 0, pageOf(0, 12, 300));
    REQUIRE(messages.size() > 1);
    CHECK_FALSE(followingRecords(messages[1], {.offset = messages[0].from}));
}

// A configuration with hundreds of routes takes about 100 KB.
TEST_CASE("a record that is too large for a message, and those after it, are left out")
{
    auto page = pageOf(7, 3, 100);
    page.records[1].data = std::string(60'000, 'x');
    const auto messages = recordMessages("a-1", "keyed.op", 7, page);
    REQUIRE(messages.size() == 1);
    CHECK(messages.front().end == 8);
    CHECK(recordMessages("a-1", "keyed.op", 8, page).empty());
}

TEST_CASE("the last message covers offsets without records at the end of the page")
{
    auto page = pageOf(7, 1, 100);
    page.end = 12;
    const auto messages = recordMessages("a-1", "keyed.op", 7, page);
    REQUIRE(messages.size() == 1);
    CHECK(messages.front().end == 12);
}

// Guards against records of before the store's return under offsets that were given out again.
TEST_CASE("messages of another era are ignored")
{
    auto page = pageOf(100, 4, 300);
    page.era = 2;
    const auto messages = recordMessages("a-1", "keyed.servers", 100, page);
    REQUIRE(messages.size() == 1);
    CHECK_FALSE(followingRecords(messages.front(), {.era = 1, .offset = 102}));
    CHECK_FALSE(followingRecords(messages.front(), {.era = 3, .offset = 102}));
    CHECK(followingRecords(messages.front(), {.era = 2, .offset = 102}));
}
