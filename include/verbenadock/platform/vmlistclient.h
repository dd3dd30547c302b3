#ifndef VERBENADOCK_PLATFORM_VMLISTCLIENT_H
#define VERBENADOCK_PLATFORM_VMLISTCLIENT_H

#include "verbenadock/platform/logclient.h"

#include <compare>
#include <string>
#include <vector>

namespace Verbenadock::Platform {

enum class VmRole {
    Entry,
    Upstream,
};

/// One VM as the platform lists it. The list lags behind reality.
struct Vm
{
    std::string id;
    std::string address;
    VmRole role = VmRole::Entry;
    std::string dataCentre;
    bool leaving = false;

    auto operator<=>(const Vm &) const = default;
};

/// Client of the platform's VM list.
class VmListClient
{
public:
    VmListClient(Endpoint service, Duration timeout);

    /// Throws PlatformError.
    boost::asio::awaitable<std::vector<Vm>> read() const;

private:
    Endpoint service;
    Duration timeout;
};

} // namespace Verbenadock::Platform

#endif
