#ifndef VERBENADOCK_TELEMETRY_LOGGING_H
#define VERBENADOCK_TELEMETRY_LOGGING_H

#include <string>

namespace Verbenadock::Telemetry {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Parses "debug", "info", "warning" or "error"; anything else is Info, since settings are checked before.
LogLevel parseLogLevel(const std::string &name);

/// Sets up easylogging++ for this process: lines go to standard error, or to the file when one is named.
void setUpLogging(const std::string &program, LogLevel level, const std::string &file = {});

/// Writes one line for a change of state, for example logChange(LogLevel::Info, "bundle_in_force name=moka version=3").
void logChange(LogLevel level, const std::string &line);

} // namespace Verbenadock::Telemetry

#endif
