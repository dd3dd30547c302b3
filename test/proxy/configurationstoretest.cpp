#include "verbenadock/proxy/configurationstore.h"
#include "verbenadock/bundle/signature.h"
#include "verbenadock/settings/settings.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;

namespace {

Control::BundleInForce bundleVersion(std::uint64_t version)
{
    auto content = Settings::readFile(std::string(SAMPLES_DIR) + "/moka.toml");
    const std::string line = "\nversion = 1\n";
    content.replace(content.find(line), line.size(), "\nversion = " + std::to_string(version) + "\n");
    Control::BundleInForce bundle;
    bundle.name = "moka";
    bundle.version = version;
    bundle.digest = Bundles::contentDigest(content);
    bundle.content = content;
    return bundle;
}

} // namespace

// Guards against an entry that reverts to an older version or accepts a bundle that was damaged in transit.
TEST_CASE("only a newer and valid bundle replaces the one in force")
{
    Proxy::ConfigurationStore store;
    CHECK(store.take({bundleVersion(2)}));
    CHECK_FALSE(store.take({bundleVersion(2)}));
    CHECK(store.takeRefused().empty());
    CHECK_FALSE(store.take({bundleVersion(1)}));
    auto damaged = bundleVersion(3);
    damaged.content += "#";
    auto misnamed = bundleVersion(3);
    misnamed.version = 4;
    auto unparsable = bundleVersion(3);
    unparsable.content = "[bundle]";
    unparsable.digest = Bundles::contentDigest(unparsable.content);
    CHECK_FALSE(store.take({damaged, misnamed, unparsable}));
    CHECK(store.takeRefused().size() == 4);
    REQUIRE(store.configuration()->bundles.size() == 1);
    CHECK(store.configuration()->bundles.front().version == 2);
    CHECK(store.take({bundleVersion(3)}));
    CHECK(store.configuration()->bundles.front().version == 3);
}
