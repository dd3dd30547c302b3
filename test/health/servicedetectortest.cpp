#include "verbenadock/health/servicedetector.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <rapidcheck/catch.h>

using namespace Verbenadock;
using namespace Verbenadock::Health;
using namespace std::chrono_literals;

namespace {

/// Ten upstreams of four slots that get requests in turn, on virtual time.
class Bench
{
public:
    using Outcome = std::function<Sample(unsigned upstream, TimePoint at)>;

    explicit Bench(DetectorSettings settings = {}, unsigned upstreams = 10, unsigned slots = 4)
        : detector(settings, capacities(upstreams, slots))
        , count(upstreams)
    {
    }

    static std::vector<UpstreamCapacity> capacities(unsigned upstreams, unsigned slots)
    {
        std::vector<UpstreamCapacity> result;
        for (unsigned i = 0; i < upstreams; ++i) {
            result.push_back({.id = id(i), .slots = slots});
        }
        return result;
    }

    static std::string id(unsigned number)
    {
        return "u" + std::to_string(number);
    }

    /// One request to every upstream that is admitted, 100 ms apart; returns the rounds until `until` holds.
    unsigned run(unsigned rounds, const Outcome &outcome, const std::function<bool()> &until = nullptr)
    {
        for (unsigned round = 0; round < rounds; ++round) {
            for (unsigned i = 0; i < this->count; ++i) {
                if (this->detector.admission(id(i), this->now).allowed) {
                    this->detector.record(id(i), outcome(i, this->now));
                }
                this->detector.evaluate(this->now);
            }
            this->now += 100ms;
            if (until && until()) {
                return round + 1;
            }
        }
        return rounds;
    }

    HealthState state(unsigned number)
    {
        return this->detector.report(this->now).at(number).state;
    }

    unsigned countIn(HealthState wanted)
    {
        unsigned result = 0;
        for (const UpstreamReport &report : this->detector.report(this->now)) {
            result += report.state == wanted ? 1 : 0;
        }
        return result;
    }

    ServiceDetector detector;
    unsigned count;
    TimePoint now{1s};
};

Sample success(TimePoint at, Duration latency = 20ms)
{
    return {.at = at, .cause = Cause::Success, .latency = latency};
}

Sample failure(TimePoint at, Cause cause = Cause::ServerError)
{
    return {.at = at, .cause = cause};
}

Bench::Outcome failing(unsigned sick)
{
    return [sick](unsigned upstream, TimePoint at) {
        return upstream == sick ? failure(at) : success(at);
    };
}

Sample healthyOutcome(unsigned, TimePoint at)
{
    return success(at);
}

} // namespace

// Guards against the usual rule of five consecutive errors creeping in: three failures among healthy siblings do.
TEST_CASE("an upstream that fails all work is ejected after three samples")
{
    Bench bench;
    bench.run(10, healthyOutcome);
    const unsigned rounds = bench.run(10, failing(3), [&] {
        return bench.state(3) == HealthState::Ejected;
    });
    CHECK(rounds == 3);
    CHECK(bench.countIn(HealthState::Healthy) == 9);
    CHECK_FALSE(bench.detector.admission("u3", bench.now).allowed);
}

TEST_CASE("an upstream that fails a third of its work is ejected although it succeeds in between")
{
    Bench bench;
    std::mt19937 random(7);
    std::bernoulli_distribution fails(0.3);
    const unsigned rounds = bench.run(
        200,
        [&](unsigned upstream, TimePoint at) {
            return upstream == 2 && fails(random) ? failure(at) : success(at);
        },
        [&] {
            return bench.state(2) == HealthState::Ejected;
        });
    CHECK(rounds < 60);
    CHECK(bench.state(2) == HealthState::Ejected);
}

TEST_CASE("an upstream three times slower than its siblings is ejected")
{
    Bench bench;
    bench.run(10, healthyOutcome);
    const unsigned rounds = bench.run(
        50,
        [](unsigned upstream, TimePoint at) {
            return success(at, upstream == 5 ? 60ms : 20ms);
        },
        [&] {
            return bench.state(5) == HealthState::Ejected;
        });
    CHECK(rounds > 20);
    CHECK(rounds <= 25);
    CHECK(bench.state(5) == HealthState::Ejected);
}

// Guards against the loss of an upstream that has just started and gets faster with each answer.
TEST_CASE("an upstream that starts cold keeps its work")
{
    Bench bench;
    bench.run(10, healthyOutcome);
    const TimePoint start = bench.now;
    bench.run(50, [start](unsigned upstream, TimePoint at) {
        const auto penalty = std::max(Duration(0), Duration(40ms) - (at - start) * 40 / 1500);
        return success(at, upstream == 5 ? 20ms + penalty : Duration(20ms));
    });
    CHECK(bench.state(5) == HealthState::Healthy);
}

// Guards against a hanging upstream that is given the time of a cold start.
TEST_CASE("an upstream whose requests wait in vain is ejected at once")
{
    Bench bench;
    bench.run(10, healthyOutcome);
    for (unsigned request = 0; request < 5; ++request) {
        bench.detector.recordOverdue("u5", bench.now);
    }
    bench.detector.evaluate(bench.now);
    CHECK(bench.state(5) == HealthState::Ejected);
}

// Guards against an entry that ejects good upstreams because their common dependency, or its own path, fails.
TEST_CASE("a failure or slowness that all upstreams share ejects nobody")
{
    Bench bench;
    bench.run(20, healthyOutcome);
    const bool slow = GENERATE(false, true);
    bench.run(100, [slow](unsigned, TimePoint at) {
        return slow ? success(at, 100ms) : failure(at, Cause::Timeout);
    });
    CHECK(bench.countIn(HealthState::Healthy) == 10);
}

TEST_CASE("shed load, silent connections and cancelled requests are no evidence")
{
    Bench bench;
    const Cause cause = GENERATE(Cause::Shed, Cause::StaleConnection, Cause::Cancelled);
    bench.run(100, [cause](unsigned upstream, TimePoint at) {
        return upstream == 1 ? failure(at, cause) : success(at);
    });
    CHECK(bench.state(1) == HealthState::Healthy);
}

TEST_CASE("the floor holds the least sick upstreams in use")
{
    Bench bench({.floorPercent = 70});
    bench.run(10, healthyOutcome);
    // Four of ten fail; u0 fails least. Only three may be ejected.
    unsigned asked = 0;
    bench.run(15, [&](unsigned upstream, TimePoint at) {
        const bool fails = upstream == 0 ? ++asked % 2 == 0 : upstream < 4;
        return fails ? failure(at) : success(at);
    });
    CHECK(bench.countIn(HealthState::Ejected) == 3);
    CHECK(bench.state(0) == HealthState::HeldByFloor);
    CHECK(bench.detector.admission("u0", bench.now).allowed);
}

// Guards against a floor that is checked only at the moment of an ejection.
TEST_CASE("an ejected upstream returns when others leave and the floor would be broken")
{
    Bench bench({.floorPercent = 80});
    bench.run(10, healthyOutcome);
    bench.run(5, failing(3));
    REQUIRE(bench.state(3) == HealthState::Ejected);
    bench.detector.setLeaving({"u7", "u8"});
    bench.detector.evaluate(bench.now);
    CHECK(bench.state(3) == HealthState::HeldByFloor);
}

TEST_CASE("a recovered upstream returns over trials and a ramp")
{
    Bench bench;
    bench.run(10, healthyOutcome);
    bench.run(5, failing(3));
    REQUIRE(bench.state(3) == HealthState::Ejected);

    bench.run(100, healthyOutcome, [&] {
        return bench.state(3) == HealthState::Trial;
    });
    CHECK(bench.detector.admission("u3", bench.now).trialOnly);
    bench.run(100, healthyOutcome, [&] {
        return bench.state(3) == HealthState::SlowStart;
    });
    CHECK(bench.detector.admission("u3", bench.now).share < 0.5);
    bench.run(100, healthyOutcome, [&] {
        return bench.state(3) == HealthState::Healthy;
    });
    CHECK(bench.detector.admission("u3", bench.now).share == 1);
}

TEST_CASE("a flapping upstream waits longer after each relapse")
{
    Bench bench;
    bench.run(10, healthyOutcome);
    std::vector<TimePoint> failures;
    bench.run(400, [&](unsigned upstream, TimePoint at) {
        if (upstream != 3) {
            return success(at);
        }
        failures.push_back(at);
        return failure(at);
    });
    // Three failures lead to the ejection; each further one is a trial.
    REQUIRE(failures.size() >= 6);
    CHECK(failures[3] - failures[2] >= 2s);
    CHECK(failures[4] - failures[3] >= 4s);
    CHECK(failures[5] - failures[4] >= 8s);
}

TEST_CASE("a verdict on pooled evidence ejects an upstream that this entry has not used")
{
    Bench bench;
    bench.detector.applyPooled({{.upstream = "u4", .sick = true}}, bench.now);
    const auto changes = bench.detector.evaluate(bench.now);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().upstream == "u4");
    CHECK(changes.front().to == HealthState::Ejected);
    bench.detector.applyPooled({{.upstream = "u4", .sick = false}}, bench.now);
    CHECK(bench.state(4) == HealthState::Trial);
}

// Guards against waits that double at every entry although its own trials succeeded.
TEST_CASE("a verdict on pooled evidence ends a trial without counting as a relapse")
{
    Bench bench;
    bench.run(10, healthyOutcome);
    bench.run(5, failing(3));
    bench.run(100, healthyOutcome, [&] {
        return bench.state(3) == HealthState::Trial;
    });
    bench.detector.applyPooled({{.upstream = "u3", .sick = true}}, bench.now);
    bench.run(5, healthyOutcome);
    CHECK(bench.state(3) == HealthState::Ejected);
    bench.detector.applyPooled({{.upstream = "u3", .sick = false}}, bench.now);
    CHECK(bench.state(3) == HealthState::Trial);
    CHECK(bench.detector.report(bench.now).at(3).relapses == 0);
}

// Guards against stages that change while an outcome is recorded and are then missing from the reported changes.
TEST_CASE("the reported changes of a relapse and of a recovery form an unbroken chain")
{
    ServiceDetector detector({}, Bench::capacities(10, 4));
    std::vector<HealthTransition> changes;
    TimePoint now{1s};
    for (unsigned round = 0; round < 200; ++round, now += 100ms) {
        for (unsigned i = 0; i < 10; ++i) {
            if (detector.admission(Bench::id(i), now).allowed) {
                const bool fails = i == 3 && round > 10 && round < 40;
                detector.record(Bench::id(i), fails ? failure(now) : success(now));
            }
        }
        const auto found = detector.evaluate(now);
        changes.insert(changes.end(), found.begin(), found.end());
    }
    std::vector<HealthState> stages;
    for (const HealthTransition &change : changes) {
        CHECK(change.from == (stages.empty() ? HealthState::Healthy : stages.back()));
        stages.push_back(change.to);
    }
    using enum HealthState;
    CHECK(stages == std::vector<HealthState>{Ejected, Trial, Ejected, Trial, SlowStart, Healthy});
}

TEST_CASE("a withdrawn verdict on pooled evidence is reported as the start of a trial")
{
    Bench bench;
    bench.detector.applyPooled({{.upstream = "u4", .sick = true}}, bench.now);
    bench.detector.evaluate(bench.now);
    bench.detector.applyPooled({{.upstream = "u4", .sick = false}}, bench.now);
    const auto changes = bench.detector.evaluate(bench.now);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().from == HealthState::Ejected);
    CHECK(changes.front().to == HealthState::Trial);
}

// Guards against a dump that shows the age of the clock for upstreams that never changed their stage.
TEST_CASE("the age of a stage counts from its last change")
{
    Bench bench;
    bench.run(10, healthyOutcome);
    CHECK(bench.detector.report(bench.now).at(0).age == Duration{0});
    bench.run(5, failing(3));
    REQUIRE(bench.state(3) == HealthState::Ejected);
    const auto age = bench.detector.report(bench.now).at(3).age;
    CHECK(age > 0s);
    CHECK(age < 1s);
}

TEST_CASE("no order of outcomes takes the slots in use below the floor")
{
    rc::prop("slots in use stay at or above the floor", [] {
        const unsigned count = *rc::gen::inRange(1U, 12U);
        const double floorPercent = *rc::gen::inRange(0, 101);
        Bench bench({.floorPercent = floorPercent}, count, 2);
        const auto outcomes = *rc::gen::container<std::vector<unsigned>>(300, rc::gen::inRange(0U, 6U));
        for (std::size_t i = 0; i < outcomes.size(); ++i) {
            const std::string id = Bench::id(static_cast<unsigned>(i) % count);
            bench.detector.record(id, outcomes[i] < 4 ? failure(bench.now) : success(bench.now));
            bench.detector.evaluate(bench.now);
            bench.now += 50ms;
            unsigned inUse = 0;
            for (const UpstreamReport &report : bench.detector.report(bench.now)) {
                const bool out = report.state == HealthState::Ejected || report.state == HealthState::Trial;
                inUse += out ? 0 : 2;
            }
            RC_ASSERT(inUse >= 2 * count * floorPercent / 100);
        }
    });
}
