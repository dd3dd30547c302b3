#include "verbenadock/allowance/allowanceclient.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Allowance;
using namespace std::chrono_literals;

namespace {

using Kind = Decision::Kind;

const TimePoint Start{1h};
/// After the delays at the start of a process.
const TimePoint Ready = Start + 5s;
constexpr Mesh::CustomerNumber Customer = 7;

/// VM vm-0 of ten, with hubs hub-1 and hub-2 and a hub of another data centre.
struct Fixture
{
    AllowancePool pool{"vm-0"};
    AllowanceClient client{pool, "vm-0", 3};

    Fixture()
    {
        std::vector<std::string> names{"vm-0", "hub-1", "hub-2", "far"};
        for (int number = 4; number < 10; ++number) {
            names.push_back("vm-" + std::to_string(number));
        }
        this->pool.setVms(names, Start);
        this->client.vmsKnown(Start);
        this->client.setHubs({.local = {"hub-1", "hub-2"}, .remote = {"far"}});
        this->pool.configure({{Customer, {.requestsPerSecond = 1, .burst = 1}}}, 0, Start);
        this->client.capsChanged(Start);
        this->client.advance(Ready);
    }
};

std::map<std::string, std::uint64_t> creditsIn(const AllowanceClient::Update &update)
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &[vm, message] : update.messages) {
        if (const auto *loan = std::get_if<Mesh::AllowanceLoan>(&message)) {
            result[vm] = loan->credit;
        }
    }
    return result;
}

/// The hub and the number of the only request to a hub.
std::pair<std::string, std::uint64_t> asked(const AllowanceClient::Update &update)
{
    REQUIRE(update.messages.size() == 1);
    const auto *request = std::get_if<Mesh::AllowanceRequest>(&update.messages[0].message);
    REQUIRE(request != nullptr);
    CHECK(request->customer == Customer);
    return {update.messages[0].vm, request->number};
}

Mesh::AllowanceGrant grant(std::uint64_t number, std::uint64_t tokens, Duration retryAfter = Duration(0))
{
    return {.vm = "hub", .number = number, .customer = Customer, .tokens = tokens, .retryAfter = retryAfter};
}

std::map<std::string, Mesh::AllowanceParts> loansIn(const AllowanceClient::Update &update)
{
    std::map<std::string, Mesh::AllowanceParts> result;
    for (const auto &[vm, message] : update.messages) {
        if (const auto *loan = std::get_if<Mesh::AllowanceLoan>(&message)) {
            result[vm] = loan->parts;
        }
    }
    return result;
}

} // namespace

// Guards against requests that are refused although a hub holds tokens.
TEST_CASE("a request waits for the first hub and is granted by it")
{
    Fixture fixture;
    const auto [hub, number] = asked(fixture.client.reserve(1, Customer, Ready));
    CHECK(hub == "hub-1");
    CHECK(fixture.client.waitingCount() == 1);
    const auto answer = fixture.client.handle(grant(number, 1), Ready + 2ms);
    CHECK(answer.decisions == std::vector{Decision{.request = 1, .kind = Kind::GrantedByHub}});
    CHECK(answer.roundTrips == std::vector<Duration>{2ms});
    CHECK(fixture.client.waitingCount() == 0);
    // A duplicated datagram must not grant twice.
    CHECK(fixture.client.handle(grant(number, 1), Ready + 3ms).decisions.empty());
    CHECK(asked(fixture.client.reserve(2, Customer, Ready + 4ms)).first == "hub-1");
}

// Guards against requests that are refused while another hub holds tokens, and against a Retry-After that is too
// long.
TEST_CASE("all hubs are asked in turn, and the refusal tells the earliest time")
{
    Fixture fixture;
    const auto first = asked(fixture.client.reserve(1, Customer, Ready));
    const auto second = asked(fixture.client.handle(grant(first.second, 0, 500ms), Ready + 2ms));
    CHECK(second.first == "hub-2");
    const auto third = asked(fixture.client.handle(grant(second.second, 0, 300ms), Ready + 4ms));
    CHECK(third.first == "far");
    const auto refused = fixture.client.handle(grant(third.second, 0, 900ms), Ready + 10ms);
    REQUIRE(refused.decisions.size() == 1);
    CHECK(refused.decisions[0].kind == Kind::OverCap);
    CHECK(refused.decisions[0].retryAfter == 294ms);
    // Further requests are refused without messages for a while.
    const auto next = fixture.client.reserve(2, Customer, Ready + 100ms);
    CHECK(next.messages.empty());
    REQUIRE(next.decisions.size() == 1);
    CHECK(next.decisions[0].kind == Kind::OverCap);
    CHECK(next.decisions[0].retryAfter == 204ms);
    CHECK(asked(fixture.client.reserve(3, Customer, Ready + 210ms)).first == "hub-1");
}

// A search whose token served an older request must not go on for a younger one: at the last hub it refused the younger
// request while that request's own search was still unanswered.
TEST_CASE("a request whose hub has not answered yet is not refused when another one is granted")
{
    Fixture fixture;
    fixture.client.setHubs({.local = {"hub-1"}, .remote = {}});
    const auto first = asked(fixture.client.reserve(1, Customer, Ready)).second;
    const auto second = asked(fixture.client.reserve(2, Customer, Ready)).second;
    const auto answer = fixture.client.handle(grant(first, 1), Ready + 2ms);
    CHECK(answer.decisions == std::vector{Decision{.request = 1, .kind = Kind::GrantedByHub}});
    CHECK(answer.messages.empty());
    CHECK(fixture.client.handle(grant(second, 1), Ready + 3ms).decisions
          == std::vector{Decision{.request = 2, .kind = Kind::GrantedByHub}});
}

// A request must not wait for dead hubs until its deadline.
TEST_CASE("a request gets no answer from any hub and is refused after 150 ms")
{
    Fixture fixture;
    fixture.client.reserve(1, Customer, Ready);
    CHECK(fixture.client.nextDeadline() == Ready + 50ms);
    CHECK(asked(fixture.client.advance(Ready + 50ms)).first == "hub-2");
    CHECK(asked(fixture.client.advance(Ready + 100ms)).first == "far");
    const auto refused = fixture.client.advance(Ready + 150ms);
    CHECK(refused.decisions == std::vector{Decision{.request = 1, .kind = Kind::Unknown}});
}

// Guards against requests that are overtaken, and against tokens that are lost with a late answer.
TEST_CASE("tokens go to the request that has waited longest, also those of a late answer")
{
    Fixture fixture;
    const auto first = asked(fixture.client.reserve(1, Customer, Ready));
    const auto second = asked(fixture.client.reserve(2, Customer, Ready + 1ms));
    CHECK(fixture.client.handle(grant(second.second, 1), Ready + 2ms).decisions[0].request == 1);
    CHECK(fixture.client.handle(grant(first.second, 1), Ready + 3ms).decisions[0].request == 2);
    // The answer to a search that went on is used by the next request.
    const auto third = asked(fixture.client.reserve(3, Customer, Ready + 10ms));
    const auto retried = asked(fixture.client.advance(Ready + 60ms));
    CHECK(fixture.client.handle(grant(retried.second, 1), Ready + 62ms).decisions[0].request == 3);
    fixture.client.handle(grant(third.second, 1), Ready + 100ms);
    const auto served = fixture.client.reserve(4, Customer, Ready + 150ms);
    CHECK(served.decisions == std::vector{Decision{.request = 4, .kind = Kind::GrantedByHub}});
}

// A token that is used long after it left the bucket runs in a window in which the bucket has refilled.
TEST_CASE("granted tokens expire 300 ms after they were asked for")
{
    Fixture fixture;
    const auto first = asked(fixture.client.reserve(1, Customer, Ready));
    fixture.client.handle(grant(first.second, 3), Ready + 5ms);
    CHECK(fixture.client.reserve(2, Customer, Ready + 299ms).decisions.size() == 1);
    CHECK(fixture.client.reserve(3, Customer, Ready + 300ms).decisions.empty());
}

// Guards against a cap that counts requests which never reached an upstream.
TEST_CASE("the token of a request that was not sent serves another one")
{
    Fixture fixture;
    const auto first = asked(fixture.client.reserve(1, Customer, Ready));
    fixture.client.handle(grant(first.second, 1), Ready + 5ms);
    fixture.client.giveBack(1, Ready + 20ms);
    fixture.client.giveBack(1, Ready + 20ms);
    CHECK(fixture.client.reserve(2, Customer, Ready + 30ms).decisions.size() == 1);
    CHECK(fixture.client.reserve(3, Customer, Ready + 30ms).decisions.empty());
    // A request that ended while it waited takes no token.
    fixture.client.giveBack(3, Ready + 40ms);
    CHECK(fixture.client.waitingCount() == 0);
    CHECK(fixture.client.advance(Ready + 80ms).decisions.empty());
}

// Guards against requests that wait for a cap that is no longer in force.
TEST_CASE("waiting requests are granted when the cap of their customer is dropped")
{
    Fixture fixture;
    const auto first = asked(fixture.client.reserve(1, Customer, Ready));
    fixture.pool.configure({}, 0, Ready + 1ms);
    CHECK(fixture.client.capsChanged(Ready + 1ms).decisions
          == std::vector{Decision{.request = 1, .kind = Kind::Uncapped}});
    CHECK(fixture.client.handle(grant(first.second, 1), Ready + 2ms).decisions.empty());
    CHECK_FALSE(fixture.client.nextDeadline());
    CHECK(fixture.client.reserve(2, Customer, Ready + 3ms).decisions[0].kind == Kind::Uncapped);
}

// A configuration without caps must cause no traffic.
TEST_CASE("nothing is sent without caps, and loans every 400 ms with them")
{
    AllowancePool pool("vm-0");
    AllowanceClient client(pool, "vm-0", 3);
    pool.setVms({"hub-1", "hub-2", "vm-0"}, Start);
    client.setHubs({.local = {"hub-1", "hub-2"}, .remote = {}});
    client.vmsKnown(Start);
    CHECK_FALSE(client.nextDeadline());
    CHECK(client.advance(Ready).messages.empty());
    pool.configure({{Customer, {.requestsPerSecond = 1, .burst = 1}}}, 0, Ready);
    const auto loans = loansIn(client.capsChanged(Ready));
    CHECK(loans.at("hub-1") == Mesh::AllowanceParts{.small = 850, .large = 600});
    CHECK(loans.at("hub-2") == Mesh::AllowanceParts{.small = 150, .large = 250});
    CHECK(client.nextDeadline() == Ready + 400ms);
}

// A share that is lent to two hubs at once, or lent and used, would be spent twice.
TEST_CASE("a part is lent elsewhere only when the loan to the earlier hub has ended for certain")
{
    Fixture fixture;
    fixture.client.setHubs({.local = {"hub-3", "hub-2"}, .remote = {}});
    // The last loan to hub-1 was sent at Ready.
    const auto early = loansIn(fixture.client.advance(Ready + 2400ms));
    CHECK_FALSE(early.contains("hub-3"));
    CHECK(early.at("hub-2").small == 150);
    const auto later = loansIn(fixture.client.advance(Ready + 2800ms));
    CHECK(later.at("hub-3").small == 850);
    // An isolated VM uses its whole share, but not before the loans have ended.
    fixture.client.setHubs({.local = {"vm-0"}, .remote = {}});
    CHECK(fixture.client.advance(Ready + 3200ms).messages.empty());
    CHECK(fixture.pool.take(Customer, 1, Ready + 3200ms) == AllowancePool::Answer{});
}

// Initial tokens for each change of hubs would exceed the slack.
TEST_CASE("hubs are told to add initial tokens once in the window of a cap")
{
    Fixture fixture;
    CHECK(creditsIn(fixture.client.advance(Ready + 400ms))
          == std::map<std::string, std::uint64_t>{{"hub-1", 1}, {"hub-2", 1}});
    fixture.client.setHubs({.local = {"hub-2", "hub-3"}, .remote = {}});
    const auto soon = creditsIn(fixture.client.advance(Ready + 3s));
    CHECK(soon == std::map<std::string, std::uint64_t>{{"hub-2", 0}, {"hub-3", 0}});
    const auto late = creditsIn(fixture.client.advance(Ready + 7s));
    CHECK(late == std::map<std::string, std::uint64_t>{{"hub-2", 2}, {"hub-3", 2}});
}

// After all VMs had lost power, requests were refused for half a second, because no hub had answered or held tokens
// yet.
TEST_CASE("a request waits for a hub that starts at the same time")
{
    AllowancePool pool("vm-0");
    AllowanceClient client(pool, "vm-0", 3);
    client.setHubs({.local = {"hub-1"}, .remote = {}});
    pool.configure({{Customer, {.requestsPerSecond = 1, .burst = 1}}}, 0, Start);
    pool.setVms({"hub-1", "vm-0"}, Start);
    client.vmsKnown(Start);
    CHECK(asked(client.reserve(1, Customer, Start)).first == "hub-1");
    // Without an answer and without a token of the hub, it asks again.
    CHECK(client.advance(Start + 50ms).messages.empty());
    const auto second = asked(client.advance(Start + 80ms));
    CHECK(client.handle(grant(second.second, 0, 20ms), Start + 82ms).decisions.empty());
    CHECK(client.advance(Start + 112ms).messages.size() == 1);
    const auto last = client.advance(Start + 162ms);
    CHECK(last.decisions.empty());
    const auto third = asked(client.advance(Start + 192ms));
    CHECK(client.handle(grant(third.second, 1), Start + 194ms).decisions
          == std::vector{Decision{.request = 1, .kind = Kind::GrantedByHub}});
}

// A caller must not wait for tokens that do not come.
TEST_CASE("a request of a VM that starts is refused after half a second")
{
    AllowancePool pool("vm-0");
    AllowanceClient client(pool, "vm-0", 3);
    client.setHubs({.local = {"hub-1"}, .remote = {}});
    pool.configure({{Customer, {.requestsPerSecond = 1, .burst = 1}}}, 0, Start);
    pool.setVms({"hub-1", "vm-0"}, Start);
    client.vmsKnown(Start);
    client.reserve(1, Customer, Start);
    std::vector<Decision> decisions;
    for (auto now = Start; now < Start + 600ms && decisions.empty(); now += 10ms) {
        decisions = client.advance(now).decisions;
        CHECK((decisions.empty() || now >= Start + 450ms));
    }
    CHECK(decisions == std::vector{Decision{.request = 1, .kind = Kind::Unknown}});
}

// A hub may be heard without hearing this VM, so that a loan to it would be lost.
TEST_CASE("nothing is lent to a hub that does not answer, until it answers again")
{
    Fixture fixture;
    auto now = Ready + 10ms;
    std::uint64_t lastNumber = 0;
    for (RequestId request = 1; request <= 3; ++request) {
        const auto ask = asked(fixture.client.reserve(request, Customer, now));
        CHECK(ask.first == "hub-1");
        lastNumber = ask.second;
        const auto next = asked(fixture.client.advance(now + 50ms));
        fixture.client.handle(grant(next.second, 1), now + 52ms);
        now += 60ms;
    }
    CHECK(asked(fixture.client.reserve(4, Customer, now)).first == "hub-2");
    CHECK_FALSE(loansIn(fixture.client.advance(Ready + 400ms)).contains("hub-1"));
    fixture.client.handle(grant(lastNumber, 0, 1s), Ready + 410ms);
    CHECK(loansIn(fixture.client.advance(Ready + 800ms)).contains("hub-1"));
}

// A VM that does not know the others takes itself for the only one, and the share for the whole cap.
TEST_CASE("nothing is lent before the registered VMs are known, and nothing is kept shortly after")
{
    AllowancePool pool("vm-0");
    AllowanceClient client(pool, "vm-0", 3);
    client.setHubs({.local = {"hub-1", "hub-2"}, .remote = {}});
    pool.configure({{Customer, {.requestsPerSecond = 1000, .burst = 1000}}}, 0, Start);
    CHECK(client.capsChanged(Start).messages.empty());
    CHECK_FALSE(client.nextDeadline());
    CHECK(client.reserve(1, Customer, Start).decisions.empty());
    client.giveBack(1, Start);
    pool.setVms({"hub-1", "hub-2", "vm-0"}, Ready);
    client.vmsKnown(Ready);
    CHECK(client.nextDeadline() == Ready);
    CHECK(client.advance(Ready).messages.empty());
    const auto ask = asked(client.reserve(2, Customer, Ready + 10ms));
    CHECK(ask.first == "hub-1");
    const auto loans = loansIn(client.handle(grant(ask.second, 0), Ready + 12ms));
    CHECK(loans.contains("hub-1"));
    CHECK_FALSE(loans.contains("hub-2"));
    client.giveBack(2, Ready + 20ms);
    CHECK(pool.take(Customer, 1, Ready + 899ms).retryAfter == Duration(0));
    client.advance(Ready + 900ms);
    client.advance(Ready + 1300ms);
    CHECK(pool.take(Customer, 1, Ready + 1400ms).tokens == 1);
}
