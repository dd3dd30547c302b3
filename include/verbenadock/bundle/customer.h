#ifndef VERBENADOCK_BUNDLE_CUSTOMER_H
#define VERBENADOCK_BUNDLE_CUSTOMER_H

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Bundles {

enum class Priority : int;

/// A longer key is never accepted.
inline constexpr std::size_t MaxKeyBytes = 512;

/// SHA-256 digest of a customer's key. Keys themselves are never kept.
struct KeyDigest
{
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(const KeyDigest &) const = default;
};

/// Throws Error when the digest cannot be computed.
KeyDigest digestOf(std::string_view key);

/// An organisation whose callers identify themselves with a key.
struct Customer
{
    std::string name;
    std::vector<KeyDigest> keys;
    /// Takes precedence over the priority of the route.
    std::optional<Priority> priority;
    /// Cap of the requests of all VMs together; zero for none.
    double requestsPerSecond = 0;
    double burst = 0;

    auto operator<=>(const Customer &) const = default;
};

} // namespace Verbenadock::Bundles

#endif
