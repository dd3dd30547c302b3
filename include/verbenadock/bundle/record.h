#ifndef VERBENADOCK_BUNDLE_RECORD_H
#define VERBENADOCK_BUNDLE_RECORD_H

#include "verbenadock/base/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Verbenadock::Bundles {

/// A record of the log is malformed.
class RecordError : public Error
{
public:
    using Error::Error;
};

/// Names one version of a bundle and what it takes the place of. Every signature covers all of it.
struct VersionReference
{
    std::string name;
    std::uint64_t version = 0;
    /// The version in force that this one replaces; 0 for the first.
    std::uint64_t replaces = 0;
    /// SHA-256 of the exact content, in hexadecimal.
    std::string digest;

    auto operator<=>(const VersionReference &) const = default;
};

/// An operator offers a new version.
struct Proposal
{
    VersionReference reference;
    std::string content;
    std::string author;
    /// Ed25519 over signedText(), in base64.
    std::string signature;

    auto operator<=>(const Proposal &) const = default;
};

/// Another operator approves exactly this version.
struct SignOff
{
    VersionReference reference;
    std::string signer;
    std::string signature;

    auto operator<=>(const SignOff &) const = default;
};

/// An operator puts a signed-off version in force.
struct RollOut
{
    VersionReference reference;
    std::string initiator;
    std::string signature;

    auto operator<=>(const RollOut &) const = default;
};

using Record = std::variant<Proposal, SignOff, RollOut>;

/// JSON text.
std::string encodeRecord(const Record &record);

/// Throws RecordError with the reason.
Record decodeRecord(std::string_view data);

/// The text that the signature of a record covers: record type, reference and operator.
std::string signedText(const Record &record);

/// "proposal", "sign-off" or "roll-out".
std::string_view kindOf(const Record &record);

const VersionReference &referenceOf(const Record &record);

/// The author, signer or initiator.
const std::string &operatorOf(const Record &record);

const std::string &signatureOf(const Record &record);

/// The same record with this signature.
Record withSignature(Record record, std::string signature);

} // namespace Verbenadock::Bundles

#endif
