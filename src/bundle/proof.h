#ifndef VERBENADOCK_BUNDLE_PROOF_H
#define VERBENADOCK_BUNDLE_PROOF_H

#include "verbenadock/bundle/history.h"

#include <map>
#include <optional>
#include <string>

namespace Verbenadock::Bundles::internal {

/// Public keys of the operators whose signatures are accepted.
class TrustStore
{
public:
    explicit TrustStore(const std::vector<TrustedOperator> &operators);

    /// Returns whether the record's operator is trusted and the signature is valid.
    bool verifies(const Record &record) const;

    /// Returns whether two names identify one person: equal names or equal keys.
    bool isSameOperator(const std::string &first, const std::string &second) const;

private:
    std::map<std::string, std::string> publicKeys;
};

/// The operators who proposed, signed off and rolled out a version in force.
struct Actors
{
    std::string author;
    std::string signer;
    std::string initiator;

    auto operator<=>(const Actors &) const = default;
};

/// Reason why the content is not the bundle that the reference names; empty when the content matches.
std::string contentError(const Proposal &proposal);

/// Verifies the three records of a version in force; std::nullopt when they do not prove the version.
std::optional<Actors> checkProof(const TrustStore &trustStore, const AcceptedVersion &version);

} // namespace Verbenadock::Bundles::internal

#endif
