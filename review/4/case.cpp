// DRAIN: servers drain while consumers send the bodies of their uploads.
#include "../standins/standins.h"

#include <algorithm>
#include <future>

using namespace Verbenadock::Review;

namespace {

constexpr double DrainS = 2;
constexpr unsigned TimeBudgetMs = 6000;
constexpr double WorkS = 0.36;
/// Size of a large upload of the site, and the time in which the consumer sends it: about 1 Mbit/s.
constexpr std::size_t BodyBytes = 360000;
constexpr double UploadS = 3;
constexpr int Pieces = 60;
constexpr int Uploads = 12;
/// The server reports draining this long after the uploads began, and exits a little later than drainS after that.
constexpr double DrainAfterS = 0.4;
constexpr double ExitAfterDrainS = 2.8;

Outcome upload(const Address &front, const std::string &id)
{
    Outcome outcome{.request = id, .sentAt = now(), .endedAt = 0, .answer = std::nullopt};
    const auto connection = connectTo(front);
    bool written = connection && connection->write(requestHead("POST", "/folio/sheet", id, TimeBudgetMs, BodyBytes));
    for (int piece = 1; piece <= Pieces && written; ++piece) {
        written = connection->write(std::string(BodyBytes / Pieces, 'x'));
        sleepUntil(outcome.sentAt + UploadS * piece / Pieces);
    }
    if (written) {
        outcome.answer = connection->read(TimeBudgetMs / 1000.0 + 1);
    }
    outcome.endedAt = now();
    return outcome;
}

} // namespace

int main()
{
    const Address storeAddress{.ip = newLoopbackAddress(), .port = 8541};
    Store store(storeAddress);
    std::vector<std::unique_ptr<Server>> servers;
    for (int number = 1; number <= 4; ++number) {
        servers.push_back(std::make_unique<Server>(store, "folios-" + std::to_string(number), "folios", WorkS));
        servers.back()->report("ready");
    }
    store.put("keyed.op",
              "config",
              toJson({.version = "r1",
                      .services = {"folios"},
                      .routes = {{.name = "folio", .prefix = "/folio/", .kind = "upload", .service = "folios"}},
                      .timeout = TimeBudgetMs / 1000.0}));
    std::vector<std::unique_ptr<Machine>> machines;
    for (int number = 1; number <= 3; ++number) {
        machines.push_back(std::make_unique<Machine>("front-a-" + std::to_string(number), storeAddress));
        machines.back()->start();
    }
    sleepFor(4);
    std::vector<std::future<Outcome>> calls;
    calls.reserve(Uploads);
    const auto begunAt = now();
    for (int number = 0; number < Uploads; ++number) {
        const auto &machine = *machines[static_cast<std::size_t>(number) % machines.size()];
        calls.push_back(std::async(std::launch::async, [&machine, number] {
            return upload(machine.front(), "upload-" + std::to_string(number + 1));
        }));
    }
    double confirmedAt = 0;
    if (hasTrouble()) {
        // Two of the four servers leave.
        sleepUntil(begunAt + DrainAfterS);
        servers[0]->report("draining");
        confirmedAt = servers[1]->report("draining");
        sleepUntil(confirmedAt + ExitAfterDrainS);
        servers[0]->exit();
        servers[1]->exit();
    }
    std::vector<Outcome> outcomes;
    int answered = 0;
    for (auto &item : calls) {
        outcomes.push_back(item.get());
        note(describe(outcomes.back()));
        answered += outcomes.back().answer && outcomes.back().answer->status() == 200 ? 1 : 0;
    }
    int late = 0;
    int lost = 0;
    std::size_t reached = 0;
    for (const auto &server : servers) {
        const bool left = hasTrouble() && (server == servers[0] || server == servers[1]);
        for (const auto &run : server->runs()) {
            note(describe(run));
            ++reached;
            late += left && run.arrivedAt > confirmedAt + DrainS ? 1 : 0;
            lost += left && run.endedAt == 0 ? 1 : 0;
        }
    }
    if (reached == 0) {
        finish(CouldNotRun, "no request reached a server");
    }
    finish(late > 0 ? RuleBroken : RuleHeld,
           "DRAIN: " + std::to_string(late)
               + " uploads reached a server later than drainS after the confirmation of its "
                 "leaving, "
               + std::to_string(lost) + " of them were lost as it ended; " + std::to_string(answered) + " of "
               + std::to_string(Uploads) + " were answered 200");
}
