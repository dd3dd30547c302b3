#include "memberrecord.h"

#include <nlohmann/json.hpp>

namespace Verbenadock::Fleet::internal {

using Json = nlohmann::json;

std::string encodeMember(const Mesh::Hello &hello)
{
    return Json{{"address", hello.address},
                {"data_centre", hello.dataCentre},
                {"incarnation", hello.incarnation},
                {"processor_percent", hello.processorPercent}}
        .dump();
}

std::optional<Mesh::Hello> decodeMember(const Platform::KeyedRecord &record)
{
    const auto json = record.value ? Json::parse(*record.value, nullptr, false) : Json();
    if (!json.is_object() || !json.contains("address") || !json["address"].is_string() || !json.contains("data_centre")
        || !json["data_centre"].is_string() || !json.contains("incarnation")
        || !json["incarnation"].is_number_unsigned()) {
        return std::nullopt;
    }
    // VMs of an earlier release do not report their processor share; they come last in the reader election.
    const auto processor = json.find("processor_percent");
    const bool isKnown = processor != json.end() && processor->is_number_unsigned();
    return Mesh::Hello{.vm = record.key,
                       .address = json["address"],
                       .dataCentre = json["data_centre"],
                       .incarnation = json["incarnation"],
                       .processorPercent = isKnown ? processor->get<std::uint64_t>() : 0};
}

} // namespace Verbenadock::Fleet::internal
