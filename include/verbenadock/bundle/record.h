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

/// Identifies one version of a bundle and the version that it replaces. Every signature covers all fields.
struct VersionReference
{
    std::string name;
    std::uint64_t version = 0;
    /// Version in force that this version replaces; 0 for the first version.
    std::uint64_t replaces = 0;
    /// SHA-256 of the content bytes, in hexadecimal.
    std::string digest;

    auto operator<=>(const VersionReference &) const = default;
};

/// Proposal of a new version by an operator.
struct Proposal
{
    VersionReference reference;
    std::string content;
    std::string author;
    /// Ed25519 signature of signedText(), in base64.
    std::string signature;

    auto operator<=>(const Proposal &) const = default;
};

/// Approval of exactly this version by another operator.
struct SignOff
{
    VersionReference reference;
    std::string signer;
    std::string signature;

    auto operator<=>(const SignOff &) const = default;
};

/// Activation of a signed-off version by an operator.
struct RollOut
{
    VersionReference reference;
    std::string initiator;
    std::string signature;

    auto operator<=>(const RollOut &) const = default;
};

using Record = std::variant<Proposal, SignOff, RollOut>;

/// Returns JSON text. Throws RecordError when a text is not valid UTF-8.
std::string encodeRecord(const Record &record);

/// Throws RecordError with the reason when the data is malformed.
Record decodeRecord(std::string_view data);

/// Text that the signature of a record covers: record type, reference and operator.
std::string signedText(const Record &record);

/// "proposal", "sign-off" or "roll-out".
std::string_view kindOf(const Record &record);

const VersionReference &referenceOf(const Record &record);

/// Name of the author, signer or initiator.
const std::string &operatorOf(const Record &record);

const std::string &signatureOf(const Record &record);

/// Copy of the record with this signature.
Record withSignature(Record record, std::string signature);

} // namespace Verbenadock::Bundles

#endif
