#ifndef VERBENADOCK_TEST_BUNDLE_OPERATORS_H
#define VERBENADOCK_TEST_BUNDLE_OPERATORS_H

#include "verbenadock/bundle/record.h"
#include "verbenadock/bundle/signature.h"

#include <map>
#include <string>
#include <vector>

namespace Verbenadock::Bundles::Testing {

/// Operators with newly generated keys; creates records signed by them.
class Operators
{
public:
    explicit Operators(const std::vector<std::string> &names)
    {
        for (const auto &name : names) {
            this->keys.emplace(name, parsePrivateKey(generatePrivateKeyPem()));
        }
    }

    std::vector<TrustedOperator> trusted() const
    {
        std::vector<TrustedOperator> result;
        for (const auto &[name, key] : this->keys) {
            result.push_back({.name = name, .publicKey = publicKey(key)});
        }
        return result;
    }

    std::string record(const Record &unsignedRecord, const std::string &signer) const
    {
        return encodeRecord(withSignature(unsignedRecord, sign(this->keys.at(signer), signedText(unsignedRecord))));
    }

    std::string proposal(const std::string &content, VersionReference reference, const std::string &name) const
    {
        return this->record(Proposal{std::move(reference), content, name, {}}, name);
    }

    std::string signOff(VersionReference reference, const std::string &name) const
    {
        return this->record(SignOff{std::move(reference), name, {}}, name);
    }

    std::string rollOut(VersionReference reference, const std::string &name) const
    {
        return this->record(RollOut{std::move(reference), name, {}}, name);
    }

private:
    std::map<std::string, PrivateKey> keys;
};

/// Minimal valid bundle; each variant has its own digest.
inline std::string content(std::uint64_t version, unsigned variant = 0, const std::string &name = "n")
{
    return "[bundle]\nname = \"" + name + "\"\nversion = " + std::to_string(version)
           + "\n[services.s]\nqueue_limit = " + std::to_string(variant)
           + "\n[[services.s.upstreams]]\nid = \"u\"\nendpoint = \"127.0.0.1:1\"\ndata_centre = \"d\"\n"
             "[[routes]]\nservice = \"s\"\nidempotent = true\n";
}

inline VersionReference reference(std::uint64_t version, std::uint64_t replaces, unsigned variant = 0)
{
    return {.name = "n", .version = version, .replaces = replaces, .digest = contentDigest(content(version, variant))};
}

} // namespace Verbenadock::Bundles::Testing

#endif
