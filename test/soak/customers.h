#ifndef VERBENADOCK_SOAK_CUSTOMERS_H
#define VERBENADOCK_SOAK_CUSTOMERS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Verbenadock::Soak {

/// A key of all versions that one customer holds.
inline constexpr auto SteadyKey = "key-steady";
/// A key of all versions that moves to another customer with each version.
inline constexpr auto MovingKey = "key-moving";

/// A key that only one version contains.
std::string keyOfVersion(std::uint64_t version);

/// The keys of a version's customers, by name.
std::map<std::string, std::vector<std::string>> customersOf(std::uint64_t version);

/// Name of the customer that holds the key in a version; empty for none.
std::string holderOf(const std::string &key, std::uint64_t version);

} // namespace Verbenadock::Soak

#endif
