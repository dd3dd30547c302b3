#include "statelines.h"

namespace Verbenadock::Entry {

namespace {

std::string formatChange(const Core::HealthStateChanged &change)
{
    const auto &key = change.upstream;
    std::string text = "upstream_state bundle=" + key.bundle + " service=" + key.service + " upstream=" + key.upstream;
    text.append(" from=").append(Health::toString(change.transition.from));
    text.append(" to=").append(Health::toString(change.transition.to));
    text.append(" cause=").append(Health::toString(change.transition.cause));
    return text;
}

std::string formatChange(const Core::UpstreamLeaving &change)
{
    return "upstream_leaving bundle=" + change.upstream.bundle + " service=" + change.upstream.service
           + " upstream=" + change.upstream.upstream + " source=answer";
}

std::string formatChange(const Core::UpstreamPaused &change)
{
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(change.pause);
    return "upstream_paused bundle=" + change.upstream.bundle + " service=" + change.upstream.service
           + " upstream=" + change.upstream.upstream + " pause_ms=" + std::to_string(pause.count());
}

std::string formatChange(const Core::ConfigurationInForce &change)
{
    return "configuration_in_force revision=" + std::to_string(change.revision)
           + " services=" + std::to_string(change.services) + " routes=" + std::to_string(change.routes);
}

/// The announcements of the upstreams that were tried; empty if there are none.
std::string announcementsField(const std::vector<Proxy::AttemptReport> &attempts)
{
    std::string text;
    const auto append = [&text](const std::string &upstream, std::string_view kind) {
        text.append(text.empty() ? " announced=" : ",").append(upstream).append("/").append(kind);
    };
    for (const auto &attempt : attempts) {
        if (attempt.announcedLeaving) {
            append(attempt.upstream, "leaving");
        }
        if (attempt.announcedPause > Duration(0)) {
            const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(attempt.announcedPause);
            append(attempt.upstream, "pause_ms:" + std::to_string(pause.count()));
        }
        for (const auto error : attempt.announcementErrors) {
            append(attempt.upstream, error);
        }
    }
    return text;
}

/// Share of the customer or route in a service with fair sharing.
std::string shareField(const std::optional<Core::ShareView> &share)
{
    if (!share) {
        return {};
    }
    const auto milliseconds = [](Duration duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    std::string field = " customer=" + (share->customer.empty() ? std::string("-") : share->customer);
    field.append(" share_ms=").append(milliseconds(share->held)).append("/").append(milliseconds(share->equalShare));
    field.append(" above_share=").append(std::to_string(share->aboveShare));
    field.append(" queue_ms=").append(milliseconds(share->queueWait));
    field.append(share->returnsEarly ? " returns_early=yes" : "");
    return field;
}

} // namespace

std::string requestLine(const Proxy::RequestReport &report)
{
    const auto milliseconds = [](Duration duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    const auto orDash = [](std::string_view text) {
        return text.empty() ? std::string("-") : std::string(text);
    };
    std::string line = "request_ended id=" + orDash(report.id);
    line.append(" host=").append(report.host).append(" target=").append(report.target);
    line.append(" outcome=").append(report.outcome).append(" reason=").append(orDash(report.reason));
    line.append(" status=").append(std::to_string(report.status));
    line.append(" service=").append(orDash(report.service));
    line.append(report.customer.empty() ? "" : " customer=").append(report.customer);
    line.append(" attempts=").append(std::to_string(report.attempts.size()));
    line.append(" tries=").append(report.attempts.empty() ? "-" : "");
    for (const auto &attempt : report.attempts) {
        line.append(line.back() == '=' ? "" : ",").append(attempt.upstream);
        line.append(attempt.seen.near ? "/near" : "/far")
            .append("/load:")
            .append(std::to_string(attempt.seen.loadPercent));
        line.append("/share:").append(std::to_string(attempt.seen.sharePercent));
        line.append("/after:").append(milliseconds(attempt.startDelay));
        line.append("/ms:").append(milliseconds(attempt.duration));
        line.append("/").append(attempt.result ? Health::toString(*attempt.result) : "running");
    }
    if (report.refusal && !report.refusal->service.empty()) {
        const auto &rejection = *report.refusal;
        line.append(" best_load=").append(std::to_string(rejection.loadPercent));
        line.append(" queued=").append(std::to_string(rejection.queued));
        line.append(" in_service=").append(std::to_string(rejection.inService));
        line.append("/").append(std::to_string(rejection.configured));
        line.append(shareField(rejection.share));
    }
    line.append(announcementsField(report.attempts));
    line.append(report.memoryLimited ? " memory_limited=1" : "");
    line.append(" ms=").append(milliseconds(report.duration));
    line.append(" deadline_ms=").append(report.callerDeadline ? milliseconds(*report.callerDeadline) : "-");
    return line;
}

bool isPooledTransition(const Core::StateChange &change)
{
    const auto *health = std::get_if<Core::HealthStateChanged>(&change);
    return health != nullptr && health->transition.from != Health::HealthState::HeldByFloor
           && health->transition.to != Health::HealthState::HeldByFloor;
}

std::string stateLine(const Core::StateChange &change)
{
    return std::visit(
        [](const auto &specific) {
            return formatChange(specific);
        },
        change);
}

} // namespace Verbenadock::Entry
