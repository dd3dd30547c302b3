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

/// Entry of the platform's VM list, which may be out of date.
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

    /// Returns the listed VMs. Throws PlatformError.
    boost::asio::awaitable<std::vector<Vm>> read() const;

private:
    Endpoint service;
    Duration timeout;
};

} // namespace Verbenadock::Platform

#endif
