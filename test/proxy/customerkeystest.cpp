// Keys of customers on real connections.
#include "entryfixture.h"
#include "fakeupstream.h"
#include "verbenadock/platform/decoding.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <mutex>

using namespace Verbenadock;
using namespace Verbenadock::Testing;

namespace {

Bundles::Customer customer(const std::string &name, const std::vector<std::string> &keys)
{
    Bundles::Customer result{.name = name};
    for (const auto &key : keys) {
        result.keys.push_back(Bundles::digestOf(key));
    }
    return result;
}

std::string request(const std::string &method, const std::string &fields, const std::string &body = {})
{
    auto text = method + " /a HTTP/1.1\r\nHost: h\r\nVerbenadock-Request-Id: 9c41\r\n" + fields;
    if (method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// An upstream that records the heads of its requests, and an entry in front of it.
class Proxied
{
public:
    explicit Proxied(std::vector<Bundles::Customer> customers)
        : upstream("127.0.6.1",
                   [this](TestSocket &connection, unsigned) {
                       while (true) {
                           const auto received = connection.readMessage();
                           if (!received.complete) {
                               return;
                           }
                           const std::lock_guard lock(this->mutex);
                           this->heads.push_back(received.head);
                           connection.send(
                               "HTTP/1.1 200 OK\r\nVerbenadock-Request-Id: 9c41\r\nContent-Length: 0\r\n\r\n");
                       }
                   })
        , entry(this->optionsWith(std::move(customers)))
    {
    }

    std::vector<std::string> receivedHeads()
    {
        const std::lock_guard lock(this->mutex);
        return this->heads;
    }

private:
    FixtureOptions optionsWith(std::vector<Bundles::Customer> customers) const
    {
        auto options = optionsFor({this->upstream.endpoint()});
        options.dialect = Platform::platformDialect();
        options.customers = std::move(customers);
        return options;
    }

    std::mutex mutex;
    std::vector<std::string> heads;
    FakeUpstream upstream;

public:
    EntryFixture entry;
};

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

// Guards against upstreams that learn keys of customers, or believe a customer that the caller made up.
TEST_CASE("the key is removed and the customer's name replaces a forged one")
{
    Proxied proxied({customer("sese", {"s1"})});
    for (const std::string forged : {"Verbenadock-Tenant: huvo\r\n",
                                     "verbenadock-TENANT: huvo\r\nVERBENADOCK-tenant: kafi\r\n",
                                     "Connection: Verbenadock-Tenant, Authorization\r\nVerbenadock-Tenant: huvo\r\n",
                                     ""}) {
        INFO(forged);
        for (const std::string authorization : {"Authorization: Bearer s1\r\n", "aUTHORIZATION: bEARER  s1 \r\n"}) {
            const auto before = proxied.receivedHeads().size();
            CHECK(proxied.entry.exchange(request("POST", forged + authorization, "hi")).status() == 200);
            const auto heads = proxied.receivedHeads();
            REQUIRE(heads.size() == before + 1);
            const auto head = lowerCase(heads.back());
            CHECK(head.find("authorization") == std::string::npos);
            CHECK(countOf(head, "verbenadock-tenant:") == 1);
            CHECK(head.find("\r\nverbenadock-tenant: sese\r\n") != std::string::npos);
        }
    }
    CHECK(proxied.entry.metric("verbenadock_customer_keys_total{result=\"accepted\"}") == 8);
}

// Guards against credentials that two implementations read differently.
TEST_CASE("only a single Authorization field with the scheme Bearer and a key of usual length counts")
{
    Proxied proxied({customer("sese", {"s1", std::string(512, 'k')})});
    for (const std::string &fields : {std::string(),
                                      std::string("Authorization: Bearer s2\r\n"),
                                      std::string("Authorization: Bearer s1\r\nAuthorization: Bearer s1\r\n"),
                                      std::string("Authorization: Basic s1\r\n"),
                                      std::string("Authorization: Bearers1\r\n"),
                                      std::string("Authorization: Bearer\r\n"),
                                      std::string("Authorization: Bearer \r\n"),
                                      std::string("Authorization: s1\r\n"),
                                      std::string("Authorization:\r\n"),
                                      "Authorization: Bearer " + std::string(513, 'k') + "\r\n",
                                      std::string("Proxy-Authorization: Bearer s1\r\n"),
                                      std::string("Verbenadock-Tenant: sese\r\n")}) {
        INFO(fields);
        const auto answer = proxied.entry.exchange(request("POST", fields, "hi"));
        CHECK(answer.status() == 401);
        CHECK(answer.field("WWW-Authenticate") == "Bearer");
        CHECK_FALSE(answer.hasField("Retry-After"));
    }
    CHECK(proxied.receivedHeads().empty());
    CHECK(proxied.entry.metric("verbenadock_customer_keys_total{result=\"unknown\"}") == 1);
    CHECK(proxied.entry.metric("verbenadock_customer_keys_total{result=\"missing\"}") == 11);
    CHECK(proxied.entry.exchange(request("POST", "Authorization: Bearer " + std::string(512, 'k') + "\r\n", "hi"))
              .status()
          == 200);
}

// Guards against callers who choose the customer that the upstream sees.
TEST_CASE("on a public route a forged customer is dropped and only a known key sets the name")
{
    Proxied proxied({customer("sese", {"s1"})});
    CHECK(proxied.entry.exchange(request("GET", "verbenadock-tenant: huvo\r\n")).status() == 200);
    CHECK(proxied.entry.exchange(request("GET", "Authorization: Bearer s2\r\nVerbenadock-Tenant: huvo\r\n")).status()
          == 200);
    CHECK(proxied.entry.exchange(request("GET", "Authorization: Bearer s1\r\n")).status() == 200);
    const auto heads = proxied.receivedHeads();
    REQUIRE(heads.size() == 3);
    CHECK(lowerCase(heads[0]).find("tenant") == std::string::npos);
    CHECK(lowerCase(heads[1]).find("tenant") == std::string::npos);
    CHECK(heads[2].find("\r\nVerbenadock-Tenant: sese\r\n") != std::string::npos);
    for (const auto &head : heads) {
        CHECK(lowerCase(head).find("authorization") == std::string::npos);
    }
}

// Guards against a change for deployments without customers.
TEST_CASE("without customers both fields pass unchanged")
{
    Proxied proxied({});
    CHECK(
        proxied.entry.exchange(request("POST", "Authorization: Basic x\r\nVerbenadock-Tenant: huvo\r\n", "hi")).status()
        == 200);
    const auto heads = proxied.receivedHeads();
    REQUIRE(heads.size() == 1);
    CHECK(heads.front().find("\r\nAuthorization: Basic x\r\nVerbenadock-Tenant: huvo\r\n") != std::string::npos);
}

// Guards against a check that is made once for each connection.
TEST_CASE("a key that is taken away between two requests of a connection is no longer accepted")
{
    Proxied proxied({customer("sese", {"s1"})});
    TestSocket caller(proxied.entry.endpoint());
    const auto text = request("POST", "Authorization: Bearer s1\r\n", "hi");
    caller.send(text);
    CHECK(caller.readMessage().status() == 200);
    proxied.entry.setCustomers({customer("huvo", {"s1"})});
    caller.send(text);
    CHECK(caller.readMessage().status() == 200);
    proxied.entry.setCustomers({customer("huvo", {})});
    caller.send(text);
    CHECK(caller.readMessage().status() == 401);
    const auto heads = proxied.receivedHeads();
    REQUIRE(heads.size() == 2);
    CHECK(heads[0].find("\r\nVerbenadock-Tenant: sese\r\n") != std::string::npos);
    CHECK(heads[1].find("\r\nVerbenadock-Tenant: huvo\r\n") != std::string::npos);
}

// Guards against a key that is served after its removal because the caller sends the body slowly.
TEST_CASE("a key that is taken away or moved while the request waits for its body is checked again")
{
    Proxied proxied({customer("sese", {"s1"})});
    const auto text = request("POST", "Authorization: Bearer s1\r\n", "hi");
    const auto sendAroundChange = [&](const std::vector<Bundles::Customer> &customers) {
        TestSocket caller(proxied.entry.endpoint());
        const auto accepted = proxied.entry.metric("verbenadock_customer_keys_total{result=\"accepted\"}");
        caller.send(text.substr(0, text.size() - 1));
        REQUIRE(eventually([&] {
            return proxied.entry.metric("verbenadock_customer_keys_total{result=\"accepted\"}") > accepted;
        }));
        proxied.entry.setCustomers(customers);
        caller.send(text.substr(text.size() - 1));
        return caller.readMessage().status();
    };
    CHECK(sendAroundChange({customer("huvo", {"s1"})}) == 200);
    CHECK(sendAroundChange({customer("huvo", {})}) == 401);
    const auto heads = proxied.receivedHeads();
    REQUIRE(heads.size() == 1);
    CHECK(heads.front().find("\r\nVerbenadock-Tenant: huvo\r\n") != std::string::npos);
}
