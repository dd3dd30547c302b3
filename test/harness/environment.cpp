#include "harness/environment.h"

#include <arpa/inet.h>
#include <atomic>
#include <exception>
#include <fstream>
#include <iostream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Verbenadock::Test {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(20);
constexpr auto ControlTimeout = std::chrono::seconds(5);
constexpr std::uint16_t LockPort = 4999;
constexpr int AddressesPerBlock = 250;
constexpr unsigned OkStatus = 200;

std::atomic<bool> keepFiles = false;

/// Binds the last address of a block as a lock that ends with the process; returns -1 when the block is in use.
int lockBlock(const std::string &prefix)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(LockPort);
    inet_pton(AF_INET, (prefix + "254").c_str(), &address.sin_addr);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

Json exchangeJson(const Endpoint &endpoint, const Net::HttpRequest &request)
{
    const auto response = Net::fetchBlocking(endpoint, request, ControlTimeout);
    if (response.status != OkStatus) {
        throw std::runtime_error(request.target + " answered " + std::to_string(response.status) + ": "
                                 + response.body);
    }
    return Json::parse(response.body);
}

} // namespace

void keepTemporaryFiles()
{
    keepFiles = true;
}

TemporaryDirectory::TemporaryDirectory()
    : exceptionsAtStart(std::uncaught_exceptions())
{
    auto name = (std::filesystem::temp_directory_path() / "verbenadock-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create " + name);
    }
    this->directory = name;
}

TemporaryDirectory::~TemporaryDirectory()
{
    if (keepFiles || std::uncaught_exceptions() > this->exceptionsAtStart) {
        std::cerr << "log files are kept in " << this->directory << "\n";
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

const std::filesystem::path &TemporaryDirectory::path() const
{
    return this->directory;
}

AddressBlock::AddressBlock()
{
    // Blocks 127.64.0 to 127.191.255; tests start at different places, so that they seldom meet.
    constexpr unsigned Blocks = 128 * 256;
    const auto start = unsigned(::getpid()) * 7;
    for (unsigned attempt = 0; attempt < Blocks && this->lockSocket < 0; ++attempt) {
        const unsigned block = (start + attempt) % Blocks;
        this->prefix = "127." + std::to_string(64 + block / 256) + "." + std::to_string(block % 256) + ".";
        this->lockSocket = lockBlock(this->prefix);
    }
    if (this->lockSocket < 0) {
        throw std::runtime_error("no free block of loopback addresses");
    }
}

AddressBlock::~AddressBlock()
{
    ::close(this->lockSocket);
}

std::string AddressBlock::next()
{
    if (++this->used > AddressesPerBlock) {
        throw std::runtime_error("a block has 250 addresses");
    }
    return this->prefix + std::to_string(this->used);
}

void waitFor(const std::string &what, Duration limit, const std::function<bool()> &condition)
{
    const auto deadline = monotonicNow() + limit;
    std::string lastError;
    while (true) {
        try {
            if (condition()) {
                return;
            }
            lastError.clear();
        } catch (const std::exception &error) {
            lastError = std::string(": ") + error.what();
        }
        if (monotonicNow() >= deadline) {
            const auto waited = std::to_string(int(toMilliseconds(limit)));
            throw std::runtime_error(
                std::string("waited ").append(waited).append(" ms in vain for ").append(what).append(lastError));
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

Json getJson(const Endpoint &endpoint, const std::string &target)
{
    return exchangeJson(endpoint, {.target = target});
}

Json postJson(const Endpoint &endpoint, const std::string &target, const Json &body)
{
    return exchangeJson(endpoint, {.method = "POST", .target = target, .body = body.dump()});
}

void writeFile(const std::filesystem::path &path, const std::string &content)
{
    std::ofstream stream(path);
    stream << content;
    if (!stream.flush()) {
        throw std::runtime_error("cannot write " + path.string());
    }
}

} // namespace Verbenadock::Test
