#include "statelog.h"

#include "verbenadock/telemetry/logging.h"

namespace Verbenadock::Agent {

namespace {

using Telemetry::logChange;
using Telemetry::LogLevel;

void writeLogLine(const Control::BundleChanged &change)
{
    const std::string source = change.source.empty() ? "log" : change.source;
    logChange(LogLevel::Info,
              "bundle_in_force name=" + change.bundle.name + " version=" + std::to_string(change.bundle.version)
                  + " digest=" + change.bundle.digest + " source=" + source);
}

void writeLogLine(const Control::LogAvailabilityChanged &change)
{
    logChange(change.available ? LogLevel::Info : LogLevel::Warning,
              change.available ? "log_available" : "log_unavailable");
}

void writeLogLine(const Control::MemberStateChanged &change)
{
    const auto &update = change.update;
    std::string line = "member vm=" + update.member.id + " state=" + std::string(Membership::toString(update.state))
                       + " incarnation=" + std::to_string(update.incarnation);
    if (!update.observer.empty()) {
        line += " observer=" + update.observer;
    }
    logChange(update.state == Membership::State::Alive ? LogLevel::Info : LogLevel::Warning, line);
}

void writeLogLine(const Control::EpochChanged &change)
{
    logChange(LogLevel::Info,
              "key_epoch number=" + std::to_string(change.epoch) + " members=" + std::to_string(change.members)
                  + " source=" + (change.source.empty() ? "log" : change.source));
}

void writeLogLine(const Control::VerdictChanged &change)
{
    const auto &upstreamKey = change.upstream;
    logChange(LogLevel::Info,
              "pooled_verdict upstream=" + upstreamKey.bundle + '/' + upstreamKey.service + '/' + upstreamKey.upstream
                  + " sick=" + (change.sick ? "true" : "false"));
}

} // namespace

void logStateChange(const Control::AgentStateChange &change)
{
    std::visit(
        [](const auto &body) {
            writeLogLine(body);
        },
        change);
}

} // namespace Verbenadock::Agent
