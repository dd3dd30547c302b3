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

/// A bundle that was refused, with the reason.
struct RefusedBundle
{
    std::string name;
    std::uint64_t version = 0;
    std::string reason;

    auto operator<=>(const RefusedBundle &) const = default;
};

/// Keeps the newest version of each bundle. An invalid bundle or an older version never replaces the one in force.
///
/// Usage: take() each update; when it returns true, pass configuration() to the reducer.
class ConfigurationStore
{
public:
    /// Stores the bundles that are valid and newer. Returns whether any bundle changed.
    bool take(const std::vector<Control::BundleInForce> &bundles);

    /// Stores one bundle from its text if it is newer, and returns whether it was stored. Throws
    /// Bundles::InvalidBundle.
    bool takeText(const std::string &content);

    std::shared_ptr<const Core::Configuration> configuration() const;

    /// Digests of the unparsed contents, by bundle name.
    std::map<std::string, std::string> digests() const;

    /// Returns and clears the bundles refused since the last call.
    std::vector<RefusedBundle> takeRefused();

private:
    struct StoredBundle
    {
        std::string digest;
        Bundles::Bundle bundle;
    };

    bool takeBundle(const Control::BundleInForce &offered);
    bool storeBundle(std::string digest, Bundles::Bundle bundle);

    std::map<std::string, StoredBundle> storedBundles;
    std::vector<RefusedBundle> refused;
    std::uint64_t revision = 0;
};

} // namespace Verbenadock::Proxy

#endif
