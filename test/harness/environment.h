#ifndef VERBENADOCK_TEST_HARNESS_ENVIRONMENT_H
#define VERBENADOCK_TEST_HARNESS_ENVIRONMENT_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"
#include "verbenadock/net/httpclient.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <string>

namespace Verbenadock::Test {

using Json = nlohmann::json;

/// Makes every temporary directory stay, for example after a failed assertion.
void keepTemporaryFiles();

/// A directory that is removed at the end, unless an exception is under way or keepTemporaryFiles() was called.
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    const std::filesystem::path &path() const;

private:
    std::filesystem::path directory;
    int exceptionsAtStart;
};

/// A block of loopback addresses 127.B.C.1 to 127.B.C.250 that no other test uses at the same time, so that every VM
/// has an address of its own and all ports of it are free.
class AddressBlock
{
public:
    AddressBlock();
    ~AddressBlock();
    AddressBlock(const AddressBlock &) = delete;
    AddressBlock &operator=(const AddressBlock &) = delete;

    /// Takes the next address.
    std::string next();

private:
    int lockSocket = -1;
    std::string prefix;
    int used = 0;
};

/// Waits until the condition holds; what it throws counts as not yet. Throws std::runtime_error that names what was
/// waited for.
void waitFor(const std::string &what, Duration limit, const std::function<bool()> &condition);

/// One request with JSON answer, within 5 s. Throws std::runtime_error for a status other than 200.
Json getJson(const Endpoint &endpoint, const std::string &target);
Json postJson(const Endpoint &endpoint, const std::string &target, const Json &body);

void writeFile(const std::filesystem::path &path, const std::string &content);

} // namespace Verbenadock::Test

#endif
