#include "proof.h"

#include "verbenadock/bundle/parser.h"

namespace Verbenadock::Bundles::internal {

Trust::Trust(const std::vector<TrustedOperator> &operators)
{
    for (const auto &candidate : operators) {
        this->keys.emplace(candidate.name, candidate.publicKey);
    }
}

bool Trust::covers(const Record &record) const
{
    const auto position = this->keys.find(operatorOf(record));
    return position != this->keys.end() && verify(position->second, signedText(record), signatureOf(record));
}

bool Trust::same(const std::string &first, const std::string &second) const
{
    const auto left = this->keys.find(first);
    const auto right = this->keys.find(second);
    return first == second || (left != this->keys.end() && right != this->keys.end() && left->second == right->second);
}

std::string contentFault(const Proposal &proposal)
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
        // The history keeps a thousand of these texts; the first mistakes are enough there.
        constexpr std::size_t longestReason = 400;
        return "the content is not a valid bundle: " + std::string(error.what()).substr(0, longestReason);
    }
    return {};
}

std::optional<Actors> checkProof(const Trust &trust, const AcceptedVersion &version)
{
    constexpr std::size_t recordCount = 3;
    if (version.records.size() != recordCount) {
        return std::nullopt;
    }
    try {
        const Record first = decodeRecord(version.records[0]);
        const Record second = decodeRecord(version.records[1]);
        const Record third = decodeRecord(version.records[2]);
        const auto *proposal = std::get_if<Proposal>(&first);
        if (proposal == nullptr || !std::holds_alternative<SignOff>(second)
            || !std::holds_alternative<RollOut>(third)) {
            return std::nullopt;
        }
        for (const auto *record : {&first, &second, &third}) {
            if (referenceOf(*record) != version.reference || !trust.covers(*record)) {
                return std::nullopt;
            }
        }
        if (trust.same(proposal->author, operatorOf(second)) || proposal->content != version.content
            || version.reference.version <= version.reference.replaces || !contentFault(*proposal).empty()) {
            return std::nullopt;
        }
        return Actors{.author = proposal->author, .signer = operatorOf(second), .initiator = operatorOf(third)};
    } catch (const RecordError &) {
        return std::nullopt;
    }
}

} // namespace Verbenadock::Bundles::internal
