#include "verbenadock/health/servicedetector.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <rapidcheck/catch.h>

using namespace Verbenadock;
using namespace Verbenadock::Health;
using namespace std::chrono_literals;

namespace {

/// A detector on virtual time; by default with ten upstreams of four slots that get requests in turn.
class DetectorFixture
{
public:
    using Outcome = std::function<Sample(unsigned upstream, TimePoint at)>;

    explicit DetectorFixture(DetectorSettings settings = {}, unsigned upstreams = 10, unsigned slots = 4)
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

    /// Records one request per round and admitted upstream, with 100 ms between rounds; returns the number of rounds
    /// until `until` holds.
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

DetectorFixture::Outcome failing(unsigned failingUpstream)
{
    return [failingUpstream](unsigned upstream, TimePoint at) {
        return upstream == failingUpstream ? failure(at) : success(at);
    };
}

Sample healthyOutcome(unsigned, TimePoint at)
{
    return success(at);
}

} // namespace

// Guards against later detection, as with a rule of five consecutive errors: three failures among healthy siblings
// suffice.
TEST_CASE("an upstream that fails all requests is ejected after three samples")
{
    DetectorFixture fixture;
    fixture.run(10, healthyOutcome);
    const unsigned rounds = fixture.run(10, failing(3), [&] {
        return fixture.state(3) == HealthState::Ejected;
    });
    CHECK(rounds == 3);
    CHECK(fixture.countIn(HealthState::Healthy) == 9);
    CHECK_FALSE(fixture.detector.admission("u3", fixture.now).allowed);
}

TEST_CASE("an upstream that fails 30% of its requests is ejected")
{
    DetectorFixture fixture;
    std::mt19937 random(7);
    std::bernoulli_distribution fails(0.3);
    const unsigned rounds = fixture.run(
        200,
        [&](unsigned upstream, TimePoint at) {
            return upstream == 2 && fails(random) ? failure(at) : success(at);
        },
        [&] {
            return fixture.state(2) == HealthState::Ejected;
        });
    CHECK(rounds < 60);
    CHECK(fixture.state(2) == HealthState::Ejected);
}

TEST_CASE("an upstream three times slower than its siblings is ejected")
{
    DetectorFixture fixture;
    fixture.run(10, healthyOutcome);
    const unsigned rounds = fixture.run(
        50,
        [](unsigned upstream, TimePoint at) {
            return success(at, upstream == 5 ? 60ms : 20ms);
        },
        [&] {
            return fixture.state(5) == HealthState::Ejected;
        });
    CHECK(rounds > 20);
    CHECK(rounds <= 25);
    CHECK(fixture.state(5) == HealthState::Ejected);
}

// Guards against the ejection of an upstream whose answers get faster after its start.
TEST_CASE("an upstream in a cold start is not ejected")
{
    DetectorFixture fixture;
    fixture.run(10, healthyOutcome);
    const TimePoint start = fixture.now;
    fixture.run(50, [start](unsigned upstream, TimePoint at) {
        const auto penalty = std::max(Duration(0), Duration(40ms) - (at - start) * 40 / 1500);
        return success(at, upstream == 5 ? 20ms + penalty : Duration(20ms));
    });
    CHECK(fixture.state(5) == HealthState::Healthy);
}

// Guards against a delayed ejection of a hanging upstream, as for a cold start.
TEST_CASE("an upstream with five overdue requests is ejected at once")
{
    DetectorFixture fixture;
    fixture.run(10, healthyOutcome);
    for (unsigned request = 0; request < 5; ++request) {
        fixture.detector.recordOverdue("u5", fixture.now);
    }
    fixture.detector.evaluate(fixture.now);
    CHECK(fixture.state(5) == HealthState::Ejected);
}

// Guards against the ejection of healthy upstreams when a shared dependency or the entry's network path fails.
TEST_CASE("failures or slowness of all upstreams eject none of them")
{
    DetectorFixture fixture;
    fixture.run(20, healthyOutcome);
    const bool slow = GENERATE(false, true);
    fixture.run(100, [slow](unsigned, TimePoint at) {
        return slow ? success(at, 100ms) : failure(at, Cause::Timeout);
    });
    CHECK(fixture.countIn(HealthState::Healthy) == 10);
}

TEST_CASE("shed requests, stale connections and cancelled requests are not evidence")
{
    DetectorFixture fixture;
    const Cause cause = GENERATE(Cause::Shed, Cause::StaleConnection, Cause::Cancelled);
    fixture.run(100, [cause](unsigned upstream, TimePoint at) {
        return upstream == 1 ? failure(at, cause) : success(at);
    });
    CHECK(fixture.state(1) == HealthState::Healthy);
}

TEST_CASE("the floor holds the upstream with the fewest failures in use")
{
    DetectorFixture fixture({.floorPercent = 70});
    fixture.run(10, healthyOutcome);
    // Four of ten upstreams fail, u0 least often. Only three may be ejected.
    unsigned requestsToFirst = 0;
    fixture.run(15, [&](unsigned upstream, TimePoint at) {
        const bool fails = upstream == 0 ? ++requestsToFirst % 2 == 0 : upstream < 4;
        return fails ? failure(at) : success(at);
    });
    CHECK(fixture.countIn(HealthState::Ejected) == 3);
    CHECK(fixture.state(0) == HealthState::HeldByFloor);
    CHECK(fixture.detector.admission("u0", fixture.now).allowed);
}

// Guards against a floor that is checked only at the time of an ejection.
TEST_CASE("an ejected upstream is held by the floor when leaving upstreams reduce the capacity")
{
    DetectorFixture fixture({.floorPercent = 80});
    fixture.run(10, healthyOutcome);
    fixture.run(5, failing(3));
    REQUIRE(fixture.state(3) == HealthState::Ejected);
    fixture.detector.setLeaving({"u7", "u8"});
    fixture.detector.evaluate(fixture.now);
    CHECK(fixture.state(3) == HealthState::HeldByFloor);
}

TEST_CASE("a recovered upstream passes trials and a slow start")
{
    DetectorFixture fixture;
    fixture.run(10, healthyOutcome);
    fixture.run(5, failing(3));
    REQUIRE(fixture.state(3) == HealthState::Ejected);

    fixture.run(100, healthyOutcome, [&] {
        return fixture.state(3) == HealthState::Trial;
    });
    CHECK(fixture.detector.admission("u3", fixture.now).trialOnly);
    fixture.run(100, healthyOutcome, [&] {
        return fixture.state(3) == HealthState::SlowStart;
    });
    CHECK(fixture.detector.admission("u3", fixture.now).share < 0.5);
    fixture.run(100, healthyOutcome, [&] {
        return fixture.state(3) == HealthState::Healthy;
    });
    CHECK(fixture.detector.admission("u3", fixture.now).share == 1);
}

TEST_CASE("the ejection time doubles after each relapse")
{
    DetectorFixture fixture;
    fixture.run(10, healthyOutcome);
    std::vector<TimePoint> failures;
    fixture.run(400, [&](unsigned upstream, TimePoint at) {
        if (upstream != 3) {
            return success(at);
        }
        failures.push_back(at);
        return failure(at);
    });
    // Three failures lead to the ejection; each further failure is a trial.
    REQUIRE(failures.size() >= 6);
    CHECK(failures[3] - failures[2] >= 2s);
    CHECK(failures[4] - failures[3] >= 4s);
    CHECK(failures[5] - failures[4] >= 8s);
}

TEST_CASE("a pooled verdict ejects an upstream without local samples")
{
    DetectorFixture fixture;
    fixture.detector.applyPooled({{.upstream = "u4", .sick = true}}, fixture.now);
    const auto changes = fixture.detector.evaluate(fixture.now);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().upstream == "u4");
    CHECK(changes.front().to == HealthState::Ejected);
    fixture.detector.applyPooled({{.upstream = "u4", .sick = false}}, fixture.now);
    CHECK(fixture.state(4) == HealthState::Trial);
}

// Guards against an ejection time that doubles at an entry whose own trials have not failed.
TEST_CASE("a pooled verdict during a trial does not count as a relapse")
{
    DetectorFixture fixture;
    fixture.run(10, healthyOutcome);
    fixture.run(5, failing(3));
    fixture.run(100, healthyOutcome, [&] {
        return fixture.state(3) == HealthState::Trial;
    });
    fixture.detector.applyPooled({{.upstream = "u3", .sick = true}}, fixture.now);
    fixture.run(5, healthyOutcome);
    CHECK(fixture.state(3) == HealthState::Ejected);
    fixture.detector.applyPooled({{.upstream = "u3", .sick = false}}, fixture.now);
    CHECK(fixture.state(3) == HealthState::Trial);
    CHECK(fixture.detector.report(fixture.now).at(3).relapses == 0);
}

// Guards against transitions that happen while an outcome is recorded and are missing from the reported ones.
TEST_CASE("each reported transition starts from the state of the previous one")
{
    ServiceDetector detector({}, DetectorFixture::capacities(10, 4));
    std::vector<HealthTransition> changes;
    TimePoint now{1s};
    for (unsigned round = 0; round < 200; ++round, now += 100ms) {
        for (unsigned i = 0; i < 10; ++i) {
            if (detector.admission(DetectorFixture::id(i), now).allowed) {
                const bool fails = i == 3 && round > 10 && round < 40;
                detector.record(DetectorFixture::id(i), fails ? failure(now) : success(now));
            }
        }
        const auto transitions = detector.evaluate(now);
        changes.insert(changes.end(), transitions.begin(), transitions.end());
    }
    std::vector<HealthState> states;
    for (const HealthTransition &change : changes) {
        CHECK(change.from == (states.empty() ? HealthState::Healthy : states.back()));
        states.push_back(change.to);
    }
    using enum HealthState;
    CHECK(states == std::vector<HealthState>{Ejected, Trial, Ejected, Trial, SlowStart, Healthy});
}

TEST_CASE("a withdrawn pooled verdict is reported as a transition to a trial")
{
    DetectorFixture fixture;
    fixture.detector.applyPooled({{.upstream = "u4", .sick = true}}, fixture.now);
    fixture.detector.evaluate(fixture.now);
    fixture.detector.applyPooled({{.upstream = "u4", .sick = false}}, fixture.now);
    const auto changes = fixture.detector.evaluate(fixture.now);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().from == HealthState::Ejected);
    CHECK(changes.front().to == HealthState::Trial);
}

// Guards against a report with the age of the clock for upstreams that never changed their state.
TEST_CASE("the age of a state counts from its last change and is zero before the first one")
{
    DetectorFixture fixture;
    fixture.run(10, healthyOutcome);
    CHECK(fixture.detector.report(fixture.now).at(0).age == Duration{0});
    fixture.run(5, failing(3));
    REQUIRE(fixture.state(3) == HealthState::Ejected);
    const auto age = fixture.detector.report(fixture.now).at(3).age;
    CHECK(age > 0s);
    CHECK(age < 1s);
}

TEST_CASE("ejection keeps the slots in use at or above the floor for any sequence of outcomes")
{
    rc::prop("slots in use stay at or above the floor", [] {
        const unsigned count = *rc::gen::inRange(1U, 12U);
        const double floorPercent = *rc::gen::inRange(0, 101);
        DetectorFixture fixture({.floorPercent = floorPercent}, count, 2);
        const auto outcomes = *rc::gen::container<std::vector<unsigned>>(300, rc::gen::inRange(0U, 6U));
        for (std::size_t i = 0; i < outcomes.size(); ++i) {
            const std::string id = DetectorFixture::id(static_cast<unsigned>(i) % count);
            fixture.detector.record(id, outcomes[i] < 4 ? failure(fixture.now) : success(fixture.now));
            fixture.detector.evaluate(fixture.now);
            fixture.now += 50ms;
            unsigned inUse = 0;
            for (const UpstreamReport &report : fixture.detector.report(fixture.now)) {
                const bool out = report.state == HealthState::Ejected || report.state == HealthState::Trial;
                inUse += out ? 0 : 2;
            }
            RC_ASSERT(inUse >= 2 * count * floorPercent / 100);
        }
    });
}
