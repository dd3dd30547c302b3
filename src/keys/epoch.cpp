#include "verbenadock/keys/epoch.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace Verbenadock::Keys {

namespace {

using Json = nlohmann::json;

/// Score for rendezvous hashing. It depends on the VM but not on the incarnation, so that a restarted entry owns the
/// same keys again.
std::uint64_t score(const std::string &vm, const std::string &text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), XXH3_64bits(vm.data(), vm.size()));
}

const EpochMember *highestScored(const Epoch &epoch, const std::string *without, const Key &key)
{
    // The length prefix makes the text unique for each pair of bundle and key.
    const auto text = std::to_string(key.bundle.size()) + ':' + key.bundle + key.value;
    const EpochMember *found = nullptr;
    std::uint64_t highest = 0;
    for (const auto &member : epoch.members) {
        if (without != nullptr && member.vm == *without) {
            continue;
        }
        const auto value = score(member.vm, text);
        if (found == nullptr || value > highest) {
            found = &member;
            highest = value;
        }
    }
    return found;
}

void requireSize(const Json &object, std::size_t size)
{
    if (!object.is_object() || object.size() != size) {
        throw EpochError("an epoch record has unknown or missing members");
    }
}

std::uint64_t number(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        throw EpochError(std::string("an epoch record has no valid ") + name);
    }
    return found->get<std::uint64_t>();
}

std::string text(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string() || found->get_ref<const std::string &>().empty()) {
        throw EpochError(std::string("an epoch record has no valid ") + name);
    }
    return found->get<std::string>();
}

EpochMember decodeMember(const Json &object)
{
    requireSize(object, 4);
    return {.vm = text(object, "vm"),
            .incarnation = number(object, "incarnation"),
            .address = text(object, "address"),
            .dataCentre = text(object, "data_centre")};
}

bool sameVm(const EpochMember &left, const EpochMember &right)
{
    return left.vm == right.vm;
}

} // namespace

bool Epoch::contains(const MemberId &member) const
{
    return std::any_of(this->members.begin(), this->members.end(), [&](const EpochMember &candidate) {
        return candidate.vm == member.vm && candidate.incarnation == member.incarnation;
    });
}

std::string encodeEpoch(const Epoch &epoch)
{
    Json members = Json::array();
    for (const auto &member : epoch.members) {
        members.push_back(Json{{"vm", member.vm},
                               {"incarnation", member.incarnation},
                               {"address", member.address},
                               {"data_centre", member.dataCentre}});
    }
    return Json{{"epoch", epoch.number}, {"replaces", epoch.replaces}, {"members", std::move(members)}}.dump(
        -1, ' ', false, Json::error_handler_t::replace);
}

Epoch decodeEpoch(std::string_view record)
{
    const auto object = Json::parse(record, nullptr, false);
    requireSize(object, 3);
    Epoch epoch{.number = number(object, "epoch"), .replaces = number(object, "replaces"), .members = {}};
    const auto members = object.find("members");
    if (members == object.end() || !members->is_array()) {
        throw EpochError("an epoch record has no valid members");
    }
    for (const auto &member : *members) {
        epoch.members.push_back(decodeMember(member));
    }
    std::sort(epoch.members.begin(), epoch.members.end());
    if (std::adjacent_find(epoch.members.begin(), epoch.members.end(), sameVm) != epoch.members.end()) {
        throw EpochError("an epoch record names a VM twice");
    }
    if (epoch.number == 0 || epoch.replaces + 1 != epoch.number) {
        throw EpochError("an epoch record does not follow the epoch that it replaces");
    }
    return epoch;
}

const EpochMember *ownerOf(const Epoch &epoch, const Key &key)
{
    return highestScored(epoch, nullptr, key);
}

const EpochMember *successorOf(const Epoch &epoch, const std::string &leavingVm, const Key &key)
{
    return highestScored(epoch, &leavingVm, key);
}

} // namespace Verbenadock::Keys
