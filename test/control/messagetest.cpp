#include "verbenadock/control/message.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace Verbenadock;
using namespace Verbenadock::Control;

namespace {

std::string cbor(const nlohmann::json &object)
{
    std::string bytes;
    nlohmann::json::to_cbor(object, bytes);
    return bytes;
}

UpstreamKey arbitraryKey()
{
    return {*rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<std::string>()};
}

BundleInForce arbitraryBundle()
{
    return {.name = *rc::gen::arbitrary<std::string>(),
            .version = *rc::gen::arbitrary<std::uint64_t>(),
            .digest = *rc::gen::arbitrary<std::string>(),
            .content = *rc::gen::arbitrary<std::string>(),
            .records = *rc::gen::arbitrary<std::vector<std::string>>(),
            .offset = *rc::gen::arbitrary<std::uint64_t>(),
            .replaces = *rc::gen::arbitrary<std::uint64_t>()};
}

MemberUpdate arbitraryUpdate()
{
    return {.vmId = *rc::gen::arbitrary<std::string>(),
            .address = *rc::gen::arbitrary<std::string>(),
            .dataCentre = *rc::gen::arbitrary<std::string>(),
            .incarnation = *rc::gen::arbitrary<std::uint64_t>(),
            .state = *rc::gen::element(MemberState::Alive, MemberState::Suspect, MemberState::Dead),
            .observer = *rc::gen::arbitrary<std::string>()};
}

UpstreamEvidence arbitraryEvidence()
{
    UpstreamEvidence evidence{
        .upstream = arbitraryKey(), .counts = {}, .latencySum = *rc::gen::arbitrary<std::uint64_t>()};
    for (const auto cause : {Health::Cause::Success, Health::Cause::Timeout, Health::Cause::Cancelled}) {
        if (*rc::gen::arbitrary<bool>()) {
            evidence.counts[cause] = *rc::gen::arbitrary<std::uint32_t>();
        }
    }
    return evidence;
}

template<typename Make>
auto upToThree(Make make)
{
    std::vector<decltype(make())> values;
    const auto count = *rc::gen::inRange(0, 4);
    values.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        values.push_back(make());
    }
    return values;
}

std::vector<Message> oneOfEach()
{
    const auto text = *rc::gen::arbitrary<std::string>();
    const auto number = *rc::gen::arbitrary<std::uint64_t>();
    const auto flag = *rc::gen::arbitrary<bool>();
    const Duration age(*rc::gen::inRange<std::int64_t>(0, INT64_MAX));
    const Keys::MemberId member{text, number};
    const Keys::Key key{"bundle", text};
    const Keys::Fingerprint fingerprint{"POST", text, "digest"};
    Keys::KeyRecord record{.key = key, .fingerprint = {}, .answered = flag, .answer = {}, .age = age};
    if (flag) {
        record.fingerprint = fingerprint;
        record.answer = Keys::StoredAnswer{200, {{"Name", text}}, text};
    }
    return {
        Hello{1, flag ? PeerRole::Entry : PeerRole::Agent, text, "cz-1", number, text},
        ConfigurationDigest{number, flag, {{text, number, "d", 7}}},
        BundleRequest{*rc::gen::arbitrary<std::vector<std::string>>()},
        BundleTransfer{upToThree(arbitraryBundle)},
        ConfigurationUpdate{upToThree(arbitraryBundle)},
        EvidenceReport{text, upToThree(arbitraryEvidence)},
        HealthVerdicts{text, number, flag, {{arbitraryKey(), flag, age}}},
        LeavingUpdate{*rc::gen::arbitrary<std::vector<std::string>>()},
        Heartbeat{number, upToThree(arbitraryUpdate)},
        HeartbeatAck{number, upToThree(arbitraryUpdate)},
        IndirectProbe{text, number},
        IndirectProbeAck{text, number, flag},
        DrainNotice{{{text, age}}},
        KeyEpochs{flag, {{text, number}}},
        KeyEpochRequest{number},
        KeyMembers{{{.vm = text, .incarnation = number, .address = text, .dataCentre = "cz-1"}}},
        KeyForward{number, member, number, key, fingerprint, text, "r-1", text, text},
        KeyForwardAnswer{number, KeyAnswerKind::NotOwner, number, 503, {{"Name", text}}, text, text, 1},
        KeyHandOverAnswer{7, flag},
        KeyConfirmation{member, number},
        Keys::FenceRequest{number, member, {"vm-2", 1}, number, key, {member}},
        Keys::FenceReply{number, member, member, {"vm-2", 1}, Keys::FenceVerdict::Known, 3, 2, record, {member}},
        Keys::HandOverPart{member, {"vm-2", 1}, number, 0, 2, {record}, {{member, number, {"vm-2", 1}}}},
    };
}

} // namespace

// Guards against a field that only the encoder or only the decoder handles.
TEST_CASE("every message is unchanged after encoding and decoding")
{
    CHECK(rc::check([] {
        for (const auto &message : oneOfEach()) {
            RC_ASSERT(decode(encode(message)) == message);
        }
    }));
}

// Guards against a crash or an invalid message when a peer sends corrupted bytes.
TEST_CASE("a corrupted message throws MessageError or decodes to a valid message")
{
    CHECK(rc::check([] {
        auto bytes = encode((*rc::gen::elementOf(oneOfEach())));
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[position] = *rc::gen::arbitrary<char>();
        if (*rc::gen::arbitrary<bool>()) {
            bytes.resize(position);
        }
        try {
            encode(decode(bytes));
        } catch (const MessageError &) {
        }
    }));
}

// Guards against a stack overflow: the CBOR parser recurses for nested items and for nested chunks of strings.
TEST_CASE("deeply nested input throws MessageError")
{
    for (const char byte : {'\x81', '\xA1', '\x7F', '\x5F', '\x9F', '\xC1'}) {
        CHECK_THROWS_AS(decode(std::string(8U << 20U, byte)), MessageError);
    }
}

TEST_CASE("wrong field types and unknown message types throw MessageError")
{
    const nlohmann::json probe = {{"type", "ip"}, {"m", "vm-1"}, {"n", 5U}};
    REQUIRE(decode(cbor(probe)) == Message(IndirectProbe{"vm-1", 5}));
    const std::vector<nlohmann::json> patches = {{{"type", "zz"}},
                                                 {{"type", 3}},
                                                 {{"m", 5}},
                                                 {{"n", "5"}},
                                                 {{"n", -5}},
                                                 {{"n", 5.0}},
                                                 {{"n", true}},
                                                 {{"n", nullptr}}};
    for (const auto &patch : patches) {
        auto changed = probe;
        changed.merge_patch(patch);
        INFO("message: " << changed.dump());
        CHECK_THROWS_AS(decode(cbor(changed)), MessageError);
    }
    CHECK_THROWS_AS(decode(""), MessageError);
    CHECK_THROWS_AS(decode(cbor(probe) + "x"), MessageError);
    CHECK_THROWS_AS(decode(cbor({1, 2})), MessageError);
}

TEST_CASE("numbers out of range throw MessageError")
{
    const auto hello = [](std::uint64_t role, std::uint64_t version) {
        return cbor({{"type", "hi"}, {"v", version}, {"r", role}, {"m", ""}, {"d", ""}, {"i", 1U}, {"a", ""}});
    };
    CHECK_NOTHROW(decode(hello(1, 1)));
    CHECK_THROWS_AS(decode(hello(2, 1)), MessageError);
    CHECK_THROWS_AS(decode(hello(1, std::uint64_t{1} << 32U)), MessageError);
}
