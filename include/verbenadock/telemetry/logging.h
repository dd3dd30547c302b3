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

/// Parses "debug", "info", "warning" or "error". Returns Info for any other text; settings are validated earlier.
LogLevel parseLogLevel(const std::string &name);

/// Sets up easylogging++ for this process. Lines go to the file, or to standard error if the name is empty.
void setUpLogging(const std::string &program, LogLevel level, const std::string &file = {});

/// Makes further log output non-blocking: writes it to standard output through a buffer of 256 KiB. Lines that do not
/// fit are dropped and counted. Call flushLog() regularly and before the process ends.
void logToBoundedStandardOutput();

/// Writes as much of the buffer as standard output accepts; no effect without logToBoundedStandardOutput().
void flushLog();

/// Number of lines dropped so far; 0 without logToBoundedStandardOutput().
std::uint64_t droppedLogLines();

/// Logs a change of state in one line, for example logChange(LogLevel::Info, "bundle_in_force name=moka version=3").
void logChange(LogLevel level, const std::string &line);

} // namespace Verbenadock::Telemetry

#endif
