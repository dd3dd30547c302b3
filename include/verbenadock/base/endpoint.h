#ifndef VERBENADOCK_BASE_ENDPOINT_H
#define VERBENADOCK_BASE_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Verbenadock {

/// An IP address in text form and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// Parses "ADDRESS:PORT" or "[IPv6]:PORT". Throws Error with the reason for any other text.
Endpoint parseEndpoint(std::string_view text);

/// Inverse of parseEndpoint.
std::string toString(const Endpoint &endpoint);

} // namespace Verbenadock

#endif
