// An upstream that sends bytes without end, seen by the memory of the entry and by its other callers.
#include "harness/storefleet.h"
#include "proxy/fakeupstream.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <fstream>
#include <list>
#include <thread>

using namespace Verbenadock;
using namespace Verbenadock::Test;

namespace {

/// Memory of the smallest VM.
constexpr std::size_t VmMemoryKilobytes = 160 * 1024;
constexpr int CallersPerStream = 20;
/// The deadline of a request is 4 s.
constexpr auto CallerLimit = std::chrono::seconds(5);

struct EndlessStream
{
    /// Name of the service whose only upstream sends it.
    std::string service;
    std::string prefix;
    std::string repeated;
};

/// Highest resident memory of a process so far.
std::size_t peakMemoryKilobytes(int process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
    }
    return SIZE_MAX;
}

std::string upstreamEntry(const std::string &service, const Endpoint &endpoint)
{
    return Json{{"address", toString(endpoint)},
                {"born", 1},
                {"info", {{"service", service}, {"zone", "a"}, {"version", "v"}, {"slots", CallersPerStream}}},
                {"status", {{"state", "ready"}, {"seq", 1}, {"warmupLeftS", 0}}}}
        .dump();
}

std::string withId(std::string text, const std::string &id)
{
    const auto position = text.find("ID");
    return position == std::string::npos ? text : text.replace(position, 2, id);
}

Testing::FakeUpstream::Script sendEndlessly(const EndlessStream &stream)
{
    return [&stream](Testing::TestSocket &connection, unsigned) {
        const auto request = connection.readMessage();
        connection.send(withId(stream.prefix, request.field("Verbenadock-Request-Id").value_or("")));
        bool open = true;
        while (open) {
            open = connection.send(stream.repeated);
        }
    };
}

/// Sends lookups on separate connections; every second caller does not read its answer.
void startCallers(const StoreFleet &fleet,
                  const std::string &service,
                  std::vector<std::thread> &threads,
                  std::atomic<int> &open)
{
    for (int number = 0; number < CallersPerStream; ++number) {
        ++open;
        threads.emplace_back([&fleet, &open, service, number] {
            Testing::TestSocket caller(fleet.vms[0].entryListen());
            std::string request = "GET /";
            request.append(service).append("/x HTTP/1.1\r\nHost: fleet.example\r\nVerbenadock-Request-Id: ");
            request.append(service).append(std::to_string(number));
            request.append("\r\nVerbenadock-Deadline-Ms: 4000\r\nConnection: close\r\n\r\n");
            caller.send(request);
            if (number % 2 == 0) {
                caller.waitForEnd();
            } else {
                std::this_thread::sleep_for(CallerLimit);
            }
            --open;
        });
    }
}

} // namespace

// Guards against an entry that keeps what a faulty upstream sends until its memory is used up, which ends the requests
// of all its callers.
TEST_CASE("bytes without end of an upstream stay within the memory of a VM, and other callers are served")
{
    const std::string block(65536, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nVerbenadock-Request-Id: ID\r\n";
    const std::vector<EndlessStream> streams{
        {"no-answer", "", block},
        {"fields", head, "X-Field: " + std::string(4096, 'x') + "\r\n"},
        {"no-length", head + "\r\n", block},
        {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n"},
        {"chunk-size", head + "Transfer-Encoding: chunked\r\n\r\n", std::string(4096, '0')},
        {"long-length", head + "Content-Length: 200000000\r\n\r\n", block},
        {"second-answer", head + "Content-Length: 2\r\n\r\nok", block},
    };
    StoreFleetSpec spec{.services = {{.name = "vydej"}}, .dataCentres = {"a"}, .vms = 1, .timeoutS = 4};
    std::list<Testing::FakeUpstream> faulty;
    for (const auto &stream : streams) {
        spec.services.push_back({.name = stream.service, .upstreams = 0});
        faulty.emplace_back("127.0.6.1", sendEndlessly(stream));
    }
    StoreFleet fleet(PROGRAM_DIR, std::move(spec));
    fleet.start();
    auto upstream = faulty.begin();
    for (const auto &stream : streams) {
        fleet.writeUpstreamEntry(stream.service, upstreamEntry(stream.service, (upstream++)->endpoint()));
    }
    waitFor("the faulty upstreams to be known", std::chrono::seconds(2), [&fleet, &streams] {
        return fleet.entryDump(0).at("fleet").at("upstreams_end") >= fleet.upstreams.size() + streams.size();
    });
    std::atomic<int> open = 0;
    std::vector<std::thread> callers;
    for (const auto &stream : streams) {
        startCallers(fleet, stream.service, callers, open);
    }
    for (int number = 0; open > 0; ++number) {
        CHECK(fleet.call(0, StoreFleet::claim("other-" + std::to_string(number))).status == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK(fleet.vms[0].entry->isRunning());
    CHECK(peakMemoryKilobytes(fleet.vms[0].entry->id()) < VmMemoryKilobytes);
}
