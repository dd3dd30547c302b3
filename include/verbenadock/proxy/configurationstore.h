#ifndef VERBENADOCK_PROXY_CONFIGURATIONSTORE_H
#define VERBENADOCK_PROXY_CONFIGURATIONSTORE_H

#include "verbenadock/control/message.h"
#include "verbenadock/core/event.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbenadock::Proxy {

/// A bundle that was not taken over, and why.
struct RefusedBundle
{
    std::string name;
    std::uint64_t version = 0;
    std::string reason;

    auto operator<=>(const RefusedBundle &) const = default;
};

/// Keeps the newest version of each bundle. A broken bundle or an older version never replaces one in force.
///
/// Usage: take() each update; when it returns true, pass configuration() to the reducer.
class ConfigurationStore
{
public:
    /// Takes over what is newer and returns whether anything changed.
    bool take(const std::vector<Control::BundleInForce> &bundles);

    /// Takes over one bundle from its text. Throws Bundles::InvalidBundle.
    bool takeText(const std::string &content);

    std::shared_ptr<const Core::Configuration> configuration() const;

    /// Digests of the exact contents, by bundle name.
    std::map<std::string, std::string> digests() const;

    /// The bundles refused since the last call.
    std::vector<RefusedBundle> takeRefused();

private:
    struct Held
    {
        std::string digest;
        Bundles::Bundle bundle;
    };

    bool takeOne(const Control::BundleInForce &offered);
    bool put(std::string digest, Bundles::Bundle bundle);

    std::map<std::string, Held> held;
    std::vector<RefusedBundle> refused;
    std::uint64_t revision = 0;
};

} // namespace Verbenadock::Proxy

#endif
