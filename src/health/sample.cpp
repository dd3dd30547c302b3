#include "verbenadock/health/sample.h"

namespace Verbenadock::Health {

std::string_view toString(Cause cause)
{
    switch (cause) {
    case Cause::Success:
        return "success";
    case Cause::Refused:
        return "refused";
    case Cause::ConnectTimeout:
        return "connect-timeout";
    case Cause::StaleConnection:
        return "silent-connection";
    case Cause::Shed:
        return "shed";
    case Cause::Timeout:
        return "timeout";
    case Cause::Reset:
        return "reset";
    case Cause::ServerError:
        return "server-error";
    case Cause::Truncated:
        return "truncated";
    case Cause::Mismatched:
        return "mismatched";
    case Cause::Malformed:
        return "malformed";
    case Cause::Cancelled:
        return "cancelled";
    }
    return "invalid";
}

bool isEvidence(Cause cause)
{
    // Shedding is a healthy reaction to overload, and a stale connection says nothing about the upstream behind it.
    return cause != Cause::Shed && cause != Cause::StaleConnection && cause != Cause::Cancelled;
}

bool isFailure(Cause cause)
{
    return isEvidence(cause) && cause != Cause::Success;
}

} // namespace Verbenadock::Health
