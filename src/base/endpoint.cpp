#include "verbenadock/base/endpoint.h"

#include "verbenadock/base/error.h"

#include <arpa/inet.h>
#include <charconv>

namespace Verbenadock {

namespace {

std::uint16_t parsePort(std::string_view text, std::string_view endpointText)
{
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value == 0 || value > UINT16_MAX) {
        throw Error("'" + std::string(endpointText) + "' does not end with a port from 1 to 65535");
    }
    return static_cast<std::uint16_t>(value);
}

bool isAddress(int family, const std::string &text)
{
    in6_addr buffer{};
    return inet_pton(family, text.c_str(), &buffer) == 1;
}

} // namespace

Endpoint parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw Error("'" + std::string(text) + "' does not have the form ADDRESS:PORT");
    }
    std::string address(text.substr(0, colon));
    const auto port = parsePort(text.substr(colon + 1), text);
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed) {
        address = address.substr(1, address.size() - 2);
    }
    if (!isAddress(bracketed ? AF_INET6 : AF_INET, address)) {
        throw Error("'" + std::string(text) + "' does not start with an IP address");
    }
    return Endpoint{.address = std::move(address), .port = port};
}

std::string toString(const Endpoint &endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + endpoint.address + "]" : endpoint.address;
    return host + ":" + std::to_string(endpoint.port);
}

} // namespace Verbenadock
