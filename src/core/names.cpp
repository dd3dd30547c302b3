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

std::string_view toString(Refusal refusal)
{
    switch (refusal) {
    case Refusal::NotConfigured:
        return "not-configured";
    case Refusal::NoRoute:
        return "no-route";
    case Refusal::CallerOverLimit:
        return "caller-over-limit";
    case Refusal::QueueFull:
        return "queue-full";
    case Refusal::NoCapacity:
        return "no-capacity";
    case Refusal::DeadlineExceeded:
        return "deadline-exceeded";
    case Refusal::AllAttemptsFailed:
        return "all-attempts-failed";
    case Refusal::ShuttingDown:
        return "shutting-down";
    case Refusal::BodyTooLarge:
        return "body-too-large";
    case Refusal::OutcomeUnknown:
        return "outcome-unknown";
    }
    return "outcome-unknown";
}

} // namespace Verbenadock::Core
