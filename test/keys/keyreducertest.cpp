#include "verbenadock/keys/keyreducer.h"
#include "uuid.h"

#include <catch2/catch.hpp>
#include <map>

using namespace Verbenadock;
using namespace Verbenadock::Keys;

namespace {

const MemberId Self{"vm0", 1};

TimePoint at(int seconds)
{
    return TimePoint(std::chrono::seconds(seconds));
}

Epoch makeEpoch(EpochNumber number, std::size_t members)
{
    Epoch epoch{.number = number, .replaces = number - 1, .members = {}};
    for (std::size_t vm = 0; vm < members; ++vm) {
        epoch.members.push_back({"vm" + std::to_string(vm), 1, "127.0.0.1:1", "a"});
    }
    return epoch;
}

KeyReducer makeSoleOwner(KeySettings settings = {})
{
    settings.self = Self;
    KeyReducer reducer(settings);
    reducer.apply(EpochsChanged{.at = at(0), .epochs = {{.epoch = makeEpoch(1, 1), .knownBy = {}}}});
    return reducer;
}

KeyedRequestArrived arrival(RequestId request, const std::string &key, const std::string &digest = "d")
{
    return {.at = at(1),
            .wall = {},
            .request = request,
            .key = {"b", key},
            .fingerprint = {"POST", "/claims", digest},
            .forwarding = std::nullopt};
}

ExecutionEnded answered(RequestId request, std::size_t bytes)
{
    const StoredAnswer answer{.status = 200, .headers = {}, .body = std::string(bytes, 'x')};
    return {.at = at(2), .request = request, .result = ExecutionResult::Answered, .answer = answer};
}

Refuse requireRefusal(const Effects &effects)
{
    REQUIRE(effects.size() == 1);
    REQUIRE(std::holds_alternative<Refuse>(effects.front()));
    return std::get<Refuse>(effects.front());
}

} // namespace

// Guards against a duplicate that runs concurrently with the first request or gets no answer.
TEST_CASE("a duplicate waits for the running request and gets its answer")
{
    auto reducer = makeSoleOwner();
    CHECK(reducer.apply(arrival(1, "k")) == Effects{Execute{.request = 1}});
    CHECK(reducer.apply(arrival(2, "k")).empty());
    const auto ended = answered(1, 3);
    CHECK(reducer.apply(ended) == Effects{Replay{.request = 2, .answer = *ended.answer}});
    CHECK(reducer.apply(arrival(3, "k")) == Effects{Replay{.request = 3, .answer = *ended.answer}});
}

// Guards against answering other work with a stored answer.
TEST_CASE("a key that is used for other work is refused")
{
    auto reducer = makeSoleOwner();
    reducer.apply(arrival(1, "k"));
    CHECK(requireRefusal(reducer.apply(arrival(2, "k", "other"))).reason == Reason::KeyReused);
}

// Guards against a table that grows without bound, and against forgetting that a key ran.
TEST_CASE("a full table drops answers first, keeps the keys, and refuses new ones")
{
    auto reducer = makeSoleOwner({.self = Self, .keyLimit = 2, .answerBytesLimit = 10});
    reducer.apply(arrival(1, "k1"));
    reducer.apply(answered(1, 6));
    reducer.apply(arrival(2, "k2"));
    reducer.apply(answered(2, 6));
    CHECK(requireRefusal(reducer.apply(arrival(3, "k1"))).reason == Reason::AnswerNotKept);
    const auto full = requireRefusal(reducer.apply(arrival(4, "k3")));
    CHECK(full.reason == Reason::TableFull);
    CHECK(full.outcome == Outcome::NotRun);
    reducer.apply(TimerExpired{.at = at(603)});
    CHECK(reducer.apply(arrival(5, "k1")) == Effects{Execute{.request = 5}});
}

// Guards against treating a key without a timestamp as created after its owner had ended.
TEST_CASE("only a complete UUID of version 7 has a timestamp")
{
    CHECK(Internal::uuidTime("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
          == WallTime(std::chrono::milliseconds(0x017f22e279b0)));
    CHECK_FALSE(Internal::uuidTime("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"));
    CHECK_FALSE(Internal::uuidTime("017f22e2-79b0-7cc3-c8c4-dc0c0c07398f"));
    CHECK_FALSE(Internal::uuidTime("017f22e2-79b0-7cc3-98c4-dc0c0c07398"));
}

// Guards against agents that derive different epochs from the same records.
TEST_CASE("the first record that replaces the newest epoch wins")
{
    EpochLog log;
    CHECK(log.apply(at(0), {}, encodeEpoch(makeEpoch(1, 2))) == EpochResult::Accepted);
    CHECK(log.apply(at(0), {}, encodeEpoch(makeEpoch(2, 3))) == EpochResult::Accepted);
    CHECK(log.apply(at(0), {}, encodeEpoch(makeEpoch(2, 4))) == EpochResult::Late);
    CHECK(log.apply(at(0), {}, encodeEpoch(makeEpoch(4, 4))) == EpochResult::Broken);
    CHECK(log.apply(at(0), {}, R"({"epoch":3,"replaces":2,"members":[],"more":1})") == EpochResult::Broken);
    CHECK(log.newest() == makeEpoch(2, 3));
    log.prune(at(600));
    CHECK(log.epochs().size() == 1);
    CHECK(log.lateRecords() == 1);
    CHECK(log.brokenRecords() == 2);
}

// Guards against an uneven distribution of keys, and against a new owner for keys whose owner remains a member.
TEST_CASE("owners share the keys evenly and keep them when another member leaves")
{
    const auto before = makeEpoch(1, 40);
    const auto after = makeEpoch(2, 39);
    std::map<std::string, int> keyCounts;
    for (int index = 0; index < 40000; ++index) {
        const Key key{"b", std::to_string(index)};
        const auto owner = ownerOf(before, key)->vm;
        ++keyCounts[owner];
        REQUIRE(ownerOf(after, key)->vm == (owner == "vm39" ? successorOf(before, "vm39", key)->vm : owner));
    }
    for (const auto &[vm, count] : keyCounts) {
        INFO(vm << " owns " << count << " of 40000 keys");
        CHECK(count > 850);
        CHECK(count < 1150);
    }
}
