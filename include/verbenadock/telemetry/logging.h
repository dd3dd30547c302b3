#ifndef VERBENADOCK_TELEMETRY_LOGGING_H
#define VERBENADOCK_TELEMETRY_LOGGING_H

#include <cstdint>
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

/// From now on lines for standard output never wait for a reader: at most 256 KiB are kept, further lines are left out
/// and counted. Call flushLog() regularly and before the process ends.
void boundStandardOutput();

void flushLog();

/// Lines left out since the start; 0 without boundStandardOutput().
std::uint64_t droppedLogLines();

/// Writes one line for a change of state, for example logChange(LogLevel::Info, "bundle_in_force name=moka version=3").
void logChange(LogLevel level, const std::string &line);

} // namespace Verbenadock::Telemetry

#endif
