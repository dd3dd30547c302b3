#ifndef VERBENADOCK_CONTROL_MEMBERSHIPMESSAGES_H
#define VERBENADOCK_CONTROL_MEMBERSHIPMESSAGES_H

#include "verbenadock/control/message.h"
#include "verbenadock/membership/member.h"

#include <optional>

namespace Verbenadock::Control::internal {

Message fromMembership(const Membership::Message &message);

/// Empty for a message that is not part of the membership protocol.
std::optional<Membership::Message> toMembership(const Message &message);

} // namespace Verbenadock::Control::internal

#endif
