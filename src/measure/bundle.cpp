#include "bundlewatch.h"
#include "harness/fleetsettings.h"
#include "scenario.h"
#include "verbenadock/bundle/record.h"
#include "verbenadock/bundle/signature.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <random>

namespace Verbenadock::Measure {

namespace {

constexpr unsigned Agents = 24;
constexpr unsigned Versions = 24;
// About eight rounds, so that the first versions expire during the run.
constexpr unsigned RetainedRecords = 60;
constexpr Duration OutageLength = std::chrono::seconds(2);
constexpr Duration ReachLimit = std::chrono::seconds(20);
constexpr std::array Names = {"jana", "petr"};

struct Offer
{
    std::string author;
    Bundles::VersionReference reference;
};

/// Rolls versions out one after the other while parts of the platform and of the fleet fail.
class BundleRun
{
public:
    explicit BundleRun(const ScenarioOptions &options)
        : random(options.seed)
        , fleet(options.programDirectory,
                {.services = {{.name = "katalog", .upstreams = 1}}, .vms = Agents, .agentsOnly = true})
    {
        this->fleet.start();
        this->fleet.setLog({{"retain", RetainedRecords}});
        this->watch.emplace(this->fleet);
    }

    Report run()
    {
        for (unsigned version = 1; version <= Versions; ++version) {
            this->runRound(version);
        }
        this->checkEnd();
        Report report;
        std::ranges::sort(this->latencies);
        report.add("agents", Agents);
        report.add("rolled_out", this->rolledOut);
        report.add("in_force_p50_ms", this->quantile(0.5));
        report.add("in_force_p99_ms", this->quantile(0.99));
        report.add("reverts", this->watch->reverts());
        report.add("diverged", this->watch->diverged());
        report.add("lost_bundles", this->lost);
        report.add("unsigned_in_force", this->watch->unapproved());
        report.add("appends_per_s_max", this->watch->appendsPerSecondMax());
        report.add("log_records_expired", this->fleet.logState()["streams"]["configuration"]["first"].get<unsigned>());
        return report;
    }

private:
    void runRound(unsigned version)
    {
        std::vector<Offer> offers;
        offers.reserve(Names.size());
        for (const std::string name : Names) {
            offers.push_back(this->propose(name, version));
        }
        this->ctlAs(1, "sign-off", offers[0].reference);
        this->ctlAs(0, "sign-off", offers[1].reference);
        this->attack(version);
        const auto fault = this->random() % 5;
        if (fault == 0) {
            this->fleet.setLog({{"loseAppendAnswers", 2}});
        } else if (fault == 1) {
            this->restartAgents();
        }
        const auto start = monotonicNow();
        auto other = std::async(std::launch::async, [&] {
            return this->ctlAs(1, "roll-out", offers[1].reference).status;
        });
        const auto first = this->ctlAs(0, "roll-out", offers[0].reference).status;
        const auto second = other.get();
        if (fault == 2 || fault == 3) {
            this->outage(fault == 2 ? "refuse" : "hang");
        }
        this->takeResult(version, start, first, second, offers);
        this->fleet.setLog({{"loseAppendAnswers", 0}});
    }

    void takeResult(unsigned version, TimePoint start, int first, int second, const std::vector<Offer> &offers)
    {
        const unsigned winners = (first == 0 ? 1 : 0) + (second == 0 ? 1 : 0);
        this->rolledOut += winners;
        // Of two versions that both were called accepted, one is lost.
        this->lost += winners > 1 ? 1 : 0;
        if (winners == 0) {
            throw std::runtime_error("version " + std::to_string(version) + " was not accepted: "
                                     + std::to_string(first) + " and " + std::to_string(second));
        }
        this->winner = offers[first == 0 ? 0 : 1].reference.digest;
        const auto deadline = monotonicNow() + ReachLimit;
        while (this->watch->reached(version) < Agents && monotonicNow() < deadline) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        for (const auto &time : this->watch->firstSeen(version)) {
            this->latencies.push_back(toMilliseconds(time.value_or(monotonicNow()) - start));
        }
        this->lost += this->watch->reached(version) < Agents ? 1 : 0;
    }

    void checkEnd()
    {
        const auto deadline = monotonicNow() + ReachLimit;
        while (this->watch->holding(this->winner) < Agents && monotonicNow() < deadline) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        this->lost += this->watch->holding(this->winner) < Agents ? 1 : 0;
    }

    Offer propose(const std::string &name, unsigned version)
    {
        const auto content = this->fleet.bundleText(version) + "# " + name + "\n";
        Offer offer{.author = name,
                    .reference = {.name = Test::BundleName,
                                  .version = version,
                                  .replaces = version - 1,
                                  .digest = Bundles::contentDigest(content)}};
        this->watch->approve(offer.reference.digest);
        this->fleet.ctl(name, {"propose", this->fleet.writeText("bundle-" + name + ".toml", content)});
        return offer;
    }

    Test::CtlAnswer ctlAs(std::size_t name, const std::string &command, const Bundles::VersionReference &reference)
    {
        return this->fleet.tryCtl(
            Names.at(name), {command, reference.name, std::to_string(reference.version), "--digest", reference.digest});
    }

    /// A version that its author alone tries to put in force.
    void attack(unsigned version)
    {
        const auto content = this->fleet.bundleText(version) + "# alone\n";
        const Bundles::VersionReference reference{.name = Test::BundleName,
                                                  .version = version,
                                                  .replaces = version - 1,
                                                  .digest = Bundles::contentDigest(content)};
        const std::string author = Names.front();
        for (const Bundles::Record &record : {Bundles::Record(Bundles::Proposal{reference, content, author, {}}),
                                              Bundles::Record(Bundles::SignOff{reference, author, {}}),
                                              Bundles::Record(Bundles::RollOut{reference, author, {}})}) {
            this->fleet.appendRecord(this->sign(author, record));
        }
    }

    std::string sign(const std::string &name, const Bundles::Record &record) const
    {
        std::ifstream file(this->fleet.operatorKey(name));
        const std::string pem{std::istreambuf_iterator<char>(file), {}};
        const auto key = Bundles::parsePrivateKey(pem);
        return Bundles::encodeRecord(Bundles::withSignature(record, Bundles::sign(key, Bundles::signedText(record))));
    }

    void restartAgents()
    {
        constexpr unsigned Restarts = 4;
        for (unsigned count = 0; count < Restarts; ++count) {
            const auto vm = this->random() % Agents;
            this->fleet.vms[vm].agent->signal(SIGKILL);
            this->fleet.startAgent(vm);
        }
    }

    void outage(const std::string &kind)
    {
        this->fleet.setLog({{"outage", kind}});
        this->restartAgents();
        std::this_thread::sleep_for(OutageLength);
        this->fleet.setLog({{"outage", "none"}});
    }

    double quantile(double part) const
    {
        return this->latencies[static_cast<std::size_t>(part * static_cast<double>(this->latencies.size() - 1))];
    }

    std::mt19937_64 random;
    Test::Fleet fleet;
    std::optional<BundleWatch> watch;
    unsigned rolledOut = 0;
    unsigned lost = 0;
    std::string winner;
    std::vector<double> latencies;
};

} // namespace

Report measureBundle(const ScenarioOptions &options)
{
    return BundleRun(options).run();
}

} // namespace Verbenadock::Measure
