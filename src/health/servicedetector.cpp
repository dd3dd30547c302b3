#include "verbenadock/health/servicedetector.h"

#include "floor.h"
#include "hypotheses.h"
#include "member.h"
#include "recentsamples.h"
#include "siblinglatency.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace Verbenadock::Health {

using Internal::Cusum;
using Internal::HealthyFailureRate;
using Internal::HealthySlowRate;
using Internal::Member;
using Internal::RateHypotheses;
using Internal::SampleKind;
using Internal::Tally;

namespace {

// Multiple of the threshold. A recovered upstream that the floor held is cleared by about 40 successes.
constexpr double EvidenceCeiling = 1.5;
// A cold start is slow too, but gets faster. An upstream that hangs is not waited for.
constexpr Duration SlowPersistence = std::chrono::seconds(2);
constexpr double BadnessWeight = 0.2;
constexpr unsigned TrialSuccessesNeeded = 3;
// With pooled verdicts the others carry on until they are full; a held upstream gets what shows that it has recovered.
constexpr double HeldShare = 0.2;
constexpr double FirstRampShare = 0.25;
constexpr Duration RampTime = std::chrono::seconds(4);
// During the ramp less evidence is enough, since a relapse is likely.
constexpr double RampThresholdShare = 0.6;
// An upstream that stays healthy this long counts as recovered; a new ejection starts with the first wait again.
constexpr Duration RelapseMemory = std::chrono::minutes(2);

} // namespace

struct ServiceDetector::State
{
    DetectorSettings settings;
    std::vector<Member> members;
    std::unordered_map<std::string, std::size_t> positions;
    Internal::RecentSamples recent;
    Internal::SiblingLatency siblingLatency;
    std::uint32_t nextNumber = 0;

    Member *find(const std::string &id);
    const Member *find(const std::string &id) const;
    void setMembers(std::vector<UpstreamCapacity> upstreams);
    double threshold(const Member &member) const;
    Duration wait(const Member &member) const;
    bool isSlow(const Member &member, const Sample &sample);
    void judge(Member &member, const Sample &sample, bool slow);
    void judgeTrial(Member &member, bool bad, TimePoint at);
    bool alarmed(const Member &member, TimePoint now) const;
    bool confirmed(const Member &member, const Cusum &sum, SampleKind kind) const;
    bool cleared(const Member &member) const;
    void markSick(Member &member, TimePoint now) const;
    void startTrial(Member &member, TimePoint now) const;
    void startRamp(Member &member, TimePoint now) const;
    void recover(Member &member, TimePoint now) const;
    void advance(Member &member, TimePoint now) const;
};

Member *ServiceDetector::State::find(const std::string &id)
{
    return const_cast<Member *>(std::as_const(*this).find(id));
}

const Member *ServiceDetector::State::find(const std::string &id) const
{
    const auto position = this->positions.find(id);
    return position == this->positions.end() ? nullptr : &this->members[position->second];
}

void ServiceDetector::State::setMembers(std::vector<UpstreamCapacity> upstreams)
{
    std::vector<Member> next;
    std::unordered_map<std::string, std::size_t> nextPositions;
    for (UpstreamCapacity &upstream : upstreams) {
        const Member *known = this->find(upstream.id);
        Member member = known != nullptr ? *known : Member{.number = this->nextNumber++, .id = upstream.id};
        member.slots = upstream.slots;
        nextPositions.emplace(upstream.id, next.size());
        next.push_back(std::move(member));
    }
    this->members = std::move(next);
    this->positions = std::move(nextPositions);
    this->siblingLatency.invalidate();
}

double ServiceDetector::State::threshold(const Member &member) const
{
    const double full = std::log(std::max(this->settings.samplesBetweenFalseAlarms, 2.0));
    return member.state == HealthState::Ramp ? full * RampThresholdShare : full;
}

Duration ServiceDetector::State::wait(const Member &member) const
{
    Duration wait = this->settings.firstEjection;
    for (unsigned i = 0; i < member.relapses && wait < this->settings.longestEjection; ++i) {
        wait *= 2;
    }
    return std::min(wait, this->settings.longestEjection);
}

bool ServiceDetector::State::isSlow(const Member &member, const Sample &sample)
{
    if (sample.cause != Cause::Success) {
        return false;
    }
    const auto position = static_cast<std::size_t>(&member - this->members.data());
    const auto reference = this->siblingLatency.reference(this->members, position);
    return reference
           && static_cast<double>(sample.latency.count())
                  > this->settings.slowFactor * static_cast<double>(reference->count());
}

void ServiceDetector::State::judge(Member &member, const Sample &sample, bool slow)
{
    const bool failed = isFailure(sample.cause);
    const double ceiling = std::log(std::max(this->settings.samplesBetweenFalseAlarms, 2.0)) * EvidenceCeiling;
    member.failures.add(
        failed, Internal::failureRates(HealthyFailureRate, this->settings.failureRate), ceiling, sample.at);
    if (!failed) {
        member.slowness.add(slow, Internal::slowRates(HealthySlowRate), ceiling, sample.at);
    }
    if (member.slowness.evidence() == 0) {
        member.overdueInRun = 0;
    }
    if (sample.cause == Cause::Success) {
        member.typicalLatency.add(sample.latency);
    }
    const double bad = failed || slow ? 1 : 0;
    member.badness += BadnessWeight * (bad - member.badness);
    if (failed) {
        member.lastFailure = sample.cause;
    }
}

void ServiceDetector::State::judgeTrial(Member &member, bool bad, TimePoint at)
{
    if (bad) {
        ++member.relapses;
        this->markSick(member, at);
        return;
    }
    ++member.trialSuccesses;
    if (member.trialSuccesses >= TrialSuccessesNeeded && !member.pooledSick) {
        this->startRamp(member, at);
    }
}

bool ServiceDetector::State::confirmed(const Member &member, const Cusum &sum, SampleKind kind) const
{
    if (sum.evidence() < this->threshold(member)) {
        return false;
    }
    // The sum was built with the rate of a healthy upstream. The run is judged again with the siblings' rate over the
    // same time, so that a failure that all share ejects nobody.
    const Tally siblings = this->recent.siblings(member.number, sum.runStart(), kind);
    const RateHypotheses rates
        = kind == SampleKind::Failed
              ? Internal::failureRates(Internal::smoothedRate(siblings, HealthyFailureRate), this->settings.failureRate)
              : Internal::slowRates(Internal::smoothedRate(siblings, HealthySlowRate));
    return Internal::logLikelihoodRatio(rates, sum.badInRun(), sum.goodInRun()) >= this->threshold(member);
}

bool ServiceDetector::State::alarmed(const Member &member, TimePoint now) const
{
    const bool ripe
        = 2 * member.overdueInRun >= member.slowness.badInRun() || now - member.slowness.runStart() >= SlowPersistence;
    return member.pooledSick || this->confirmed(member, member.failures, SampleKind::Failed)
           || (ripe && this->confirmed(member, member.slowness, SampleKind::Slow));
}

bool ServiceDetector::State::cleared(const Member &member) const
{
    return !member.pooledSick && member.failures.evidence() == 0 && member.slowness.evidence() == 0;
}

void ServiceDetector::State::markSick(Member &member, TimePoint now) const
{
    member.state = HealthState::Ejected;
    member.since = now;
    member.deadline = now + this->wait(member);
}

void ServiceDetector::State::startTrial(Member &member, TimePoint now) const
{
    member.state = HealthState::Trial;
    member.since = now;
    member.deadline = now + this->settings.trialPatience * this->wait(member);
    member.trialSuccesses = 0;
}

void ServiceDetector::State::startRamp(Member &member, TimePoint now) const
{
    member.state = HealthState::Ramp;
    member.since = now;
    member.deadline = now + RampTime;
    member.failures.reset();
    member.slowness.reset();
    member.overdueInRun = 0;
    member.badness = 0;
}

void ServiceDetector::State::recover(Member &member, TimePoint now) const
{
    member.state = HealthState::Healthy;
    member.since = now;
    member.failures.reset();
    member.slowness.reset();
    member.overdueInRun = 0;
    member.badness = 0;
}

void ServiceDetector::State::advance(Member &member, TimePoint now) const
{
    switch (member.state) {
    case HealthState::Healthy:
        if (member.relapses > 0 && now - member.since >= RelapseMemory) {
            member.relapses = 0;
        }
        if (this->alarmed(member, now)) {
            this->markSick(member, now);
        }
        break;
    case HealthState::Ejected:
        if (now >= member.deadline && !member.pooledSick) {
            this->startTrial(member, now);
        }
        break;
    case HealthState::Trial:
        // The collectors count relapses of their own, and an entry's trial has not failed because others did.
        if (member.pooledSick) {
            this->markSick(member, now);
        } else if (now >= member.deadline) {
            this->startRamp(member, now);
        }
        break;
    case HealthState::Ramp:
        if (this->alarmed(member, now)) {
            member.relapses += member.pooledSick ? 0 : 1;
            this->markSick(member, now);
        } else if (now >= member.deadline) {
            member.state = HealthState::Healthy;
            member.since = now;
        }
        break;
    case HealthState::HeldByFloor:
        if (this->cleared(member)) {
            member.state = HealthState::Healthy;
            member.since = now;
        }
        break;
    }
}

ServiceDetector::ServiceDetector(DetectorSettings settings, std::vector<UpstreamCapacity> upstreams)
    : state(std::make_unique<State>())
{
    this->reconfigure(settings, std::move(upstreams));
}

ServiceDetector::~ServiceDetector() = default;
ServiceDetector::ServiceDetector(ServiceDetector &&) noexcept = default;
ServiceDetector &ServiceDetector::operator=(ServiceDetector &&) noexcept = default;

void ServiceDetector::reconfigure(DetectorSettings settings, std::vector<UpstreamCapacity> upstreams)
{
    this->state->settings = settings;
    this->state->setMembers(std::move(upstreams));
}

void ServiceDetector::record(const std::string &upstream, const Sample &sample)
{
    Member *member = this->state->find(upstream);
    if (member == nullptr || !isEvidence(sample.cause) || member->state == HealthState::Ejected) {
        // Answers after an ejection belong to requests sent before it.
        return;
    }
    const bool slow = this->state->isSlow(*member, sample);
    const bool failed = isFailure(sample.cause);
    if (member->state == HealthState::Trial) {
        this->state->judgeTrial(*member, failed || slow, sample.at);
        return;
    }
    this->state->recent.add({.at = sample.at, .member = member->number, .failed = failed, .slow = slow});
    this->state->judge(*member, sample, slow);
}

void ServiceDetector::recordOverdue(const std::string &upstream, TimePoint now)
{
    Member *member = this->state->find(upstream);
    if (member == nullptr || member->state == HealthState::Ejected) {
        return;
    }
    if (member->state == HealthState::Trial) {
        this->state->judgeTrial(*member, true, now);
        return;
    }
    this->state->recent.add({.at = now, .member = member->number, .failed = false, .slow = true});
    this->state->judge(*member, {.at = now, .cause = Cause::Cancelled}, true);
    ++member->overdueInRun;
}

void ServiceDetector::setLeaving(const std::vector<std::string> &upstreams)
{
    for (Member &member : this->state->members) {
        member.leaving = std::find(upstreams.begin(), upstreams.end(), member.id) != upstreams.end();
    }
    this->state->siblingLatency.invalidate();
}

void ServiceDetector::applyPooled(const std::vector<PooledVerdict> &verdicts, TimePoint now)
{
    for (const PooledVerdict &verdict : verdicts) {
        Member *member = this->state->find(verdict.upstream);
        if (member == nullptr || (member->pooledSick == verdict.sick && member->pooledShare == verdict.share)) {
            continue;
        }
        const bool recovers = member->pooledSick && !verdict.sick;
        member->pooledSick = verdict.sick;
        member->pooledShare = verdict.share;
        if (recovers && this->state->settings.poolDecides) {
            this->state->recover(*member, now);
        } else if (recovers && member->state == HealthState::Ejected) {
            this->state->startTrial(*member, now);
        }
    }
}

std::vector<HealthTransition> ServiceDetector::evaluate(TimePoint now)
{
    for (Member &member : this->state->members) {
        this->state->advance(member, now);
    }
    Internal::applyFloor(this->state->members, this->state->settings.floorPercent);

    // A stage may also have changed in record(), recordOverdue() or applyPooled() since the last call.
    std::vector<HealthTransition> changes;
    for (Member &member : this->state->members) {
        const HealthState before = std::exchange(member.reported, member.state);
        if (member.state == before) {
            continue;
        }
        if (member.state == HealthState::Ejected && before == HealthState::HeldByFloor) {
            this->state->markSick(member, now);
        }
        changes.push_back({.upstream = member.id, .from = before, .to = member.state, .cause = member.lastFailure});
    }
    if (!changes.empty()) {
        this->state->siblingLatency.invalidate();
    }
    return changes;
}

std::optional<TimePoint> ServiceDetector::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const Member &member : this->state->members) {
        const bool waitsForTime = member.state == HealthState::Trial || member.state == HealthState::Ramp
                                  || (member.state == HealthState::Ejected && !member.pooledSick);
        if (waitsForTime && (!next || member.deadline < *next)) {
            next = member.deadline;
        }
    }
    return next;
}

Admission ServiceDetector::admission(const std::string &upstream, TimePoint now) const
{
    const Member *member = this->state->find(upstream);
    if (member == nullptr || member->leaving) {
        return {.allowed = false, .share = 0};
    }
    switch (member->state) {
    case HealthState::Healthy:
        return {.trialOnly = member->pooledTrial(), .share = member->pooledShare};
    case HealthState::HeldByFloor:
        return {.share = this->state->settings.poolDecides ? HeldShare : 1};
    case HealthState::Ejected:
        return {.allowed = false, .share = 0, .lastResort = true};
    case HealthState::Trial:
        return {.allowed = true, .trialOnly = true, .share = 0};
    case HealthState::Ramp:
        break;
    }
    const double progress = toMilliseconds(now - member->since) / toMilliseconds(RampTime);
    return {.share = std::clamp(FirstRampShare + (1 - FirstRampShare) * progress, FirstRampShare, 1.0)};
}

std::vector<UpstreamReport> ServiceDetector::report(TimePoint now) const
{
    std::vector<UpstreamReport> reports;
    reports.reserve(this->state->members.size());
    for (const Member &member : this->state->members) {
        reports.push_back({.upstream = member.id,
                           .state = member.state,
                           .evidence = std::max(member.failures.evidence(), member.slowness.evidence()),
                           .threshold = this->state->threshold(member),
                           .age = member.since == TimePoint{} ? Duration{0} : now - member.since,
                           .relapses = member.relapses});
    }
    return reports;
}

} // namespace Verbenadock::Health
