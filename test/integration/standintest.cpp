#include "harness/environment.h"
#include "harness/process.h"
#include "verbenadock/base/error.h"

#include <catch2/catch.hpp>

#include <future>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

constexpr auto Timeout = std::chrono::seconds(5);

/// Two stand-in upstreams, `a` behind the fault proxy.
struct Stand
{
    TemporaryDirectory directory;
    AddressBlock addresses;
    std::string address = addresses.next();
    Endpoint upstream{address, 9001};
    Endpoint proxied{address, 9000};
    Endpoint control{address, 9901};
    Endpoint proxyControl{address, 9900};
    Process upstreams{std::filesystem::path(PROGRAM_DIR) / "standin-upstream",
                      {"--control=" + toString(control), "a=" + toString(upstream)},
                      directory.path() / "upstream.log"};
    Process proxy{std::filesystem::path(PROGRAM_DIR) / "standin-faultproxy",
                  {"--control=" + toString(proxyControl), "a=" + toString(proxied) + "," + toString(upstream)},
                  directory.path() / "proxy.log"};

    Stand()
    {
        for (const auto &endpoint : {this->control, this->proxyControl}) {
            waitFor("control port", Timeout, [&] {
                return getJson(endpoint, "/state").is_object();
            });
        }
    }

    void behave(const Json &behaviour) const
    {
        postJson(this->control, "/set", {{"behaviour", behaviour}});
    }

    Net::HttpResponse send(const std::string &workId) const
    {
        return Net::fetchBlocking(
            this->upstream, {.target = "/x", .headers = {{"X-Work-Id", workId}, {"X-Attempt-Id", workId}}}, Timeout);
    }
};

} // namespace

// Guards against proofs of whole answers that pass because the stand-in never swaps two answers.
TEST_CASE("the stand-in swaps the answers of two requests")
{
    const Stand stand;
    stand.behave({{"crossRate", 1}});
    auto first = std::async(std::launch::async, [&] {
        return stand.send("1");
    });
    const auto second = stand.send("2");
    CHECK(first.get().headers.at("x-attempt-id") == "2");
    CHECK(second.headers.at("x-attempt-id") == "1");
}

// Guards against proofs of at-most-once that pass because the stand-in misses doubles or counts refused requests.
TEST_CASE("the stand-in counts what ran and nothing else")
{
    const Stand stand;
    CHECK(stand.send("1").status == 200);
    stand.behave({{"failRate", 1}});
    CHECK(stand.send("1").status == 500);
    stand.behave({{"failRate", 0}, {"shedRate", 1}});
    const auto shed = stand.send("2");
    CHECK(shed.status == 503);
    CHECK(shed.headers.at("x-not-run") == "true");
    stand.behave({{"shedRate", 0}});
    CHECK(stand.send("2").status == 200);
    CHECK(getJson(stand.control, "/doubles") == Json{{"1", 2}});
    CHECK(getJson(stand.control, "/executions").size() == 3);
}

// Guards against proofs about silent connections that pass because the proxy closes or keeps serving them.
TEST_CASE("the proxy cuts, refuses and heals")
{
    const Stand stand;
    const auto reach = [&] {
        try {
            return Net::fetchBlocking(stand.proxied, {.target = "/x"}, std::chrono::milliseconds(400)).status == 200;
        } catch (const Error &) {
            return false;
        }
    };
    CHECK(reach());
    for (const std::string fault : {"cutToTarget", "cutToClient", "freeze", "refuse"}) {
        INFO("fault: " << fault);
        postJson(stand.proxyControl, "/set", {{fault, true}});
        CHECK_FALSE(reach());
        postJson(stand.proxyControl, "/set", {{fault, false}});
        CHECK(reach());
    }
}
