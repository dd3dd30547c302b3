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

// Multiple of the alarm threshold. Bounds the successes that clear a recovered upstream held by the floor to about 40.
constexpr double EvidenceCeilingFactor = 1.5;
// A cold start is slow too, but speeds up. The ejection of an upstream with mostly overdue requests is not delayed.
constexpr Duration MinSlowRunTime = std::chrono::seconds(2);
constexpr double FailureShareWeight = 0.2;
constexpr unsigned RequiredTrialSuccesses = 3;
// With pooled verdicts, an upstream held by the floor gets only enough requests to detect its recovery; the remaining
// upstreams take the rest up to their slots.
constexpr double HeldByFloorShare = 0.2;
constexpr double InitialSlowStartShare = 0.25;
constexpr Duration SlowStartTime = std::chrono::seconds(4);
// During slow start a relapse is likely, so that less evidence suffices.
constexpr double SlowStartThresholdShare = 0.6;
// An upstream that stays healthy for this time has recovered; its next ejection lasts DetectorSettings::firstEjection.
constexpr Duration RelapseResetTime = std::chrono::minutes(2);

} // namespace

struct ServiceDetector::State
{
    DetectorSettings settings;
    std::vector<Member> members;
    std::unordered_map<std::string, std::size_t> positions;
    Internal::RecentSamples recentSamples;
    Internal::SiblingLatency siblingLatency;
    std::uint32_t nextMemberNumber = 0;

    Member *find(const std::string &id);
    const Member *find(const std::string &id) const;
    void setMembers(std::vector<UpstreamCapacity> upstreams);
    double threshold(const Member &member) const;
    Duration ejectionTime(const Member &member) const;
    bool isSlow(const Member &member, const Sample &sample);
    void updateEvidence(Member &member, const Sample &sample, bool slow);
    void recordTrialResult(Member &member, bool bad, TimePoint at);
    bool shouldEject(const Member &member, TimePoint now) const;
    bool exceedsSiblings(const Member &member, const Cusum &sum, SampleKind kind) const;
    bool hasNoEvidence(const Member &member) const;
    void eject(Member &member, TimePoint now) const;
    void startTrial(Member &member, TimePoint now) const;
    void startSlowStart(Member &member, TimePoint now) const;
    void restore(Member &member, TimePoint now) const;
    void updateState(Member &member, TimePoint now) const;
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
        const Member *existing = this->find(upstream.id);
        Member member = existing != nullptr ? *existing : Member{.number = this->nextMemberNumber++, .id = upstream.id};
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
    return member.state == HealthState::SlowStart ? full * SlowStartThresholdShare : full;
}

Duration ServiceDetector::State::ejectionTime(const Member &member) const
{
    Duration time = this->settings.firstEjection;
    for (unsigned i = 0; i < member.relapses && time < this->settings.longestEjection; ++i) {
        time *= 2;
    }
    return std::min(time, this->settings.longestEjection);
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

void ServiceDetector::State::updateEvidence(Member &member, const Sample &sample, bool slow)
{
    const bool failed = isFailure(sample.cause);
    const double ceiling = std::log(std::max(this->settings.samplesBetweenFalseAlarms, 2.0)) * EvidenceCeilingFactor;
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
    member.badShare += FailureShareWeight * (bad - member.badShare);
    if (failed) {
        member.lastFailure = sample.cause;
    }
}

void ServiceDetector::State::recordTrialResult(Member &member, bool bad, TimePoint at)
{
    if (bad) {
        ++member.relapses;
        this->eject(member, at);
        return;
    }
    ++member.trialSuccesses;
    if (member.trialSuccesses >= RequiredTrialSuccesses && !member.pooledUnhealthy) {
        this->startSlowStart(member, at);
    }
}

bool ServiceDetector::State::exceedsSiblings(const Member &member, const Cusum &sum, SampleKind kind) const
{
    if (sum.evidence() < this->threshold(member)) {
        return false;
    }
    // The sum assumes the rate of a healthy upstream. The run is tested again with the rate of the siblings over the
    // same time, so that a failure shared by all upstreams ejects none of them.
    const Tally siblings = this->recentSamples.siblingTally(member.number, sum.runStart(), kind);
    const RateHypotheses rates
        = kind == SampleKind::Failed
              ? Internal::failureRates(Internal::smoothedRate(siblings, HealthyFailureRate), this->settings.failureRate)
              : Internal::slowRates(Internal::smoothedRate(siblings, HealthySlowRate));
    return Internal::logLikelihoodRatio(rates, sum.badInRun(), sum.goodInRun()) >= this->threshold(member);
}

bool ServiceDetector::State::shouldEject(const Member &member, TimePoint now) const
{
    const bool slownessPersists
        = 2 * member.overdueInRun >= member.slowness.badInRun() || now - member.slowness.runStart() >= MinSlowRunTime;
    return member.pooledUnhealthy || this->exceedsSiblings(member, member.failures, SampleKind::Failed)
           || (slownessPersists && this->exceedsSiblings(member, member.slowness, SampleKind::Slow));
}

bool ServiceDetector::State::hasNoEvidence(const Member &member) const
{
    return !member.pooledUnhealthy && member.failures.evidence() == 0 && member.slowness.evidence() == 0;
}

void ServiceDetector::State::eject(Member &member, TimePoint now) const
{
    member.state = HealthState::Ejected;
    member.since = now;
    member.deadline = now + this->ejectionTime(member);
}

void ServiceDetector::State::startTrial(Member &member, TimePoint now) const
{
    member.state = HealthState::Trial;
    member.since = now;
    member.deadline = now + this->settings.trialPatience * this->ejectionTime(member);
    member.trialSuccesses = 0;
}

void ServiceDetector::State::startSlowStart(Member &member, TimePoint now) const
{
    member.state = HealthState::SlowStart;
    member.since = now;
    member.deadline = now + SlowStartTime;
    member.failures.reset();
    member.slowness.reset();
    member.overdueInRun = 0;
    member.badShare = 0;
}

void ServiceDetector::State::restore(Member &member, TimePoint now) const
{
    member.state = HealthState::Healthy;
    member.since = now;
    member.failures.reset();
    member.slowness.reset();
    member.overdueInRun = 0;
    member.badShare = 0;
}

void ServiceDetector::State::updateState(Member &member, TimePoint now) const
{
    switch (member.state) {
    case HealthState::Healthy:
        if (member.relapses > 0 && now - member.since >= RelapseResetTime) {
            member.relapses = 0;
        }
        if (this->shouldEject(member, now)) {
            this->eject(member, now);
        }
        break;
    case HealthState::Ejected:
        if (now >= member.deadline && !member.pooledUnhealthy) {
            this->startTrial(member, now);
        }
        break;
    case HealthState::Trial:
        // Not counted as a relapse: the collectors count their own, and the trial of this entry has not failed.
        if (member.pooledUnhealthy) {
            this->eject(member, now);
        } else if (now >= member.deadline) {
            this->startSlowStart(member, now);
        }
        break;
    case HealthState::SlowStart:
        if (this->shouldEject(member, now)) {
            member.relapses += member.pooledUnhealthy ? 0 : 1;
            this->eject(member, now);
        } else if (now >= member.deadline) {
            member.state = HealthState::Healthy;
            member.since = now;
        }
        break;
    case HealthState::HeldByFloor:
        if (this->hasNoEvidence(member)) {
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
        // Answers during an ejection belong to requests sent before it.
        return;
    }
    const bool slow = this->state->isSlow(*member, sample);
    const bool failed = isFailure(sample.cause);
    if (member->state == HealthState::Trial) {
        this->state->recordTrialResult(*member, failed || slow, sample.at);
        return;
    }
    this->state->recentSamples.add({.at = sample.at, .member = member->number, .failed = failed, .slow = slow});
    this->state->updateEvidence(*member, sample, slow);
}

void ServiceDetector::recordOverdue(const std::string &upstream, TimePoint now)
{
    Member *member = this->state->find(upstream);
    if (member == nullptr || member->state == HealthState::Ejected) {
        return;
    }
    if (member->state == HealthState::Trial) {
        this->state->recordTrialResult(*member, true, now);
        return;
    }
    this->state->recentSamples.add({.at = now, .member = member->number, .failed = false, .slow = true});
    this->state->updateEvidence(*member, {.at = now, .cause = Cause::Cancelled}, true);
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
        if (member == nullptr || (member->pooledUnhealthy == verdict.sick && member->pooledShare == verdict.share)) {
            continue;
        }
        const bool recovers = member->pooledUnhealthy && !verdict.sick;
        member->pooledUnhealthy = verdict.sick;
        member->pooledShare = verdict.share;
        if (recovers && this->state->settings.poolDecides) {
            this->state->restore(*member, now);
        } else if (recovers && member->state == HealthState::Ejected) {
            this->state->startTrial(*member, now);
        }
    }
}

std::vector<HealthTransition> ServiceDetector::evaluate(TimePoint now)
{
    for (Member &member : this->state->members) {
        this->state->updateState(member, now);
    }
    Internal::applyFloor(this->state->members, this->state->settings.floorPercent);

    // The state may also have changed in record(), recordOverdue() or applyPooled() since the last call.
    std::vector<HealthTransition> changes;
    for (Member &member : this->state->members) {
        const HealthState before = std::exchange(member.reportedState, member.state);
        if (member.state == before) {
            continue;
        }
        if (member.state == HealthState::Ejected && before == HealthState::HeldByFloor) {
            this->state->eject(member, now);
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
        const bool waitsForTime = member.state == HealthState::Trial || member.state == HealthState::SlowStart
                                  || (member.state == HealthState::Ejected && !member.pooledUnhealthy);
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
        return {.trialOnly = member->isPooledTrial(), .share = member->pooledShare};
    case HealthState::HeldByFloor:
        return {.share = this->state->settings.poolDecides ? HeldByFloorShare : 1};
    case HealthState::Ejected:
        return {.allowed = false, .share = 0, .lastResort = true};
    case HealthState::Trial:
        return {.allowed = true, .trialOnly = true, .share = 0};
    case HealthState::SlowStart:
        break;
    }
    const double progress = toMilliseconds(now - member->since) / toMilliseconds(SlowStartTime);
    return {.share
            = std::clamp(InitialSlowStartShare + (1 - InitialSlowStartShare) * progress, InitialSlowStartShare, 1.0)};
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
