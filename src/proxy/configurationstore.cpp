#include "verbenadock/proxy/configurationstore.h"

#include "verbenadock/bundle/parser.h"
#include "verbenadock/bundle/signature.h"

#include <utility>

namespace Verbenadock::Proxy {

bool ConfigurationStore::take(const std::vector<Control::BundleInForce> &bundles)
{
    bool changed = false;
    for (const auto &offered : bundles) {
        changed = this->takeOne(offered) || changed;
    }
    return changed;
}

bool ConfigurationStore::takeText(const std::string &content)
{
    return this->put(Bundles::contentDigest(content), Bundles::parseBundle(content));
}

bool ConfigurationStore::takeOne(const Control::BundleInForce &offered)
{
    const auto refuse = [this, &offered](std::string reason) {
        this->refused.push_back({.name = offered.name, .version = offered.version, .reason = std::move(reason)});
        return false;
    };
    const auto known = this->held.find(offered.name);
    if (known != this->held.end() && offered.version <= known->second.bundle.version) {
        const bool repeated = offered.version == known->second.bundle.version && offered.digest == known->second.digest;
        return repeated ? false : refuse("it is not newer than the version in force");
    }
    if (Bundles::contentDigest(offered.content) != offered.digest) {
        return refuse("the digest does not match the content");
    }
    try {
        auto bundle = Bundles::parseBundle(offered.content);
        if (bundle.name != offered.name || bundle.version != offered.version) {
            return refuse("the content has another name or version");
        }
        return this->put(offered.digest, std::move(bundle));
    } catch (const Bundles::InvalidBundle &error) {
        return refuse(error.what());
    }
}

bool ConfigurationStore::put(std::string digest, Bundles::Bundle bundle)
{
    const auto known = this->held.find(bundle.name);
    if (known != this->held.end() && bundle.version <= known->second.bundle.version) {
        return false;
    }
    const auto name = bundle.name;
    this->held.insert_or_assign(name, Held{.digest = std::move(digest), .bundle = std::move(bundle)});
    ++this->revision;
    return true;
}

std::shared_ptr<const Core::Configuration> ConfigurationStore::configuration() const
{
    auto result = std::make_shared<Core::Configuration>();
    result->revision = this->revision;
    for (const auto &[name, entry] : this->held) {
        result->bundles.push_back(entry.bundle);
    }
    return result;
}

std::map<std::string, std::string> ConfigurationStore::digests() const
{
    std::map<std::string, std::string> result;
    for (const auto &[name, entry] : this->held) {
        result.emplace(name, entry.digest);
    }
    return result;
}

std::vector<RefusedBundle> ConfigurationStore::takeRefused()
{
    return std::exchange(this->refused, {});
}

} // namespace Verbenadock::Proxy
