#include "sessionbuilder.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;
using Json = nlohmann::json;

namespace {

/// Upstreams u0, u2, ... in the own data centre "a", u1, u3, ... in "b".
Bundles::Service localService(unsigned upstreams)
{
    auto service = makeService(upstreams, 2);
    service.prefersOwnDataCentre = true;
    service.balancing = Bundles::Balancing::Even;
    service.sharing = Bundles::Sharing::Fair;
    return service;
}

Reducer makeReducer(const Configuration &configuration)
{
    Reducer reducer(ReducerSettings{.dataCentre = "a", .seed = 7, .requestLimit = 1000});
    reducer.apply(configure(configuration));
    reducer.apply(ConfigurationConfirmed{.at = at(0)});
    return reducer;
}

UpstreamKey keyOf(const std::string &upstream)
{
    return {.bundle = "nalezeno", .service = "katalog", .upstream = upstream};
}

Json explain(const Reducer &reducer, const RouteQuery &query = {.host = "katalog.example"}, double time = 20)
{
    return Json::parse(reducer.explain(query, at(time)));
}

/// The reasons of the first service by upstream, and the sum of the shares.
std::pair<std::map<std::string, std::string>, double> reasonsIn(const Json &explanation)
{
    std::map<std::string, std::string> reasons;
    double sum = 0;
    for (const auto &upstream : explanation.at("services").at(0).at("upstreams")) {
        sum += upstream.at("share_percent").get<double>();
        const auto &reason = upstream.at("reason");
        CHECK(reason.is_null() == (upstream.at("share_percent") > 0));
        reasons[upstream.at("id")] = reason.is_null() ? "" : reason.get<std::string>();
    }
    return {reasons, sum};
}

} // namespace

// Guards against an explanation that names the wrong reason while an operator looks for the cause of a fault.
TEST_CASE("an explanation gives each upstream's share or the reason against it")
{
    auto reducer = makeReducer(makeConfiguration(localService(12)));
    for (const std::string upstream : {"u0", "u2", "u4", "u6", "u8", "u10"}) {
        reducer.apply(
            LoadChanged{.at = at(10), .upstream = keyOf(upstream), .otherEntriesInFlight = upstream == "u8" ? 6U : 0U});
    }
    reducer.apply(UpstreamAnnounced{.at = at(11), .upstream = keyOf("u2"), .leaving = true});
    reducer.apply(UpstreamAnnounced{.at = at(11), .upstream = keyOf("u4"), .pause = std::chrono::seconds(1)});
    reducer.apply(HealthChanged{.at = at(12), .verdicts = {{.upstream = keyOf("u6"), .sick = true}}});
    const auto explanation = explain(reducer);
    INFO(explanation.dump(2));
    CHECK(explanation.at("decision") == "sent");
    CHECK(explanation.at("route").at("method") == "GET");
    CHECK(explanation.at("services").at(0).at("service") == "katalog");
    const auto [reasons, sum] = reasonsIn(explanation);
    CHECK(sum == Approx(100));
    CHECK(reasons.at("u0").empty());
    CHECK(reasons.at("u2") == "leaving");
    CHECK(reasons.at("u4") == "paused");
    CHECK(reasons.at("u8") == "full");
    CHECK(reasons.at("u10").empty());
    CHECK(reasons.at("u1") == "other-data-centre");
}

// Guards against questions that change the choices of requests.
TEST_CASE("an explanation uses up no random number and changes no choice")
{
    auto asked = makeReducer(makeConfiguration(localService(12)));
    auto other = makeReducer(makeConfiguration(localService(12)));
    for (RequestId request = 1; request <= 40; ++request) {
        explain(asked, {.host = "katalog.example", .method = request % 2 == 0 ? "GET" : "POST"}, 1);
        const auto event = arrival(request, "GET", at(2));
        CHECK(asked.apply(event) == other.apply(event));
    }
    CHECK(asked.dump(at(3)) == other.dump(at(3)));
}

// Guards against an operator who is told that a request would be sent although it gets a rejection, and the reverse.
TEST_CASE("an explanation names the rejection that a request would get")
{
    Reducer empty(ReducerSettings{.dataCentre = "a"});
    CHECK(explain(empty).at("rejection") == "not-configured");
    auto configuration = makeConfiguration(localService(1));
    configuration.bundles.front().services.front().queueLimit = 1;
    auto reducer = makeReducer(configuration);
    CHECK(explain(reducer, {.host = "katalog.example", .method = "PUT"}).at("rejection") == "no-route");
    const auto askAndSend = [&reducer](RequestId request) {
        const auto explanation = explain(reducer);
        const auto effects = reducer.apply(arrival(request, "GET", at(20)));
        const auto answers = only<RespondLocally>(effects);
        const bool isRejected = !answers.empty() && answers.front().request == request;
        CHECK((explanation.at("decision") == "sent") == (only<StartAttempt>(effects).size() == 1));
        CHECK((explanation.at("decision") == "rejected") == isRejected);
        CHECK(explanation.at("rejection") == (isRejected ? Json(toString(answers.front().refusal)) : Json(nullptr)));
        return explanation.at("decision").get<std::string>();
    };
    CHECK(askAndSend(1) == "sent");
    CHECK(askAndSend(2) == "sent");
    CHECK(askAndSend(3) == "queued");
    CHECK(askAndSend(4) == "rejected");
    reducer.apply(UpstreamAnnounced{.at = at(21), .upstream = keyOf("u0"), .pause = std::chrono::minutes(1)});
    CHECK(askAndSend(5) == "rejected");
}

// Guards against an explanation that hides where else the requests of a route go.
TEST_CASE("an explanation shows the parts of a split with their weights")
{
    auto configuration = makeConfiguration(localService(2));
    auto &bundle = configuration.bundles.front();
    bundle.services.push_back(bundle.services.front());
    bundle.services.back().name = "catalogue";
    bundle.routes
        = {Bundles::Route{.split = {{.service = "katalog", .weight = 0.75}, {.service = "catalogue", .weight = 0.25}}}};
    const auto services = explain(makeReducer(configuration)).at("services");
    REQUIRE(services.size() == 2);
    CHECK(services[0].at("weight_percent") == 75);
    CHECK(services[1].at("service") == "catalogue");
}

// Guards against keys in the answer, also where an operator gives one in place of a name.
TEST_CASE("an explanation takes a customer by name and shows no key")
{
    auto configuration = makeConfiguration(localService(2));
    configuration.bundles.front().customers = {{.name = "sese", .keys = {Bundles::digestOf("secret")}}};
    const auto reducer = makeReducer(configuration);
    const auto known = explain(reducer, {.host = "katalog.example", .customer = "sese"});
    CHECK(known.at("decision") == "sent");
    CHECK(known.at("customer") == "sese");
    const auto unknown = explain(reducer, {.host = "katalog.example", .customer = "secret"});
    CHECK(unknown.at("rejection") == "unknown-key");
    CHECK(unknown.at("customer_known") == false);
    CHECK(unknown.dump().find("secret") == std::string::npos);
    CHECK(explain(reducer).at("rejection") == "unknown-key");
    CHECK(explain(reducer, {.host = "katalog.example", .customer = "sese"}, 2000).at("decision") == "sent");
    CHECK(explain(reducer, {.host = "katalog.example"}, 2000).at("rejection") == "configuration-outdated");
}
