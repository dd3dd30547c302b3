// Fault: a version raises maxHeaderBytes; a consumer uses the new limit on a connection that it had open before.
#include "../standins/standins.h"

#include <csignal>

using namespace Verbenadock::Review;

namespace {

constexpr unsigned TimeBudgetMs = 4000;
constexpr double ConfigApplyS = 2;
constexpr std::size_t FirstLimit = 16384;
constexpr std::size_t RaisedLimit = 131072;
constexpr std::size_t LongHeadBytes = 100000;
constexpr double WatchS = 10;
constexpr double GraceS = 6;

} // namespace

int main()
{
    const Address storeAddress{.ip = newLoopbackAddress(), .port = 8541};
    Store store(storeAddress);
    std::vector<std::unique_ptr<Server>> servers;
    for (int number = 1; number <= 4; ++number) {
        servers.push_back(std::make_unique<Server>(store, "lookups-" + std::to_string(number), "lookups", 0.05));
        servers.back()->report("ready");
    }
    Desired desired{.version = "r1",
                    .services = {"lookups"},
                    .routes = {{.name = "lookup", .prefix = "/lookup/", .kind = "safe", .service = "lookups"}},
                    .maxHeaderBytes = hasTrouble() ? FirstLimit : RaisedLimit};
    store.put("keyed.op", "config", toJson(desired));
    Machine machine("front-a-1", storeAddress);
    machine.start();
    sleepFor(1);

    const auto kept = connectTo(machine.front());
    if (!kept || !kept->write(requestHead("GET", "/lookup/first", "first", TimeBudgetMs, 0)) || !kept->read(5)) {
        finish(CouldNotRun, "the first request was not answered");
    }
    note("consumer: request first was answered; the connection stays open");
    if (hasTrouble()) {
        desired.version = "r2";
        desired.maxHeaderBytes = RaisedLimit;
        store.put("keyed.op", "config", toJson(desired));
        note("version r2 confirmed: maxHeaderBytes rises from 16384 to 131072");
    }
    sleepFor(ConfigApplyS + 1);
    auto head = requestHead("GET", "/lookup/second", "second", TimeBudgetMs, 0);
    head.insert(head.size() - 2, "X-Context: " + std::string(LongHeadBytes, 'c') + "\r\n");
    const auto sentAt = now();
    const bool written = kept->write(head);
    const auto answer = kept->read(TimeBudgetMs / 1000.0 + 1);
    note("consumer: request second with a head of " + std::to_string(head.size()) + " bytes on the same connection, "
         + (written ? "written, " : "not written, ") + (answer ? "answered " + answer->startLine : "not answered"));
    int unanswered = answer ? 0 : 1;
    int notReady = 0;
    const auto processorBefore = machine.processorSeconds();
    const auto watchedFrom = now();
    for (int number = 1; now() < sentAt + WatchS; ++number) {
        const auto outcome = call(machine.front(), "GET", "/lookup/other", "other-" + std::to_string(number), 1000);
        note(describe(outcome));
        unanswered += outcome.answer ? 0 : 1;
        const bool ready = machine.isReady();
        note(std::string("load balancer: the machine ") + (ready ? "is ready" : "gives no answer"));
        notReady += ready ? 0 : 1;
        sleepFor(0.5);
    }
    const auto share = (machine.processorSeconds() - processorBefore) / (now() - watchedFrom);
    note("the process used " + std::to_string(share) + " of a core meanwhile");
    machine.signal(SIGTERM);
    sleepFor(GraceS);
    note(machine.hasEnded() ? "it ended after SIGTERM" : "it still runs graceS after SIGTERM");
    finish(unanswered > 0 && notReady > 1 ? RuleBroken : RuleHeld,
           "Fault: " + std::to_string(unanswered) + " requests without an answer, " + std::to_string(notReady)
               + " questions of the load balancer without an answer after a head within maxHeaderBytes");
}
