#include "customertable.h"
#include "sessionbuilder.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;

namespace {

Bundles::Customer customer(const std::string &name, const std::vector<std::string> &keys)
{
    Bundles::Customer result{.name = name};
    for (const auto &key : keys) {
        result.keys.push_back(Bundles::digestOf(key));
    }
    return result;
}

/// GET and POST need a key, HEAD is public.
Configuration withCustomers(std::vector<Bundles::Customer> customers,
                            std::uint64_t revision = 1,
                            const Bundles::Service &service = makeService(2, 4))
{
    auto configuration = makeConfiguration(service, revision);
    auto &bundle = configuration.bundles.front();
    bundle.routes.push_back(
        Bundles::Route{.method = "HEAD", .service = service.name, .idempotent = true, .isPublic = true});
    bundle.customers = std::move(customers);
    return configuration;
}

RequestArrived keyedArrival(RequestId request, const std::string &method, const std::string &key, TimePoint time)
{
    auto event = arrival(request, method, time);
    if (!key.empty()) {
        event.key = Bundles::digestOf(key);
    }
    return event;
}

Reducer makeReducer(const Configuration &configuration, std::optional<Duration> revocation = std::nullopt)
{
    Reducer reducer(ReducerSettings{.dataCentre = "a", .seed = 7, .requestLimit = 1000, .revocation = revocation});
    reducer.apply(configure(configuration));
    reducer.apply(ConfigurationConfirmed{.at = at(0)});
    return reducer;
}

StartAttempt started(const Effects &effects)
{
    const auto attempts = only<StartAttempt>(effects);
    REQUIRE(attempts.size() == 1);
    return attempts.front();
}

RespondLocally answered(const Effects &effects)
{
    const auto answers = only<RespondLocally>(effects);
    REQUIRE(answers.size() == 1);
    return answers.front();
}

AttemptFailed failure(const StartAttempt &attempt, Health::Cause cause, double time, bool nothingWritten)
{
    return {.at = at(time),
            .request = attempt.request,
            .attempt = attempt.attempt,
            .cause = cause,
            .nothingWritten = nothingWritten};
}

AttemptCompleted shed(const StartAttempt &attempt, double time)
{
    return {.at = at(time), .request = attempt.request, .attempt = attempt.attempt, .status = 503, .notRun = true};
}

} // namespace

// Guards against a request that is run for another customer, and against keys that reach an upstream.
TEST_CASE("an attempt names the customer that holds the key and hides the credentials")
{
    auto reducer = makeReducer(withCustomers({customer("sese", {"s1", "s2"}), customer("huvo", {"h1"})}));
    const auto first = started(reducer.apply(keyedArrival(1, "GET", "s2", at(1))));
    CHECK(first.customer == "sese");
    CHECK(first.hidesCredentials);
    CHECK(reducer.maySend(1, first.attempt, at(2)));
    CHECK(started(reducer.apply(keyedArrival(2, "POST", "h1", at(1)))).customer == "huvo");
}

// Guards against requests that run without a key, and against a 401 where no route exists.
TEST_CASE("an unknown or missing key gets 401 without Retry-After, after the route was found")
{
    auto reducer = makeReducer(withCustomers({customer("sese", {"s1"}), customer("none", {})}));
    for (const std::string key : {"", "s2"}) {
        const auto answer = answered(reducer.apply(keyedArrival(1, "GET", key, at(1500))));
        CHECK(answer.status == 401);
        CHECK(answer.outcome == Outcome::NotRun);
        CHECK(answer.refusal == RejectionReason::UnknownKey);
        CHECK(answer.retryAfter == Duration(0));
    }
    CHECK(answered(reducer.apply(keyedArrival(2, "PATCH", "s2", at(1)))).status == 404);
}

// Guards against a 401 for a key that only a newer version contains, which this entry has not read yet.
TEST_CASE("an unknown key gets 503 with Retry-After unless the configuration was confirmed recently")
{
    auto reducer = makeReducer(withCustomers({customer("sese", {"s1"})}));
    const auto answer = answered(reducer.apply(keyedArrival(1, "GET", "s2", at(1501))));
    CHECK(answer.status == 503);
    CHECK(answer.refusal == RejectionReason::ConfigurationOutdated);
    CHECK(answer.retryAfter > Duration(0));
    CHECK(started(reducer.apply(keyedArrival(2, "GET", "s1", at(60000)))).customer == "sese");
    reducer.apply(ConfigurationConfirmed{.at = at(60001)});
    CHECK(answered(reducer.apply(keyedArrival(3, "GET", "s2", at(60002)))).status == 401);
}

// Guards against public routes that ask for a key.
TEST_CASE("a public route needs no key and names the customer of a known one")
{
    auto reducer = makeReducer(withCustomers({customer("sese", {"s1"})}));
    CHECK(started(reducer.apply(keyedArrival(1, "HEAD", "s1", at(1)))).customer == "sese");
    for (const std::string key : {"", "s2"}) {
        const auto attempt = started(reducer.apply(keyedArrival(key.empty() ? 2 : 3, "HEAD", key, at(1))));
        CHECK(attempt.customer.empty());
        CHECK(attempt.hidesCredentials);
    }
}

// Guards against a change for deployments without customers, whose upstreams may read Authorization themselves.
TEST_CASE("without customers in the configuration the credentials pass")
{
    auto reducer = makeReducer(withCustomers({}));
    const auto attempt = started(reducer.apply(keyedArrival(1, "GET", "s1", at(1))));
    CHECK(attempt.customer.empty());
    CHECK_FALSE(attempt.hidesCredentials);
}

// Guards against requests of important customers that wait behind those of others.
TEST_CASE("the priority of a customer takes precedence over that of the route")
{
    auto important = customer("important", {"i"});
    important.priority = Bundles::Priority::High;
    auto reducer = makeReducer(withCustomers({customer("usual", {"u"}), important}, 1, makeService(1, 1)));
    const auto first = started(reducer.apply(keyedArrival(1, "GET", "u", at(1))));
    CHECK(reducer.apply(keyedArrival(2, "GET", "u", at(2))).empty());
    CHECK(reducer.apply(keyedArrival(3, "GET", "i", at(3))).empty());
    const auto next = started(reducer.apply(
        AttemptCompleted{.at = at(4), .request = 1, .attempt = first.attempt, .status = 200, .notRun = false}));
    CHECK(next.request == 3);
}

// Guards against a removed key that is still served because its request waits for a connection or for its body.
TEST_CASE("a key that was removed before the attempt was written gets 401")
{
    auto reducer = makeReducer(withCustomers({customer("sese", {"s1"})}));
    const auto attempt = started(reducer.apply(keyedArrival(1, "GET", "s1", at(1))));
    reducer.apply(configure(withCustomers({customer("sese", {})}, 2), at(2)));
    CHECK_FALSE(reducer.maySend(1, attempt.attempt, at(3)));
    const auto effects = reducer.apply(failure(attempt, Health::Cause::Cancelled, 3, true));
    CHECK(only<StartAttempt>(effects).empty());
    CHECK(answered(effects).status == 401);
    CHECK(answered(effects).outcome == Outcome::NotRun);
}

// Guards against a false promise that the request has not run, and against a retry with a removed key.
TEST_CASE("a key that was removed after an attempt may have run gets 504 and no retry")
{
    auto reducer = makeReducer(withCustomers({customer("sese", {"s1"})}));
    const auto attempt = started(reducer.apply(keyedArrival(1, "GET", "s1", at(1))));
    reducer.apply(configure(withCustomers({customer("huvo", {"h1"})}, 2), at(2)));
    const auto effects = reducer.apply(failure(attempt, Health::Cause::Reset, 3, false));
    CHECK(only<StartAttempt>(effects).empty());
    CHECK(answered(effects).status == 504);
    CHECK(answered(effects).outcome == Outcome::Unknown);
}

// Guards against an answer that is thrown away although its attempt was started with a valid key.
TEST_CASE("the answer of an attempt that was written before its key was removed is forwarded")
{
    for (const unsigned status : {200U, 500U}) {
        auto reducer = makeReducer(withCustomers({customer("sese", {"s1"})}));
        const auto attempt = started(reducer.apply(keyedArrival(1, "GET", "s1", at(1))));
        reducer.apply(configure(withCustomers({customer("sese", {})}, 2), at(2)));
        const auto effects = reducer.apply(
            AttemptCompleted{.at = at(4), .request = 1, .attempt = attempt.attempt, .status = status, .notRun = false});
        CHECK(only<ForwardAnswer>(effects).size() == 1);
        CHECK(only<StartAttempt>(effects).empty());
    }
}

// Guards against a request that reaches an upstream under the name of the former holder of its key.
TEST_CASE("a key that moved to another customer continues under the new name only if nothing was sent")
{
    const auto moved = withCustomers({customer("huvo", {"s1"})}, 2, makeService(1, 4));
    auto reducer = makeReducer(withCustomers({customer("sese", {"s1"})}, 1, makeService(1, 4)));
    const auto attempt = started(reducer.apply(keyedArrival(1, "POST", "s1", at(1))));
    reducer.apply(configure(moved, at(2)));
    SECTION("nothing sent")
    {
        CHECK_FALSE(reducer.maySend(1, attempt.attempt, at(3)));
        const auto next = started(reducer.apply(failure(attempt, Health::Cause::Cancelled, 3, true)));
        CHECK(next.customer == "huvo");
        CHECK(reducer.maySend(1, next.attempt, at(4)));
    }
    SECTION("sent and not run")
    {
        const auto answer = answered(reducer.apply(shed(attempt, 3)));
        CHECK(answer.status == 503);
        CHECK(answer.outcome == Outcome::NotRun);
    }
    SECTION("sent and maybe run")
    {
        CHECK(answered(reducer.apply(failure(attempt, Health::Cause::Reset, 3, false))).status == 504);
    }
}

// Guards against a hedge that runs a request for a customer that lost its key.
TEST_CASE("a request whose key was removed is not hedged")
{
    for (const bool removed : {false, true}) {
        auto service = makeService(2, 4);
        service.budgets.hedgePercent = 50;
        auto configuration = withCustomers({customer("sese", {"s1"})}, 1, service);
        configuration.bundles.front().routes.front().targetLatency = std::chrono::milliseconds(100);
        auto reducer = makeReducer(configuration);
        started(reducer.apply(keyedArrival(1, "GET", "s1", at(1))));
        configuration.revision = 2;
        configuration.bundles.front().customers = {customer("sese", {removed ? "other" : "s1"})};
        reducer.apply(configure(configuration, at(2)));
        CHECK(only<StartAttempt>(reducer.apply(TimerExpired{.at = at(90)})).size() == (removed ? 0 : 1));
    }
}

// Guards against queued requests that keep their place, and their slot later, after their key was removed.
TEST_CASE("a new configuration rejects queued requests whose key it does not contain")
{
    const auto service = makeService(1, 1);
    auto reducer = makeReducer(withCustomers({customer("sese", {"s1"}), customer("huvo", {"h1"})}, 1, service));
    const auto first = started(reducer.apply(keyedArrival(1, "GET", "h1", at(1))));
    CHECK(reducer.apply(keyedArrival(2, "GET", "s1", at(2))).empty());
    CHECK(reducer.apply(keyedArrival(3, "GET", "h1", at(3))).empty());
    const auto answer
        = answered(reducer.apply(configure(withCustomers({customer("huvo", {"h1"})}, 2, service), at(4))));
    CHECK(answer.request == 2);
    CHECK(answer.status == 401);
    const auto next = started(reducer.apply(
        AttemptCompleted{.at = at(5), .request = 1, .attempt = first.attempt, .status = 200, .notRun = false}));
    CHECK(next.request == 3);
    CHECK(next.customer == "huvo");
}

// Fair sharing has a queue of its own: an attempt started from it although the key could no longer be relied on.
TEST_CASE("with strict revocation and fair sharing a queued request does not start once the revocation time has passed")
{
    auto service = makeService(1, 1);
    service.sharing = Bundles::Sharing::Fair;
    auto reducer = makeReducer(withCustomers({customer("sese", {"s1"})}, 1, service), std::chrono::seconds(1));
    std::vector<StartAttempt> running;
    RequestId request = 0;
    for (;;) {
        const auto attempts = only<StartAttempt>(reducer.apply(keyedArrival(++request, "POST", "s1", at(1))));
        if (attempts.empty()) {
            break;
        }
        running.push_back(attempts.front());
        REQUIRE(running.size() < 10);
    }
    REQUIRE(!running.empty());
    Effects effects;
    for (const auto &attempt : running) {
        for (const auto &effect : reducer.apply(AttemptCompleted{
                 .at = at(1500), .request = attempt.request, .attempt = attempt.attempt, .status = 200})) {
            effects.push_back(effect);
        }
    }
    CHECK(only<StartAttempt>(effects).empty());
    const auto answer = answered(effects);
    CHECK(answer.request == request);
    CHECK(answer.status == 503);
    CHECK(answer.refusal == RejectionReason::ConfigurationOutdated);
}

// Guards against a key that is revoked and still served by an entry that is cut off from the store.
TEST_CASE("with strict revocation requests that need a key get 503 once the configuration is not confirmed")
{
    auto reducer = makeReducer(withCustomers({customer("sese", {"s1"})}), std::chrono::seconds(5));
    const auto waiting = started(reducer.apply(keyedArrival(1, "POST", "s1", at(5000))));
    CHECK(reducer.maySend(1, waiting.attempt, at(5000)));
    CHECK_FALSE(reducer.maySend(1, waiting.attempt, at(5001)));
    CHECK(answered(reducer.apply(failure(waiting, Health::Cause::Cancelled, 5001, true))).status == 503);
    const auto answer = answered(reducer.apply(keyedArrival(2, "GET", "s1", at(5001))));
    CHECK(answer.status == 503);
    CHECK(answer.refusal == RejectionReason::ConfigurationOutdated);
    CHECK(answer.retryAfter > Duration(0));
    CHECK(started(reducer.apply(keyedArrival(3, "HEAD", "s1", at(5001)))).customer == "sese");
    reducer.apply(ConfigurationConfirmed{.at = at(5002)});
    CHECK(started(reducer.apply(keyedArrival(4, "GET", "s1", at(5003)))).customer == "sese");
}

// Guards against a digest that is accepted because it begins like that of a known key.
TEST_CASE("a digest that differs from a known one in a single byte is unknown")
{
    const Bundles::KeyDigest known = Bundles::digestOf("s1");
    auto similar = known;
    similar.bytes.back() ^= 1U;
    const Internal::CustomerTable table({customer("huvo", {"h1"}),
                                         Bundles::Customer{.name = "sese", .keys = {known}},
                                         Bundles::Customer{.name = "other", .keys = {similar}}});
    for (std::size_t position = 0; position < known.bytes.size(); ++position) {
        auto changed = known;
        changed.bytes[position] ^= 0x80U;
        CHECK(table.find(changed) == nullptr);
    }
    CHECK(table.find(known)->name == "sese");
    CHECK(table.find(similar)->name == "other");
}

// Guards against any order of events in which an attempt starts, or may be written, under a key that the configuration
// in force does not give to the customer named by the attempt.
TEST_CASE("no attempt is written for a customer that does not hold the key, in any order of events")
{
    const bool holds = rc::check([] {
        const std::vector<std::string> keys{"k0", "k1", "k2"};
        const std::vector<std::string> names{"sese", "huvo", ""};
        auto service = makeService(2, 1);
        service.timeouts.total = std::chrono::seconds(2);
        service.budgets.hedgePercent = 50;
        Reducer reducer(ReducerSettings{.dataCentre = "a", .seed = 3, .requestLimit = 20});
        std::map<std::string, std::string> holders;
        std::map<RequestId, std::string> keyOf;
        std::map<RequestId, StartAttempt> running;
        TimePoint time{};
        RequestId lastRequest = 0;
        std::uint64_t revision = 0;
        const auto feed = [&](const Event &event) {
            for (const auto &effect : reducer.apply(event)) {
                if (const auto *attempt = std::get_if<StartAttempt>(&effect)) {
                    RC_ASSERT(attempt->customer == holders.at(keyOf.at(attempt->request)));
                    RC_ASSERT(!attempt->customer.empty() && attempt->hidesCredentials);
                    running.insert_or_assign(attempt->attempt, *attempt);
                } else if (const auto *cancelled = std::get_if<CancelAttempt>(&effect)) {
                    running.erase(cancelled->attempt);
                }
            }
        };
        const auto reassign = [&](unsigned choice) {
            std::vector<Bundles::Customer> customers{customer("sese", {}), customer("huvo", {})};
            for (const auto &key : keys) {
                const auto holder = choice % 3;
                holders[key] = names[holder];
                choice /= 3;
                if (holder < 2) {
                    customers[holder].keys.push_back(Bundles::digestOf(key));
                }
            }
            feed(configure(withCustomers(customers, ++revision, service), time));
        };
        reassign(3);
        const auto steps = *rc::gen::scale(3,
                                           rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
                                               rc::gen::pair(rc::gen::inRange(0U, 6U), rc::gen::inRange(0U, 1000U))));
        for (const auto &[step, choice] : steps) {
            time += std::chrono::milliseconds(choice % 40);
            for (const auto &[id, attempt] : running) {
                RC_ASSERT(!reducer.maySend(attempt.request, id, time)
                          || attempt.customer == holders.at(keyOf.at(attempt.request)));
            }
            if (step < 2) {
                keyOf[++lastRequest] = keys[choice % keys.size()];
                feed(keyedArrival(lastRequest, choice % 2 == 0 ? "GET" : "POST", keyOf[lastRequest], time));
            } else if (step == 2) {
                reassign(choice);
            } else if (step == 3) {
                feed(TimerExpired{.at = time});
            } else if (!running.empty()) {
                auto chosen = running.begin();
                std::advance(chosen, choice % running.size());
                const auto attempt = chosen->second;
                running.erase(chosen);
                if (step == 4) {
                    feed(AttemptFailed{.at = time,
                                       .request = attempt.request,
                                       .attempt = attempt.attempt,
                                       .cause = Health::Cause::Reset,
                                       .nothingWritten = choice % 2 == 0});
                } else {
                    feed(AttemptCompleted{.at = time,
                                          .request = attempt.request,
                                          .attempt = attempt.attempt,
                                          .status = choice % 3 == 0 ? 200U : 503U,
                                          .notRun = choice % 3 == 1});
                }
            }
        }
    });
    CHECK(holds);
}

// Guards against a 401 for a key of a newer configuration that this entry knows of and does not have yet.
TEST_CASE("an unknown key gets 503 from when a newer configuration is known until it is in force")
{
    auto reducer = makeReducer(withCustomers({customer("first", {"key"})}));
    reducer.apply(ConfigurationSuperseded{.at = at(100)});
    CHECK(answered(reducer.apply(keyedArrival(1, "GET", "other", at(101)))).status == 503);
    CHECK(started(reducer.apply(keyedArrival(2, "GET", "key", at(102)))).request == 2);
    reducer.apply(ConfigurationSuperseded{.at = at(200), .superseded = false});
    CHECK(answered(reducer.apply(keyedArrival(3, "GET", "other", at(201)))).status == 401);
}
