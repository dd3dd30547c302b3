#include "verbenadock/telemetry/logging.h"

#include "verbenadock/telemetry/boundedoutput.h"

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <unistd.h>

namespace Verbenadock::Telemetry {

namespace {

constexpr auto LoggerName = "default";

/// Time in UTC, so that log lines of several VMs can be compared; easylogging++ itself formats local time only.
std::string utcTime(const el::LogMessage * /*message*/)
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm calendarTime{};
    gmtime_r(&seconds, &calendarTime);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &calendarTime);
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "%s.%03dZ", date.data(), static_cast<int>(milliseconds));
    return text.data();
}

constexpr std::size_t MaxPendingBytes = 256 * 1024;

std::unique_ptr<BoundedOutput> &boundedOutput()
{
    static std::unique_ptr<BoundedOutput> output;
    return output;
}

/// Formats messages like the default dispatch of easylogging++, but writes them to the bounded output.
class BoundedDispatch : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        auto *logger = data->logMessage()->logger();
        boundedOutput()->append(logger->logBuilder()->build(
            data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog));
    }
};

/// Replaces control characters, so that text from callers or records cannot inject log lines.
std::string replaceControlCharacters(std::string line)
{
    std::replace_if(
        line.begin(),
        line.end(),
        [](unsigned char character) {
            return std::iscntrl(character) != 0;
        },
        '?');
    return line;
}

void setEnabledLevels(el::Configurations &configuration, LogLevel lowest)
{
    const auto enable = [&](el::Level level, LogLevel logLevel) {
        configuration.set(level, el::ConfigurationType::Enabled, logLevel >= lowest ? "true" : "false");
    };
    enable(el::Level::Debug, LogLevel::Debug);
    enable(el::Level::Info, LogLevel::Info);
    enable(el::Level::Warning, LogLevel::Warning);
    enable(el::Level::Error, LogLevel::Error);
}

} // namespace

LogLevel parseLogLevel(const std::string &name)
{
    if (name == "debug") {
        return LogLevel::Debug;
    }
    if (name == "warning") {
        return LogLevel::Warning;
    }
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

void setUpLogging(const std::string &program, LogLevel level, const std::string &file)
{
    el::Helpers::installCustomFormatSpecifier(el::CustomFormatSpecifier("%utc", utcTime));
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%utc %level " + program + " %msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, file.empty() ? "true" : "false");
    configuration.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
    if (!file.empty()) {
        configuration.setGlobally(el::ConfigurationType::Filename, file);
        configuration.setGlobally(el::ConfigurationType::LogFlushThreshold, "1");
    }
    setEnabledLevels(configuration, level);
    el::Loggers::reconfigureLogger(LoggerName, configuration);
}

void logToBoundedStandardOutput()
{
    boundedOutput() = std::make_unique<BoundedOutput>(STDOUT_FILENO, MaxPendingBytes);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<BoundedDispatch>("BoundedDispatch");
}

void flushLog()
{
    if (boundedOutput()) {
        boundedOutput()->flush();
    }
}

std::uint64_t droppedLogLines()
{
    return boundedOutput() ? boundedOutput()->dropped() : 0;
}

void logChange(LogLevel level, const std::string &text)
{
    const auto line = replaceControlCharacters(text);
    switch (level) {
    case LogLevel::Debug:
        CLOG(DEBUG, LoggerName) << line;
        break;
    case LogLevel::Info:
        CLOG(INFO, LoggerName) << line;
        break;
    case LogLevel::Warning:
        CLOG(WARNING, LoggerName) << line;
        break;
    case LogLevel::Error:
        CLOG(ERROR, LoggerName) << line;
        break;
    }
}

} // namespace Verbenadock::Telemetry
