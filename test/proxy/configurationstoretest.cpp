#include "verbenadock/proxy/configurationstore.h"
#include "verbenadock/bundle/signature.h"
#include "verbenadock/settings/settings.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;

namespace {

Control::BundleInForce offer(std::uint64_t version)
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

// Guards against an entry that goes back to an older version or takes over a bundle that was damaged on its way.
TEST_CASE("only a newer and intact bundle replaces the one in force")
{
    Proxy::ConfigurationStore store;
    CHECK(store.take({offer(2)}));
    CHECK_FALSE(store.take({offer(2)}));
    CHECK(store.takeRefused().empty());
    CHECK_FALSE(store.take({offer(1)}));
    auto damaged = offer(3);
    damaged.content += "#";
    auto misnamed = offer(3);
    misnamed.version = 4;
    auto unreadable = offer(3);
    unreadable.content = "[bundle]";
    unreadable.digest = Bundles::contentDigest(unreadable.content);
    CHECK_FALSE(store.take({damaged, misnamed, unreadable}));
    CHECK(store.takeRefused().size() == 4);
    REQUIRE(store.configuration()->bundles.size() == 1);
    CHECK(store.configuration()->bundles.front().version == 2);
    CHECK(store.take({offer(3)}));
    CHECK(store.configuration()->bundles.front().version == 3);
}
