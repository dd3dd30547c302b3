#ifndef VERBENADOCK_BUNDLE_PROOF_H
#define VERBENADOCK_BUNDLE_PROOF_H

#include "verbenadock/bundle/history.h"

#include <map>
#include <optional>
#include <string>

namespace Verbenadock::Bundles::internal {

/// The operators whose signatures count.
class Trust
{
public:
    explicit Trust(const std::vector<TrustedOperator> &operators);

    /// Whether the record's operator is trusted and has signed it.
    bool covers(const Record &record) const;

    /// Whether two names stand for the same person: the same name or the same key.
    bool same(const std::string &first, const std::string &second) const;

private:
    std::map<std::string, std::string> keys;
};

/// The three operators behind a version in force.
struct Actors
{
    std::string author;
    std::string signer;
    std::string initiator;

    auto operator<=>(const Actors &) const = default;
};

/// Why the content is not the bundle that the reference names; empty when it is.
std::string contentFault(const Proposal &proposal);

/// Checks the three records of a version in force; nothing when they do not prove it.
std::optional<Actors> checkProof(const Trust &trust, const AcceptedVersion &version);

} // namespace Verbenadock::Bundles::internal

#endif
