#include "local.h"
#include "commands.h"
#include "verbenadock/bundle/parser.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace Verbenadock::Ctl {

namespace {

using nlohmann::json;

json toJson(const std::vector<Bundles::Mistake> &mistakes)
{
    json list = json::array();
    for (const auto &mistake : mistakes) {
        list.push_back({{"line", mistake.line}, {"key", mistake.key}, {"reason", mistake.reason}});
    }
    return list;
}

[[noreturn]] void failOnFile(const std::string &action, const std::string &file)
{
    throw CtlError(ExitStatus::InvalidInput, "cannot " + action + " " + file + ": " + std::strerror(errno));
}

} // namespace

BundleFile readBundleFile(const std::string &file)
{
    try {
        auto content = Settings::readFile(file);
        auto bundle = Bundles::parseBundle(content);
        return {.content = std::move(content), .bundle = std::move(bundle)};
    } catch (const Settings::InvalidSettings &error) {
        throw CtlError(ExitStatus::InvalidInput, error.what());
    } catch (const Bundles::InvalidBundle &error) {
        throw CtlError(ExitStatus::InvalidInput,
                       file + " has mistakes:\n" + error.what(),
                       {{"mistakes", toJson(error.mistakes())}});
    }
}

Bundles::PrivateKey readPrivateKey(const Settings::CtlSettings &settings)
{
    const auto &file = settings.privateKeyFile;
    if (settings.operatorName.empty() || file.empty()) {
        throw CtlError(ExitStatus::InvalidInput,
                       "the settings need operator.name and operator.private_key_file to sign");
    }
    struct stat status
    {
    };
    if (::stat(file.c_str(), &status) != 0) {
        failOnFile("read", file);
    }
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        throw CtlError(ExitStatus::InvalidInput, file + " can be read by others; run: chmod 600 " + file);
    }
    try {
        auto key = Bundles::parsePrivateKey(Settings::readFile(file));
        for (const auto &item : settings.operators) {
            if (item.name == settings.operatorName && item.publicKey != Bundles::publicKey(key)) {
                throw CtlError(ExitStatus::InvalidInput,
                               file + " is not the key of '" + item.name
                                   + "': its public key differs from [[operators]]");
            }
        }
        return key;
    } catch (const Settings::InvalidSettings &error) {
        throw CtlError(ExitStatus::InvalidInput, error.what());
    } catch (const Bundles::SignatureError &error) {
        throw CtlError(ExitStatus::InvalidInput, file + ": " + error.what());
    }
}

Output validate(const std::string &file)
{
    const auto bundle = readBundleFile(file).bundle;
    std::size_t upstreams = 0;
    for (const auto &service : bundle.services) {
        upstreams += service.upstreams.size();
    }
    return {.text = "version " + std::to_string(bundle.version) + " of " + bundle.name
                    + " is valid: " + std::to_string(bundle.services.size()) + " services, " + std::to_string(upstreams)
                    + " upstreams, " + std::to_string(bundle.routes.size()) + " routes\n",
            .data = {{"name", bundle.name},
                     {"version", bundle.version},
                     {"services", bundle.services.size()},
                     {"upstreams", upstreams},
                     {"routes", bundle.routes.size()}}};
}

Output generateKey(const std::string &file)
{
    const auto pem = Bundles::generatePrivateKeyPem();
    // O_EXCL: an existing key must never be overwritten.
    const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (descriptor < 0) {
        failOnFile("create", file);
    }
    const auto written = ::write(descriptor, pem.data(), pem.size());
    const bool closed = ::close(descriptor) == 0;
    if (written != static_cast<ssize_t>(pem.size()) || !closed) {
        failOnFile("write", file);
    }
    const auto key = Bundles::publicKey(Bundles::parsePrivateKey(pem));
    return {.text = key + "\n", .data = {{"public_key", key}, {"private_key_file", file}}};
}

} // namespace Verbenadock::Ctl
