#include "common.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>
#include <string_view>

namespace Verbenadock::Settings {

namespace internal {

namespace {

const std::vector<std::string> LogLevels = {"debug", "info", "warning", "error"};

// 32 bytes in base64 are 43 digits and one '='. The two lowest bits of the last digit are unused and must be zero.
bool isPublicKey(const std::string &text)
{
    constexpr std::size_t EncodedLength = 44;
    const auto isBase64Digit = [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '+' || character == '/';
    };
    return text.size() == EncodedLength && text.back() == '='
           && std::all_of(text.begin(), text.end() - 1, isBase64Digit)
           && std::string_view("AEIMQUYcgkosw048").find(text[EncodedLength - 2]) != std::string_view::npos;
}

void checkOperator(Toml::TableReader &reader, const Operator &candidate, const std::vector<Operator> &earlierOperators)
{
    if (!candidate.publicKey.empty() && !isPublicKey(candidate.publicKey)) {
        reader.report("public_key", "is not a public key in the format of verbenadock-ctl keygen (32 bytes in base64)");
    }
    for (const auto &earlier : earlierOperators) {
        if (!candidate.name.empty() && earlier.name == candidate.name) {
            reader.report("name", "'" + candidate.name + "' is already an operator");
        }
        // A person with two names for the same key could sign off their own proposals.
        if (!candidate.publicKey.empty() && earlier.publicKey == candidate.publicKey) {
            reader.report("public_key", "belongs to operator '" + earlier.name + "' already");
        }
    }
}

} // namespace

void parseDocument(const std::string &toml, const std::function<void(Toml::TableReader &)> &read)
{
    Toml::Mistakes mistakes;
    if (const auto document = Toml::parse(toml, mistakes)) {
        Toml::TableReader root(*document, "", mistakes);
        read(root);
        root.finish();
    }
    if (!mistakes.empty()) {
        throw InvalidSettings(Toml::describe(std::move(mistakes)));
    }
}

void readProcess(Toml::TableReader &root, ProcessSettings &process)
{
    auto reader = root.readTable("process", Toml::Presence::Required);
    reader.readName("vm_id", process.vmId, Toml::Presence::Required);
    reader.readName("data_centre", process.dataCentre, Toml::Presence::Required);
    reader.readEndpoint("admin", process.admin);
    reader.finish();

    auto logging = root.readTable("logging");
    std::size_t level = 0;
    if (logging.readChoice("level", level, LogLevels)) {
        process.logLevel = LogLevels[level];
    }
    logging.readText("file", process.logFile);
    logging.finish();
}

void readOperators(Toml::TableReader &root, std::vector<Operator> &operators)
{
    for (auto &reader : root.readTables("operators", Toml::Presence::Required)) {
        Operator candidate;
        reader.readName("name", candidate.name, Toml::Presence::Required);
        reader.readText("public_key", candidate.publicKey, Toml::Presence::Required);
        checkOperator(reader, candidate, operators);
        reader.finish();
        operators.push_back(std::move(candidate));
    }
    if (root.has("operators") && operators.size() < 2) {
        root.report("operators",
                    "must name at least two operators, because an operator cannot sign off their own proposal");
    }
}

void checkDistinctEndpoints(Toml::TableReader &root, const std::vector<EndpointKey> &keys)
{
    for (auto current = keys.begin(); current != keys.end(); ++current) {
        const auto earlier = std::find_if(keys.begin(), current, [&current](const EndpointKey &candidate) {
            return candidate.endpoint.port != 0 && candidate.endpoint == current->endpoint;
        });
        if (earlier != current) {
            root.report(current->key, toString(current->endpoint) + " is already the endpoint of " + earlier->key);
        }
    }
}

} // namespace internal

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    // Opening a directory succeeds; only the first read fails.
    file.peek();
    if (!file.is_open() || file.bad()) {
        throw InvalidSettings("cannot read " + path + ": " + std::strerror(errno));
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace Verbenadock::Settings
