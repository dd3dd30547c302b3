#include "harness/process.h"

#include <boost/process.hpp>
#include <boost/process/extend.hpp>

#include <csignal>
#include <iterator>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Verbenadock::Test {

namespace bp = boost::process;

namespace {

constexpr auto TerminationGrace = std::chrono::seconds(3);
constexpr auto ExitPollInterval = std::chrono::milliseconds(5);

} // namespace

struct Process::Child
{
    bp::child process;
};

Process::Process(const std::filesystem::path &program,
                 const std::vector<std::string> &arguments,
                 const std::filesystem::path &logFile)
    : child(std::make_unique<Child>())
{
    const std::unique_ptr<FILE, int (*)(FILE *)> log(fopen(logFile.c_str(), "ae"), &fclose);
    if (!log) {
        throw std::runtime_error("cannot open " + logFile.string());
    }
    this->child->process = bp::child(
        bp::exe = program.string(),
        bp::args = arguments,
        (bp::std_out & bp::std_err) > log.get(),
        bp::std_in < bp::null,
        bp::extend::on_exec_setup = [](auto &) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        });
}

Process::~Process()
{
    if (this->isRunning()) {
        this->signal(SIGCONT);
        this->signal(SIGTERM);
        if (!this->waitForExit(TerminationGrace)) {
            this->signal(SIGKILL);
        }
    }
    std::error_code ignored;
    this->child->process.wait(ignored);
}

int Process::id() const
{
    return this->child->process.id();
}

bool Process::isRunning()
{
    std::error_code ignored;
    return this->child->process.running(ignored);
}

void Process::signal(int number)
{
    // After the exit is known the id may belong to another process.
    if (this->isRunning()) {
        ::kill(this->id(), number);
    }
}

std::optional<int> Process::waitForExit(Duration limit)
{
    const auto deadline = monotonicNow() + limit;
    while (this->isRunning()) {
        if (monotonicNow() >= deadline) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(ExitPollInterval);
    }
    const int status = this->child->process.native_exit_code();
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::string runToEnd(const std::filesystem::path &program, const std::vector<std::string> &arguments)
{
    bp::ipstream output;
    bp::child process(
        bp::exe = program.string(), bp::args = arguments, (bp::std_out & bp::std_err) > output, bp::std_in < bp::null);
    std::string text{std::istreambuf_iterator<char>(output), {}};
    process.wait();
    if (process.exit_code() != 0) {
        throw std::runtime_error(program.string() + " ended with " + std::to_string(process.exit_code()) + ": " + text);
    }
    return text;
}

} // namespace Verbenadock::Test
