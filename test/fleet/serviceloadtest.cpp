#include "verbenadock/fleet/serviceload.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;

namespace {

const TimePoint Now{std::chrono::hours(1)};

Core::Configuration twoDataCentres()
{
    Bundles::Service service;
    service.name = "vydej";
    for (const std::string name : {"near-1", "near-2", "far-1"}) {
        Bundles::Upstream upstream;
        upstream.id = name;
        upstream.slots = 4;
        upstream.dataCentre = name.starts_with("near") ? "a" : "b";
        service.upstreams.push_back(upstream);
    }
    Bundles::Bundle bundle;
    bundle.services.push_back(service);
    Core::Configuration configuration;
    configuration.bundles.push_back(bundle);
    return configuration;
}

} // namespace

TEST_CASE("the load is the number of requests per slot of the own data centre")
{
    ServiceLoad load("a");
    load.configure(twoDataCentres());
    CHECK(load.sample({{"vydej", 4}}).at("vydej") == Approx(0.5));
}

TEST_CASE("a single sample without requests lowers the load only a little")
{
    ServiceLoad load("a");
    load.configure(twoDataCentres());
    load.sample({{"vydej", 4}});
    const auto after = load.sample({}).at("vydej");
    CHECK(after > 0.35);
    CHECK(after < 0.5);
}

TEST_CASE("a service without slots in the data centre has no load there")
{
    ServiceLoad load("c");
    load.configure(twoDataCentres());
    CHECK(load.sample({}).empty());
}

// Seen on scale-2 of nalezeno-brno: all upstreams of a data centre were out of use, its VMs sent all requests to other
// data centres and took the load of the service for low.
TEST_CASE("the highest load includes other data centres until their reports expire")
{
    ServiceLoad load("a");
    load.configure(twoDataCentres());
    load.sample({});
    load.setReportedLoad("vydej", "b", 2.5, Now);
    CHECK(load.highestLoad("vydej", Now + std::chrono::seconds(1)) == Approx(2.5));
    CHECK(load.highestLoad("vydej", Now + std::chrono::seconds(10)) == Approx(0));
    CHECK(load.highestLoad("unknown", Now) == Approx(0));
}

TEST_CASE("requests in flight are summed over the reported loads of all data centres")
{
    ServiceLoad load("a");
    load.configure(twoDataCentres());
    load.sample({{"vydej", 2}});
    CHECK(load.inFlight("vydej", Now) == Approx(2));
    load.setReportedLoad("vydej", "b", 1.5, Now);
    CHECK(load.inFlight("vydej", Now) == Approx(8));
    CHECK(load.inFlight("vydej", Now + std::chrono::seconds(10)) == Approx(2));
    CHECK(load.inFlight("unknown", Now) == Approx(0));
}
