#include "verbenadock/bundle/restatement.h"

#include <nlohmann/json.hpp>

#include <array>

namespace Verbenadock::Bundles {

namespace {

using nlohmann::json;

constexpr auto Type = "restatement";
// The three records together, of which only the proposal is long.
constexpr std::size_t MostBytes = 8 << 20;
constexpr std::array Parts = {"proposal", "sign_off", "roll_out"};

AcceptedVersion decodeParts(const json &object)
{
    AcceptedVersion version;
    const auto offset = object.find("offset");
    if (offset == object.end() || !offset->is_number_unsigned()) {
        throw RecordError("'offset' is not a whole number");
    }
    version.offset = offset->get<std::uint64_t>();
    for (const auto *part : Parts) {
        const auto position = object.find(part);
        if (position == object.end() || !position->is_object()) {
            throw RecordError(std::string("'") + part + "' is not an object");
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
    if (version.records.size() != Parts.size()) {
        throw RecordError("a version in force has three records");
    }
    json object = {{"type", Type}, {"offset", version.offset}};
    for (std::size_t index = 0; index < Parts.size(); ++index) {
        auto part = json::parse(version.records[index], nullptr, false);
        if (!part.is_object()) {
            throw RecordError("not a JSON object");
        }
        object[Parts[index]] = std::move(part);
    }
    return object.dump();
}

std::optional<AcceptedVersion> decodeRestatement(std::string_view data)
{
    // Every other record is spared the second parse; a JSON text in any other spelling still has the word in it.
    if (data.size() > MostBytes || data.find(Type) == std::string_view::npos) {
        return std::nullopt;
    }
    const auto object = json::parse(data, nullptr, false);
    if (!object.is_object() || object.value("type", json()) != Type) {
        return std::nullopt;
    }
    return decodeParts(object);
}

} // namespace Verbenadock::Bundles
