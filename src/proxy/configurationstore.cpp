#include "verbenadock/proxy/configurationstore.h"

#include "verbenadock/bundle/parser.h"
#include "verbenadock/bundle/signature.h"

#include <utility>

namespace Verbenadock::Proxy {

bool ConfigurationStore::take(const std::vector<Control::BundleInForce> &bundles)
{
    bool changed = false;
    for (const auto &offered : bundles) {
        changed = this->takeBundle(offered) || changed;
    }
    return changed;
}

bool ConfigurationStore::takeText(const std::string &content)
{
    return this->storeBundle(Bundles::contentDigest(content), Bundles::parseBundle(content));
}

bool ConfigurationStore::takeBundle(const Control::BundleInForce &offered)
{
    const auto refuse = [this, &offered](std::string reason) {
        this->refused.push_back({.name = offered.name, .version = offered.version, .reason = std::move(reason)});
        return false;
    };
    const auto existing = this->storedBundles.find(offered.name);
    if (existing != this->storedBundles.end() && offered.version <= existing->second.bundle.version) {
        const bool unchanged
            = offered.version == existing->second.bundle.version && offered.digest == existing->second.digest;
        return unchanged ? false : refuse("the version is not newer than the one in force");
    }
    if (Bundles::contentDigest(offered.content) != offered.digest) {
        return refuse("the digest does not match the content");
    }
    try {
        auto bundle = Bundles::parseBundle(offered.content);
        if (bundle.name != offered.name || bundle.version != offered.version) {
            return refuse("the name or version in the content does not match");
        }
        return this->storeBundle(offered.digest, std::move(bundle));
    } catch (const Bundles::InvalidBundle &error) {
        return refuse(error.what());
    }
}

bool ConfigurationStore::storeBundle(std::string digest, Bundles::Bundle bundle)
{
    const auto existing = this->storedBundles.find(bundle.name);
    if (existing != this->storedBundles.end() && bundle.version <= existing->second.bundle.version) {
        return false;
    }
    const auto name = bundle.name;
    this->storedBundles.insert_or_assign(name, StoredBundle{.digest = std::move(digest), .bundle = std::move(bundle)});
    ++this->revision;
    return true;
}

std::shared_ptr<const Core::Configuration> ConfigurationStore::configuration() const
{
    auto result = std::make_shared<Core::Configuration>();
    result->revision = this->revision;
    for (const auto &[name, entry] : this->storedBundles) {
        result->bundles.push_back(entry.bundle);
    }
    return result;
}

std::map<std::string, std::string> ConfigurationStore::digests() const
{
    std::map<std::string, std::string> result;
    for (const auto &[name, entry] : this->storedBundles) {
        result.emplace(name, entry.digest);
    }
    return result;
}

std::vector<RefusedBundle> ConfigurationStore::takeRefused()
{
    return std::exchange(this->refused, {});
}

} // namespace Verbenadock::Proxy
