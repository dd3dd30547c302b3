#include "allowancelink.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;
using namespace std::chrono_literals;

namespace {

using Decision = Core::AllowanceDecided::Decision;

const Bundles::Customer Capped{.name = "papirna", .keys = {}, .priority = {}, .requestsPerSecond = 1000, .burst = 1000};
const Bundles::Customer Uncapped{.name = "knihovna", .keys = {}, .priority = {}};

/// Two VMs on one event loop whose messages are delivered at once; the second one is the hub of both.
struct Fixture
{
    boost::asio::io_context context;
    Telemetry::MetricsRegistry registries[2];
    std::shared_ptr<internal::AllowanceLink> links[2];
    std::vector<Core::AllowanceDecided> decisions;
    std::size_t messages = 0;
    /// Receiver of the last message.
    std::string addressed;

    Fixture()
    {
        for (std::size_t index = 0; index < 2; ++index) {
            internal::AllowanceLink::Handlers handlers;
            handlers.hubs = [] {
                return Allowance::Hubs{.local = {"hub"}, .remote = {}};
            };
            handlers.send = [this](const std::string &vm, const Mesh::Message &message) {
                ++this->messages;
                this->addressed = vm;
                this->deliver(message);
            };
            handlers.decided = [this](const Core::AllowanceDecided &event) {
                this->decisions.push_back(event);
            };
            this->links[index] = std::make_shared<internal::AllowanceLink>(
                this->context, index == 0 ? "vm" : "hub", 5, 20, this->registries[index], std::move(handlers));
            this->links[index]->setVms({"hub", "vm"});
        }
    }

    ~Fixture()
    {
        for (const auto &link : this->links) {
            link->stop();
        }
    }

    void deliver(const Mesh::Message &message)
    {
        if (const auto *loan = std::get_if<Mesh::AllowanceLoan>(&message)) {
            this->links[1]->handle(*loan);
        } else if (const auto *request = std::get_if<Mesh::AllowanceRequest>(&message)) {
            boost::asio::post(this->context, [this, request = *request] {
                this->links[0]->handle(this->links[1]->handle(request));
            });
        }
    }

    void configure(const std::vector<Bundles::Customer> &customers)
    {
        for (const auto &link : this->links) {
            link->configure(customers);
        }
    }

    /// Runs the event loop until the condition holds, for 10 s at most.
    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = monotonicNow() + 10s;
        while (!condition() && monotonicNow() < end) {
            this->context.restart();
            this->context.run_one_for(10ms);
        }
        return condition();
    }
};

Core::ReserveAllowance reservation(RequestId request, const std::string &customer)
{
    return {.request = request, .bundle = "b", .customer = customer};
}

} // namespace

// A configuration without caps must cause no traffic and no timer.
TEST_CASE("nothing is sent and no timer runs without a customer with a cap")
{
    Fixture fixture;
    fixture.configure({Uncapped});
    CHECK(fixture.context.run() == 0);
    CHECK(fixture.messages == 0);
    fixture.links[0]->reserve(reservation(1, "knihovna"));
    REQUIRE(fixture.decisions.size() == 1);
    CHECK(fixture.decisions[0].decision == Decision::Granted);
    CHECK(fixture.messages == 0);
}

// Guards against requests that are refused while a VM and its hub start together and nothing is lent yet.
TEST_CASE("a VM lends to the hub, which grants the requests of the VM")
{
    Fixture fixture;
    fixture.configure({Capped, Uncapped});
    fixture.links[0]->reserve(reservation(1, "papirna"));
    REQUIRE(fixture.runUntil([&] {
        return fixture.decisions.size() == 1;
    }));
    CHECK(fixture.decisions[0].decision == Decision::Granted);
    CHECK(fixture.addressed == "hub");
    const auto text = fixture.registries[0].prometheusText();
    CAPTURE(text);
    CHECK(text.find("verbenadock_allowance_decisions_total{decision=\"granted-by-hub\"} 1") != std::string::npos);
}
