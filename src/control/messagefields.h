#ifndef VERBENADOCK_CONTROL_MESSAGEFIELDS_H
#define VERBENADOCK_CONTROL_MESSAGEFIELDS_H

#include "verbenadock/control/message.h"

#include <concepts>
#include <type_traits>

/// Field lists of the messages, shared by the encoder and the decoder. Field names are short because messages are sent
/// every second; they must not change within a protocol version.
namespace Verbenadock::Control::internal {

template<typename Value, typename Expected>
concept MaybeConst = std::same_as<std::remove_const_t<Value>, Expected>;

void describe(auto &archive, MaybeConst<UpstreamKey> auto &value)
{
    archive("b", value.bundle);
    archive("s", value.service);
    archive("u", value.upstream);
}

void describe(auto &archive, MaybeConst<Hello> auto &value)
{
    archive("v", value.protocolVersion);
    archive("r", value.role);
    archive("m", value.vmId);
    archive("d", value.dataCentre);
    archive("i", value.incarnation);
    archive("a", value.address);
}

void describe(auto &archive, MaybeConst<BundleInForce> auto &value)
{
    archive("n", value.name);
    archive("v", value.version);
    archive("p", value.replaces);
    archive("d", value.digest);
    archive("c", value.content);
    archive("r", value.records);
    archive("o", value.offset);
}

void describe(auto &archive, MaybeConst<BundleDigest> auto &value)
{
    archive("n", value.name);
    archive("v", value.version);
    archive("d", value.digest);
    archive("o", value.offset);
}

void describe(auto &archive, MaybeConst<ConfigurationDigest> auto &value)
{
    archive("h", value.summary);
    archive("c", value.complete);
    archive("b", value.bundles);
}

void describe(auto &archive, MaybeConst<BundleRequest> auto &value)
{
    archive("n", value.names);
}

void describe(auto &archive, MaybeConst<BundleTransfer> auto &value)
{
    archive("b", value.bundles);
}

void describe(auto &archive, MaybeConst<ConfigurationUpdate> auto &value)
{
    archive("b", value.bundles);
}

void describe(auto &archive, MaybeConst<UpstreamEvidence> auto &value)
{
    archive("k", value.upstream);
    archive("c", value.counts);
    archive("l", value.latencySum);
}

void describe(auto &archive, MaybeConst<EvidenceReport> auto &value)
{
    archive("o", value.observer);
    archive("u", value.upstreams);
}

void describe(auto &archive, MaybeConst<UpstreamVerdict> auto &value)
{
    archive("k", value.upstream);
    archive("s", value.sick);
    archive("a", value.age);
}

void describe(auto &archive, MaybeConst<HealthVerdicts> auto &value)
{
    archive("o", value.origin);
    archive("n", value.sequence);
    archive("c", value.complete);
    archive("v", value.verdicts);
}

void describe(auto &archive, MaybeConst<LeavingUpdate> auto &value)
{
    archive("a", value.addresses);
}

void describe(auto &archive, MaybeConst<DrainingUpstream> auto &value)
{
    archive("e", value.endpoint);
    archive("a", value.age);
}

void describe(auto &archive, MaybeConst<DrainNotice> auto &value)
{
    archive("u", value.upstreams);
}

void describe(auto &archive, MaybeConst<MemberUpdate> auto &value)
{
    archive("m", value.vmId);
    archive("a", value.address);
    archive("d", value.dataCentre);
    archive("i", value.incarnation);
    archive("s", value.state);
    archive("o", value.observer);
}

void describe(auto &archive, MaybeConst<Heartbeat> auto &value)
{
    archive("n", value.sequence);
    archive("u", value.updates);
}

void describe(auto &archive, MaybeConst<HeartbeatAck> auto &value)
{
    archive("n", value.sequence);
    archive("u", value.updates);
}

void describe(auto &archive, MaybeConst<IndirectProbe> auto &value)
{
    archive("m", value.target);
    archive("n", value.sequence);
}

void describe(auto &archive, MaybeConst<IndirectProbeAck> auto &value)
{
    archive("m", value.target);
    archive("n", value.sequence);
    archive("s", value.alive);
}

void describe(auto &archive, MaybeConst<KeyEpochRecord> auto &value)
{
    archive("r", value.record);
    archive("k", value.knownBy);
}

void describe(auto &archive, MaybeConst<KeyEpochs> auto &value)
{
    archive("c", value.complete);
    archive("e", value.epochs);
}

void describe(auto &archive, MaybeConst<KeyEpochRequest> auto &value)
{
    archive("e", value.epoch);
}

void describe(auto &archive, MaybeConst<Keys::EpochMember> auto &value)
{
    archive("m", value.vm);
    archive("i", value.incarnation);
    archive("a", value.address);
    archive("d", value.dataCentre);
}

void describe(auto &archive, MaybeConst<KeyMembers> auto &value)
{
    archive("m", value.members);
}

void describe(auto &archive, MaybeConst<Keys::MemberId> auto &value)
{
    archive("m", value.vm);
    archive("i", value.incarnation);
}

void describe(auto &archive, MaybeConst<Keys::Key> auto &value)
{
    archive("b", value.bundle);
    archive("v", value.value);
}

void describe(auto &archive, MaybeConst<KeyForward> auto &value)
{
    archive("n", value.id);
    archive("t", value.to);
    archive("e", value.epoch);
    archive("k", value.key);
    archive("f", value.fingerprint);
    archive("c", value.callerAddress);
    archive("r", value.requestId);
    archive("h", value.head);
    archive("b", value.body);
}

void describe(auto &archive, MaybeConst<KeyForwardAnswer> auto &value)
{
    archive("n", value.id);
    archive("k", value.kind);
    archive("e", value.epoch);
    archive("s", value.status);
    archive("h", value.headers);
    archive("b", value.body);
    archive("r", value.reason);
    archive("a", value.retryAfterSeconds);
}

void describe(auto &archive, MaybeConst<KeyHandOverAnswer> auto &value)
{
    archive("p", value.part);
    archive("s", value.accepted);
}

void describe(auto &archive, MaybeConst<KeyConfirmation> auto &value)
{
    archive("m", value.member);
    archive("e", value.epoch);
}

void describe(auto &archive, MaybeConst<Keys::Fingerprint> auto &value)
{
    archive("m", value.method);
    archive("t", value.target);
    archive("d", value.bodyDigest);
}

void describe(auto &archive, MaybeConst<Keys::StoredAnswer> auto &value)
{
    archive("s", value.status);
    archive("h", value.headers);
    archive("b", value.body);
}

void describe(auto &archive, MaybeConst<Keys::KeyRecord> auto &value)
{
    archive("k", value.key);
    archive("f", value.fingerprint);
    archive("s", value.answered);
    archive("r", value.answer);
    archive("a", value.age);
}

void describe(auto &archive, MaybeConst<Keys::FenceRequest> auto &value)
{
    archive("n", value.id);
    archive("f", value.from);
    archive("t", value.to);
    archive("e", value.epoch);
    archive("k", value.key);
    archive("g", value.gone);
}

void describe(auto &archive, MaybeConst<Keys::FenceReply> auto &value)
{
    archive("n", value.id);
    archive("f", value.from);
    archive("m", value.about);
    archive("t", value.to);
    archive("s", value.verdict);
    archive("e", value.epoch);
    archive("c", value.confirmed);
    archive("r", value.record);
    archive("g", value.covered);
}

void describe(auto &archive, MaybeConst<Keys::Transfer> auto &value)
{
    archive("g", value.giver);
    archive("e", value.epoch);
    archive("t", value.receiver);
}

void describe(auto &archive, MaybeConst<Keys::HandOverPart> auto &value)
{
    archive("f", value.from);
    archive("t", value.to);
    archive("e", value.epoch);
    archive("p", value.part);
    archive("n", value.parts);
    archive("r", value.records);
    archive("g", value.transfers);
}

} // namespace Verbenadock::Control::internal

#endif
