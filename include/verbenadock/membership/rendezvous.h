#ifndef VERBENADOCK_MEMBERSHIP_RENDEZVOUS_H
#define VERBENADOCK_MEMBERSHIP_RENDEZVOUS_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Membership {

/// Rendezvous hashing: the `count` members with the largest hash of key and member, largest first. A member that joins
/// or leaves changes the result only for the keys that select it.
std::vector<std::string> rendezvous(std::string_view key, const std::vector<std::string> &members, std::size_t count);

} // namespace Verbenadock::Membership

#endif
