#include "verbenadock/bundle/record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace Verbenadock::Bundles {

namespace {

using nlohmann::json;

// A record and the exact content have to fit together into one message between agents, which is at most 16 MiB.
constexpr std::size_t MaxRecordBytes = 7 << 20;
constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t DigestLength = 64;

template<typename Type>
constexpr std::string_view Kind;
template<>
constexpr std::string_view Kind<Proposal> = "proposal";
template<>
constexpr std::string_view Kind<SignOff> = "sign-off";
template<>
constexpr std::string_view Kind<RollOut> = "roll-out";

template<typename Type>
constexpr const char *OperatorKey = nullptr;
template<>
constexpr const char *OperatorKey<Proposal> = "author";
template<>
constexpr const char *OperatorKey<SignOff> = "signer";
template<>
constexpr const char *OperatorKey<RollOut> = "operator";

const std::string &operatorName(const Proposal &record)
{
    return record.author;
}

const std::string &operatorName(const SignOff &record)
{
    return record.signer;
}

const std::string &operatorName(const RollOut &record)
{
    return record.initiator;
}

const json &member(const json &object, const char *key)
{
    const auto position = object.find(key);
    if (position == object.end()) {
        throw RecordError(std::string("'") + key + "' is missing");
    }
    return *position;
}

std::string textMember(const json &object, const char *key)
{
    const auto &value = member(object, key);
    if (!value.is_string()) {
        throw RecordError(std::string("'") + key + "' is not text");
    }
    return value.get<std::string>();
}

// Names are written to logs and terminals, so they must not contain control characters.
std::string nameMember(const json &object, const char *key)
{
    auto text = textMember(object, key);
    const auto isAllowed = [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '.' || character == '-' || character == '_';
    };
    if (text.empty() || text.size() > MaxNameLength || !std::ranges::all_of(text, isAllowed)) {
        throw RecordError(std::string("'") + key + "' is not a name");
    }
    return text;
}

std::uint64_t numberMember(const json &object, const char *key)
{
    const auto &value = member(object, key);
    if (!value.is_number_unsigned()) {
        throw RecordError(std::string("'") + key + "' is not a whole number");
    }
    return value.get<std::uint64_t>();
}

std::string digestMember(const json &object)
{
    auto text = textMember(object, "digest");
    const auto isAllowed = [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    };
    if (text.size() != DigestLength || !std::ranges::all_of(text, isAllowed)) {
        throw RecordError("'digest' is not a SHA-256 digest in hexadecimal");
    }
    return text;
}

VersionReference decodeReference(const json &object)
{
    return {.name = nameMember(object, "name"),
            .version = numberMember(object, "version"),
            .replaces = numberMember(object, "replaces"),
            .digest = digestMember(object)};
}

json parseObject(std::string_view data)
{
    if (data.size() > MaxRecordBytes) {
        throw RecordError("longer than " + std::to_string(MaxRecordBytes) + " bytes");
    }
    auto object = json::parse(data, nullptr, false);
    if (!object.is_object()) {
        throw RecordError("not a JSON object");
    }
    return object;
}

} // namespace

std::string encodeRecord(const Record &record)
{
    const auto &reference = referenceOf(record);
    json object = {{"type", kindOf(record)},
                   {"name", reference.name},
                   {"version", reference.version},
                   {"replaces", reference.replaces},
                   {"digest", reference.digest},
                   {"signature", signatureOf(record)}};
    std::visit(
        [&object]<typename Type>(const Type &value) {
            object[OperatorKey<Type>] = operatorName(value);
        },
        record);
    if (const auto *proposal = std::get_if<Proposal>(&record)) {
        object["content"] = proposal->content;
    }
    try {
        return object.dump();
    } catch (const json::exception &) {
        throw RecordError("the record is not valid UTF-8");
    }
}

Record decodeRecord(std::string_view data)
{
    const auto object = parseObject(data);
    const auto type = textMember(object, "type");
    auto reference = decodeReference(object);
    auto signature = textMember(object, "signature");
    if (type == Kind<Proposal>) {
        return Proposal{.reference = std::move(reference),
                        .content = textMember(object, "content"),
                        .author = nameMember(object, OperatorKey<Proposal>),
                        .signature = std::move(signature)};
    }
    if (type == Kind<SignOff>) {
        return SignOff{.reference = std::move(reference),
                       .signer = nameMember(object, OperatorKey<SignOff>),
                       .signature = std::move(signature)};
    }
    if (type == Kind<RollOut>) {
        return RollOut{.reference = std::move(reference),
                       .initiator = nameMember(object, OperatorKey<RollOut>),
                       .signature = std::move(signature)};
    }
    throw RecordError("unknown record type");
}

std::string signedText(const Record &record)
{
    const auto &reference = referenceOf(record);
    // A JSON array delimits the fields unambiguously; the first field binds the signature to this purpose.
    const json parts = {"verbenadock-configuration",
                        kindOf(record),
                        reference.name,
                        reference.version,
                        reference.replaces,
                        reference.digest,
                        operatorOf(record)};
    try {
        return parts.dump();
    } catch (const json::exception &) {
        throw RecordError("the record is not valid UTF-8");
    }
}

std::string_view kindOf(const Record &record)
{
    return std::visit(
        []<typename Type>(const Type &) {
            return Kind<Type>;
        },
        record);
}

const VersionReference &referenceOf(const Record &record)
{
    return std::visit(
        [](const auto &value) -> const VersionReference & {
            return value.reference;
        },
        record);
}

const std::string &operatorOf(const Record &record)
{
    return std::visit(
        [](const auto &value) -> const std::string & {
            return operatorName(value);
        },
        record);
}

const std::string &signatureOf(const Record &record)
{
    return std::visit(
        [](const auto &value) -> const std::string & {
            return value.signature;
        },
        record);
}

Record withSignature(Record record, std::string signature)
{
    std::visit(
        [&signature](auto &value) {
            value.signature = std::move(signature);
        },
        record);
    return record;
}

} // namespace Verbenadock::Bundles
