#include "verbenadock/core/effect.h"

namespace Verbenadock::Core {

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(RejectionReason refusal)
{
    switch (refusal) {
    case RejectionReason::NotConfigured:
        return "not-configured";
    case RejectionReason::NoRoute:
        return "no-route";
    case RejectionReason::CallerOverLimit:
        return "caller-over-limit";
    case RejectionReason::QueueFull:
        return "queue-full";
    case RejectionReason::NoCapacity:
        return "no-capacity";
    case RejectionReason::UpstreamsPaused:
        return "upstreams-paused";
    case RejectionReason::DeadlineExceeded:
        return "deadline-exceeded";
    case RejectionReason::AllAttemptsFailed:
        return "all-attempts-failed";
    case RejectionReason::ShuttingDown:
        return "shutting-down";
    case RejectionReason::BodyTooLarge:
        return "body-too-large";
    case RejectionReason::OutcomeUnknown:
        return "outcome-unknown";
    case RejectionReason::UnknownKey:
        return "unknown-key";
    case RejectionReason::ConfigurationOutdated:
        return "configuration-outdated";
    case RejectionReason::CustomerOverCap:
        return "customer-over-cap";
    case RejectionReason::AllowanceUnknown:
        return "allowance-unknown";
    case RejectionReason::OverFairShare:
        return "over-fair-share";
    }
    return "outcome-unknown";
}

} // namespace Verbenadock::Core
