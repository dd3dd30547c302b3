#ifndef VERBENADOCK_CONTROL_MESSAGEFIELDS_H
#define VERBENADOCK_CONTROL_MESSAGEFIELDS_H

#include "verbenadock/control/message.h"

#include <concepts>
#include <type_traits>

/// Lists the members of each message once, for the encoder and the decoder. Member names are short because messages
/// travel every second; they must not change within a protocol version.
namespace Verbenadock::Control::internal {

template<typename Value, typename Wanted>
concept Like = std::same_as<std::remove_const_t<Value>, Wanted>;

void describe(auto &archive, Like<UpstreamKey> auto &value)
{
    archive("b", value.bundle);
    archive("s", value.service);
    archive("u", value.upstream);
}

void describe(auto &archive, Like<Hello> auto &value)
{
    archive("v", value.protocolVersion);
    archive("r", value.role);
    archive("m", value.vmId);
    archive("d", value.dataCentre);
    archive("i", value.incarnation);
    archive("a", value.address);
}

void describe(auto &archive, Like<BundleInForce> auto &value)
{
    archive("n", value.name);
    archive("v", value.version);
    archive("p", value.replaces);
    archive("d", value.digest);
    archive("c", value.content);
    archive("r", value.records);
    archive("o", value.offset);
}

void describe(auto &archive, Like<BundleDigest> auto &value)
{
    archive("n", value.name);
    archive("v", value.version);
    archive("d", value.digest);
    archive("o", value.offset);
}

void describe(auto &archive, Like<ConfigurationDigest> auto &value)
{
    archive("h", value.summary);
    archive("c", value.complete);
    archive("b", value.bundles);
}

void describe(auto &archive, Like<BundleRequest> auto &value)
{
    archive("n", value.names);
}

void describe(auto &archive, Like<BundleTransfer> auto &value)
{
    archive("b", value.bundles);
}

void describe(auto &archive, Like<ConfigurationUpdate> auto &value)
{
    archive("b", value.bundles);
}

void describe(auto &archive, Like<UpstreamEvidence> auto &value)
{
    archive("k", value.upstream);
    archive("c", value.counts);
    archive("l", value.latencySum);
}

void describe(auto &archive, Like<EvidenceReport> auto &value)
{
    archive("o", value.observer);
    archive("u", value.upstreams);
}

void describe(auto &archive, Like<UpstreamVerdict> auto &value)
{
    archive("k", value.upstream);
    archive("s", value.sick);
    archive("a", value.age);
}

void describe(auto &archive, Like<HealthVerdicts> auto &value)
{
    archive("o", value.origin);
    archive("n", value.sequence);
    archive("c", value.complete);
    archive("v", value.verdicts);
}

void describe(auto &archive, Like<LeavingUpdate> auto &value)
{
    archive("a", value.addresses);
}

void describe(auto &archive, Like<DrainingUpstream> auto &value)
{
    archive("e", value.endpoint);
    archive("a", value.age);
}

void describe(auto &archive, Like<DrainNotice> auto &value)
{
    archive("u", value.upstreams);
}

void describe(auto &archive, Like<MemberUpdate> auto &value)
{
    archive("m", value.vmId);
    archive("a", value.address);
    archive("d", value.dataCentre);
    archive("i", value.incarnation);
    archive("s", value.state);
    archive("o", value.observer);
}

void describe(auto &archive, Like<Heartbeat> auto &value)
{
    archive("n", value.sequence);
    archive("u", value.updates);
}

void describe(auto &archive, Like<HeartbeatAck> auto &value)
{
    archive("n", value.sequence);
    archive("u", value.updates);
}

void describe(auto &archive, Like<IndirectProbe> auto &value)
{
    archive("m", value.target);
    archive("n", value.sequence);
}

void describe(auto &archive, Like<IndirectProbeAck> auto &value)
{
    archive("m", value.target);
    archive("n", value.sequence);
    archive("s", value.alive);
}

void describe(auto &archive, Like<KeyEpochRecord> auto &value)
{
    archive("r", value.record);
    archive("k", value.knownBy);
}

void describe(auto &archive, Like<KeyEpochs> auto &value)
{
    archive("c", value.complete);
    archive("e", value.epochs);
}

void describe(auto &archive, Like<KeyEpochRequest> auto &value)
{
    archive("e", value.epoch);
}

void describe(auto &archive, Like<Keys::EpochMember> auto &value)
{
    archive("m", value.vm);
    archive("i", value.incarnation);
    archive("a", value.address);
    archive("d", value.dataCentre);
}

void describe(auto &archive, Like<KeyMembers> auto &value)
{
    archive("m", value.members);
}

void describe(auto &archive, Like<Keys::MemberId> auto &value)
{
    archive("m", value.vm);
    archive("i", value.incarnation);
}

void describe(auto &archive, Like<Keys::Key> auto &value)
{
    archive("b", value.bundle);
    archive("v", value.value);
}

void describe(auto &archive, Like<KeyForward> auto &value)
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

void describe(auto &archive, Like<KeyForwardAnswer> auto &value)
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

void describe(auto &archive, Like<KeyHandOverAnswer> auto &value)
{
    archive("p", value.part);
    archive("s", value.accepted);
}

void describe(auto &archive, Like<KeyConfirmation> auto &value)
{
    archive("m", value.member);
    archive("e", value.epoch);
}

void describe(auto &archive, Like<Keys::Fingerprint> auto &value)
{
    archive("m", value.method);
    archive("t", value.target);
    archive("d", value.bodyDigest);
}

void describe(auto &archive, Like<Keys::StoredAnswer> auto &value)
{
    archive("s", value.status);
    archive("h", value.headers);
    archive("b", value.body);
}

void describe(auto &archive, Like<Keys::KeyRecord> auto &value)
{
    archive("k", value.key);
    archive("f", value.fingerprint);
    archive("s", value.answered);
    archive("r", value.answer);
    archive("a", value.age);
}

void describe(auto &archive, Like<Keys::FenceRequest> auto &value)
{
    archive("n", value.id);
    archive("f", value.from);
    archive("t", value.to);
    archive("e", value.epoch);
    archive("k", value.key);
    archive("g", value.gone);
}

void describe(auto &archive, Like<Keys::FenceReply> auto &value)
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

void describe(auto &archive, Like<Keys::Transfer> auto &value)
{
    archive("g", value.giver);
    archive("e", value.epoch);
    archive("t", value.receiver);
}

void describe(auto &archive, Like<Keys::HandOverPart> auto &value)
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
