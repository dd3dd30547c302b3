#include "net/cannedserver.h"
#include "verbenadock/platform/logclient.h"
#include "verbenadock/platform/vmlistclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Platform;

namespace {

constexpr auto Timeout = std::chrono::seconds(3);

/// Runs the operation against a server whose only response has the given body.
template<typename Operation>
auto runAgainst(const std::string &body, Operation operation, const std::string &status = "200 OK")
{
    Test::CannedServer server("HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                              + body);
    boost::asio::io_context context;
    auto result = boost::asio::co_spawn(context, operation(server.endpoint()), boost::asio::use_future);
    context.run();
    return result.get();
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    }
    return text;
}

std::string offsets(std::uint64_t end, std::uint64_t first)
{
    return bigEndian(end, 8) + bigEndian(first, 8);
}

std::string framed(const std::string &record)
{
    return bigEndian(record.size(), 4) + record;
}

auto append(Endpoint endpoint) -> boost::asio::awaitable<std::uint64_t>
{
    const LogClient client(endpoint, "configuration", Timeout);
    co_return co_await client.append("{}");
}

auto readFromThree(Endpoint endpoint) -> boost::asio::awaitable<LogPage>
{
    const LogClient client(endpoint, "configuration", Timeout);
    co_return co_await client.read(3, 2);
}

auto listVms(Endpoint endpoint) -> boost::asio::awaitable<std::vector<Vm>>
{
    const VmListClient client(endpoint, Timeout);
    co_return co_await client.read();
}

} // namespace

TEST_CASE("the log client reads offsets and records")
{
    CHECK(runAgainst(R"({"offset": 7, "end": 8})", append) == 7);
    const LogPage expected{.first = 1, .end = 9, .records = {{.offset = 3, .data = "a"}, {.offset = 4, .data = "bc"}}};
    CHECK(runAgainst(offsets(9, 1) + framed("a") + framed("bc"), readFromThree) == expected);
    // Records beyond the requested limit are left for the next read.
    CHECK(runAgainst(offsets(9, 1) + framed("a") + framed("b") + framed("c"), readFromThree).records.size() == 2);
    CHECK(runAgainst(offsets(3, 1), readFromThree).records.empty());
}

// Guards against records that are lost or repeated permanently because of a malformed page.
TEST_CASE("the log client throws on malformed responses")
{
    for (const std::string &body : {
             std::string(),
             offsets(9, 1).substr(1),
             offsets(3, 4),
             offsets(4, 1) + framed("a") + framed("b"),
             offsets(9, 1) + framed("ab").substr(0, 5),
             offsets(9, 1) + "\xff\xff\xff\xff",
             offsets(9, 1) + std::string("\0\0", 2),
         }) {
        INFO("bytes: " << body.size());
        CHECK_THROWS_AS(runAgainst(body, readFromThree), PlatformError);
    }
    CHECK_THROWS_AS(runAgainst(R"({"offset": "7"})", append), PlatformError);
    CHECK_THROWS_AS(runAgainst("[]", append), PlatformError);
    CHECK_THROWS_AS(runAgainst("{", append), PlatformError);
    CHECK_THROWS_AS(runAgainst(R"({"offset": 7})", append, "503 Service Unavailable"), PlatformError);
}

TEST_CASE("the VM list client reads VMs")
{
    const std::vector<Vm> expected{
        {.id = "a", .address = "127.0.1.1", .role = VmRole::Entry, .dataCentre = "north", .leaving = false},
        {.id = "b", .address = "127.0.1.2", .role = VmRole::Upstream, .dataCentre = "south", .leaving = true}};
    CHECK(runAgainst(R"({"vms": [
        {"id": "a", "address": "127.0.1.1", "role": "entry", "dataCentre": "north", "state": "live"},
        {"id": "b", "address": "127.0.1.2", "role": "upstream", "dataCentre": "south", "state": "leaving"}]})",
                     listVms)
          == expected);
}

// Guards against a leaving VM that counts as live because its state was misread.
TEST_CASE("the VM list client throws on malformed responses")
{
    const std::string validVm = R"({"id": "a", "address": "x", "role": "entry", "dataCentre": "n", "state": "live"})";
    for (const std::string &body : {
             std::string(R"({"vms": {}})"),
             std::string(R"({"vms": [)").append(validVm).append(",").append(validVm).append("]}"),
             std::string(
                 R"({"vms": [{"id": "a", "address": "x", "role": "router", "dataCentre": "n", "state": "live"}]})"),
             std::string(
                 R"({"vms": [{"id": "a", "address": "x", "role": "entry", "dataCentre": "n", "state": "gone"}]})"),
             std::string(R"({"vms": [{"id": "a", "address": "x", "role": "entry", "state": "live"}]})"),
         }) {
        INFO("body: " << body);
        CHECK_THROWS_AS(runAgainst(body, listVms), PlatformError);
    }
}
