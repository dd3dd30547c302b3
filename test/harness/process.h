#ifndef VERBENADOCK_TEST_HARNESS_PROCESS_H
#define VERBENADOCK_TEST_HARNESS_PROCESS_H

#include "verbenadock/base/time.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Test {

/// A program that runs until this object ends: first SIGTERM, after a grace period SIGKILL. It is killed as well when
/// the test program dies.
class Process
{
public:
    /// Standard output and standard error are appended to the log file.
    Process(const std::filesystem::path &program,
            const std::vector<std::string> &arguments,
            const std::filesystem::path &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    int id() const;
    bool isRunning();
    void signal(int number);
    /// Exit status once the program has ended, nothing when the time passes first.
    std::optional<int> waitForExit(Duration limit);

private:
    struct Child;
    std::unique_ptr<Child> child;
};

/// Runs a program to its end and returns what it printed. Throws std::runtime_error with its output when its exit
/// status is not 0.
std::string runToEnd(const std::filesystem::path &program, const std::vector<std::string> &arguments);

} // namespace Verbenadock::Test

#endif
