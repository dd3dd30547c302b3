// CONFIG: the machines of a zone that read the store for the others are killed while two versions come one after the
// other.
#include "../standins/standins.h"

#include <algorithm>
#include <csignal>

using namespace Verbenadock::Review;

namespace {

constexpr double ConfigApplyS = 2;
constexpr unsigned TimeBudgetMs = 4000;
/// Routes that the desired state has beside those that change: as many as one big_config of the site adds.
constexpr int OtherRoutes = 350;
constexpr int MachinesPerZone = 3;
/// Time between the two versions: the gap of the site's config_storm.
constexpr double VersionGapS = 0.33;
constexpr double RestartDelayS = 0.5;
/// The kills are repeated until the rule is broken, each at another moment between two heartbeats of the machines.
constexpr int MaxKills = 10;
constexpr double BetweenKillsS = 4;
constexpr double KillShiftS = 0.07;
/// Afterwards the machines are watched for this long, without any disruption.
constexpr int WatchRounds = 5;
constexpr double BetweenWatchesS = 4;

struct Node
{
    Address storeAddress;
    std::unique_ptr<Machine> machine;
    std::string zone;
    bool killed = false;
};

} // namespace

int main()
{
    Store store({.ip = newLoopbackAddress(), .port = 8541});
    std::vector<std::unique_ptr<Server>> servers;
    for (const std::string service : {"vydej", "katalog"}) {
        for (int number = 1; number <= 3; ++number) {
            servers.push_back(std::make_unique<Server>(store, service + "-" + std::to_string(number), service, 0.05));
            servers.back()->report("ready");
        }
    }
    Desired desired{.version = "r1", .services = {"vydej", "katalog"}, .routes = {}};
    for (int kill = 1; kill <= MaxKills; ++kill) {
        for (const std::string what : {"moved", "dropped"}) {
            const auto name = what + std::to_string(kill);
            desired.routes.push_back({.name = name, .prefix = "/" + name + "/", .kind = "unsafe", .service = "vydej"});
        }
    }
    for (int number = 1; number <= OtherRoutes; ++number) {
        const auto name = "other" + std::to_string(number);
        desired.routes.push_back({.name = name, .prefix = "/" + name + "/", .kind = "safe", .service = "katalog"});
    }
    int version = 1;
    const auto write = [&store, &desired, &version] {
        desired.version = "r" + std::to_string(version);
        store.put("keyed.op", "config", toJson(desired));
        note("version " + desired.version + " confirmed");
        ++version;
    };
    write();
    std::vector<Node> nodes;
    for (const std::string zone : {"zone-a", "zone-b"}) {
        for (int number = 1; number <= MachinesPerZone; ++number) {
            Node node{.storeAddress = {.ip = newLoopbackAddress(), .port = 8541}, .machine = nullptr, .zone = zone};
            store.open(node.storeAddress);
            const auto name = "front-" + zone.substr(zone.size() - 1) + "-" + std::to_string(number);
            node.machine = std::make_unique<Machine>(name, node.storeAddress, zone);
            node.machine->start();
            nodes.push_back(std::move(node));
        }
    }
    sleepFor(4);
    std::vector<int> reads;
    for (const auto &node : nodes) {
        reads.push_back(store.readsThrough(node.storeAddress));
    }
    sleepFor(3);
    int readers = 0;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        const bool isReader = store.readsThrough(nodes[index].storeAddress) > reads[index];
        nodes[index].killed = isReader && nodes[index].zone == "zone-a";
        readers += nodes[index].killed ? 1 : 0;
        note("machine " + nodes[index].machine->name() + (isReader ? " reads" : " does not read") + " the store");
    }
    if (readers != 2) {
        finish(CouldNotRun, std::to_string(readers) + " machines of zone-a read the store instead of 2");
    }

    int sent = 0;
    // Sends a request for the moved and one for the dropped route to each machine that was never disturbed, and counts
    // those that are handled as only the versions before allow.
    const auto countStale = [&nodes, &sent](int kill) {
        int stale = 0;
        for (const auto &node : nodes) {
            if (node.killed) {
                continue;
            }
            ++sent;
            for (const std::string what : {"moved", "dropped"}) {
                const auto name = what + std::to_string(kill);
                const auto id = name + "-" + node.machine->name() + "-" + std::to_string(sent);
                const auto outcome = call(node.machine->front(), "POST", "/" + name + "/a", id, TimeBudgetMs, "{}");
                note(describe(outcome));
                const bool ran = outcome.answer && outcome.answer->status() == 200;
                stale += ran && outcome.answer->body.find("vydej") != std::string::npos ? 1 : 0;
            }
        }
        return stale;
    };
    int stale = 0;
    int kills = 0;
    double confirmedAt = 0;
    while (stale == 0 && kills < MaxKills) {
        ++kills;
        const auto killedAt = now();
        for (const auto &node : nodes) {
            if (hasTrouble() && node.killed) {
                node.machine->signal(SIGKILL);
            }
        }
        sleepUntil(killedAt + 0.05);
        const auto moved = "moved" + std::to_string(kills);
        std::ranges::find(desired.routes, moved, &Route::name)->service = "katalog";
        note(moved + " moves from vydej to katalog");
        write();
        sleepUntil(killedAt + 0.05 + VersionGapS);
        const auto dropped = "dropped" + std::to_string(kills);
        desired.routes.erase(std::ranges::find(desired.routes, dropped, &Route::name));
        note(dropped + " is removed");
        write();
        confirmedAt = now();
        sleepUntil(killedAt + RestartDelayS);
        for (const auto &node : nodes) {
            if (hasTrouble() && node.killed) {
                node.machine->hasEnded();
                node.machine->start();
            }
        }
        sleepUntil(confirmedAt + ConfigApplyS + 0.2);
        stale += countStale(kills);
        sleepUntil(killedAt + BetweenKillsS + KillShiftS * kills);
    }
    double lastStale = 0;
    for (int round = 0; round < WatchRounds && stale > 0; ++round) {
        sleepFor(BetweenWatchesS);
        const auto sentAt = now();
        const int found = countStale(kills);
        lastStale = found > 0 ? sentAt - confirmedAt : lastStale;
        stale += found;
    }
    for (const auto &server : servers) {
        for (const auto &run : server->runs()) {
            note(describe(run));
        }
    }
    finish(stale > 0 ? RuleBroken : RuleHeld,
           "CONFIG: " + std::to_string(stale) + " of " + std::to_string(2 * sent)
               + " requests to machines that were never disturbed ran as only older versions allow, after "
               + std::to_string(kills) + " kills; the last one " + std::to_string(static_cast<int>(lastStale))
               + " s after the newest version was confirmed");
}
