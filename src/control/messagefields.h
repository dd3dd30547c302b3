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

} // namespace Verbenadock::Control::internal

#endif
