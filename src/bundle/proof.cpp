#include "proof.h"

#include "verbenadock/bundle/parser.h"

namespace Verbenadock::Bundles::internal {

TrustStore::TrustStore(const std::vector<TrustedOperator> &operators)
{
    for (const auto &trusted : operators) {
        this->publicKeys.emplace(trusted.name, trusted.publicKey);
    }
}

bool TrustStore::verifies(const Record &record) const
{
    const auto position = this->publicKeys.find(operatorOf(record));
    return position != this->publicKeys.end() && verify(position->second, signedText(record), signatureOf(record));
}

bool TrustStore::isSameOperator(const std::string &first, const std::string &second) const
{
    const auto firstKey = this->publicKeys.find(first);
    const auto secondKey = this->publicKeys.find(second);
    return first == second
           || (firstKey != this->publicKeys.end() && secondKey != this->publicKeys.end()
               && firstKey->second == secondKey->second);
}

std::string contentError(const Proposal &proposal)
{
    if (contentDigest(proposal.content) != proposal.reference.digest) {
        return "the digest does not match the content";
    }
    try {
        const auto bundle = parseBundle(proposal.content);
        if (bundle.name != proposal.reference.name || bundle.version != proposal.reference.version) {
            return "the content is version " + std::to_string(bundle.version) + " of " + bundle.name;
        }
    } catch (const InvalidBundle &error) {
        // The history keeps up to 1000 of these texts, so the list of mistakes is truncated to bound memory.
        constexpr std::size_t MaxReasonLength = 400;
        return "the content is not a valid bundle: " + std::string(error.what()).substr(0, MaxReasonLength);
    }
    return {};
}

std::optional<Actors> checkProof(const TrustStore &trustStore, const AcceptedVersion &version)
{
    constexpr std::size_t RecordCount = 3;
    if (version.records.size() != RecordCount) {
        return std::nullopt;
    }
    try {
        const Record proposalRecord = decodeRecord(version.records[0]);
        const Record signOffRecord = decodeRecord(version.records[1]);
        const Record rollOutRecord = decodeRecord(version.records[2]);
        const auto *proposal = std::get_if<Proposal>(&proposalRecord);
        if (proposal == nullptr || !std::holds_alternative<SignOff>(signOffRecord)
            || !std::holds_alternative<RollOut>(rollOutRecord)) {
            return std::nullopt;
        }
        for (const auto *record : {&proposalRecord, &signOffRecord, &rollOutRecord}) {
            if (referenceOf(*record) != version.reference || !trustStore.verifies(*record)) {
                return std::nullopt;
            }
        }
        if (trustStore.isSameOperator(proposal->author, operatorOf(signOffRecord))
            || proposal->content != version.content || version.reference.version <= version.reference.replaces
            || !contentError(*proposal).empty()) {
            return std::nullopt;
        }
        return Actors{
            .author = proposal->author, .signer = operatorOf(signOffRecord), .initiator = operatorOf(rollOutRecord)};
    } catch (const RecordError &) {
        return std::nullopt;
    }
}

} // namespace Verbenadock::Bundles::internal
