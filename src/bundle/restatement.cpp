#include "verbenadock/bundle/restatement.h"

#include <nlohmann/json.hpp>

#include <array>

namespace Verbenadock::Bundles {

namespace {

using nlohmann::json;

constexpr auto RestatementType = "restatement";
// Limit for the three records together; only the proposal is large.
constexpr std::size_t MaxRestatementBytes = 8 << 20;
constexpr std::array RecordKeys = {"proposal", "sign_off", "roll_out"};

AcceptedVersion decodeVersion(const json &object)
{
    AcceptedVersion version;
    const auto offset = object.find("offset");
    if (offset == object.end() || !offset->is_number_unsigned()) {
        throw RecordError("'offset' is not a whole number");
    }
    version.offset = offset->get<std::uint64_t>();
    for (const auto *key : RecordKeys) {
        const auto position = object.find(key);
        if (position == object.end() || !position->is_object()) {
            throw RecordError(std::string("'") + key + "' is not an object");
        }
        version.records.push_back(position->dump());
    }
    const auto record = decodeRecord(version.records.front());
    const auto *proposal = std::get_if<Proposal>(&record);
    if (proposal == nullptr) {
        throw RecordError("'proposal' is not a proposal");
    }
    version.reference = proposal->reference;
    version.content = proposal->content;
    return version;
}

} // namespace

std::string encodeRestatement(const AcceptedVersion &version)
{
    if (version.records.size() != RecordKeys.size()) {
        throw RecordError("a version in force has three records");
    }
    json object = {{"type", RestatementType}, {"offset", version.offset}};
    for (std::size_t index = 0; index < RecordKeys.size(); ++index) {
        auto part = json::parse(version.records[index], nullptr, false);
        if (!part.is_object()) {
            throw RecordError("not a JSON object");
        }
        object[RecordKeys[index]] = std::move(part);
    }
    return object.dump();
}

std::optional<AcceptedVersion> decodeRestatement(std::string_view data)
{
    // Avoids parsing records of other types twice. Every restatement contains the type name, whatever its JSON
    // formatting.
    if (data.size() > MaxRestatementBytes || data.find(RestatementType) == std::string_view::npos) {
        return std::nullopt;
    }
    const auto object = json::parse(data, nullptr, false);
    if (!object.is_object() || object.value("type", json()) != RestatementType) {
        return std::nullopt;
    }
    return decodeVersion(object);
}

} // namespace Verbenadock::Bundles
