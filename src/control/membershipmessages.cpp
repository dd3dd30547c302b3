#include "membershipmessages.h"

namespace Verbenadock::Control::internal {

namespace {

MemberUpdate fromUpdate(const Membership::Update &update)
{
    return {.vmId = update.member.id,
            .address = update.member.address,
            .dataCentre = update.member.dataCentre,
            .incarnation = update.incarnation,
            .state = static_cast<MemberState>(update.state),
            .observer = update.observer};
}

Membership::Update toUpdate(const MemberUpdate &update)
{
    return {.member = {.id = update.vmId, .address = update.address, .dataCentre = update.dataCentre},
            .incarnation = update.incarnation,
            .state = static_cast<Membership::State>(update.state),
            .observer = update.observer};
}

std::vector<MemberUpdate> fromUpdates(const std::vector<Membership::Update> &updates)
{
    std::vector<MemberUpdate> converted;
    converted.reserve(updates.size());
    for (const auto &update : updates) {
        converted.push_back(fromUpdate(update));
    }
    return converted;
}

std::vector<Membership::Update> toUpdates(const std::vector<MemberUpdate> &updates)
{
    std::vector<Membership::Update> converted;
    converted.reserve(updates.size());
    for (const auto &update : updates) {
        converted.push_back(toUpdate(update));
    }
    return converted;
}

static_assert(static_cast<int>(MemberState::Suspect) == static_cast<int>(Membership::State::Suspect));
static_assert(static_cast<int>(MemberState::Dead) == static_cast<int>(Membership::State::Dead));

} // namespace

Message fromMembership(const Membership::Message &message)
{
    if (const auto *ping = std::get_if<Membership::Ping>(&message)) {
        return Heartbeat{ping->sequence, fromUpdates(ping->updates)};
    }
    if (const auto *ack = std::get_if<Membership::Ack>(&message)) {
        return HeartbeatAck{ack->sequence, fromUpdates(ack->updates)};
    }
    if (const auto *request = std::get_if<Membership::ProbeRequest>(&message)) {
        return IndirectProbe{request->target, request->sequence};
    }
    const auto &answer = std::get<Membership::ProbeAnswer>(message);
    return IndirectProbeAck{answer.target, answer.sequence, answer.alive};
}

std::optional<Membership::Message> toMembership(const Message &message)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        return Membership::Ping{heartbeat->sequence, toUpdates(heartbeat->updates)};
    }
    if (const auto *ack = std::get_if<HeartbeatAck>(&message)) {
        return Membership::Ack{ack->sequence, toUpdates(ack->updates)};
    }
    if (const auto *probe = std::get_if<IndirectProbe>(&message)) {
        return Membership::ProbeRequest{probe->target, probe->sequence};
    }
    if (const auto *answer = std::get_if<IndirectProbeAck>(&message)) {
        return Membership::ProbeAnswer{answer->target, answer->sequence, answer->alive};
    }
    return std::nullopt;
}

} // namespace Verbenadock::Control::internal
