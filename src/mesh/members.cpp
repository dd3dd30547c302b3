#include "verbenadock/mesh/members.h"

#include <algorithm>
#include <utility>

namespace Verbenadock::Mesh {

Members::Members(Hello ownHello)
    : own(std::move(ownHello))
{
}

bool Members::update(const Hello &hello)
{
    if (hello.vm.empty() || hello.vm == this->own.vm) {
        return false;
    }
    const auto found = this->otherMembers.find(hello.vm);
    if (found != this->otherMembers.end() && found->second.incarnation >= hello.incarnation) {
        return false;
    }
    this->otherMembers.insert_or_assign(hello.vm, hello);
    return true;
}

void Members::remove(const Goodbye &goodbye)
{
    const auto found = this->otherMembers.find(goodbye.vm);
    if (found != this->otherMembers.end() && found->second.incarnation <= goodbye.incarnation) {
        this->otherMembers.erase(found);
    }
}

std::vector<std::string> Members::addresses() const
{
    std::vector<std::string> result;
    for (const bool local : {true, false}) {
        for (const auto &[vm, hello] : this->otherMembers) {
            if ((hello.dataCentre == this->own.dataCentre) == local) {
                result.push_back(hello.address);
            }
        }
    }
    return result;
}

std::vector<std::string> Members::localAddresses() const
{
    std::vector<std::string> result;
    for (const auto &[vm, hello] : this->otherMembers) {
        if (hello.dataCentre == this->own.dataCentre) {
            result.push_back(hello.address);
        }
    }
    return result;
}

std::vector<std::string> Members::remoteAddresses() const
{
    std::vector<std::string> result;
    for (const auto &[vm, hello] : this->otherMembers) {
        if (hello.dataCentre != this->own.dataCentre) {
            result.push_back(hello.address);
        }
    }
    return result;
}

std::vector<std::string> Members::vms() const
{
    std::vector<std::string> result{this->own.vm};
    for (const auto &entry : this->otherMembers) {
        result.push_back(entry.first);
    }
    std::ranges::sort(result);
    return result;
}

std::map<std::string, std::uint64_t> Members::localProcessors() const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &[vm, hello] : this->otherMembers) {
        if (hello.dataCentre == this->own.dataCentre) {
            result.emplace(vm, hello.processorPercent);
        }
    }
    return result;
}

std::optional<std::string> Members::addressOf(const std::string &vm) const
{
    const auto found = this->otherMembers.find(vm);
    return found == this->otherMembers.end() ? std::nullopt : std::optional(found->second.address);
}

bool Members::isRemote(const std::string &vm) const
{
    const auto found = this->otherMembers.find(vm);
    return found != this->otherMembers.end() && found->second.dataCentre != this->own.dataCentre;
}

std::size_t Members::size() const
{
    return this->otherMembers.size() + 1;
}

const Hello &Members::self() const
{
    return this->own;
}

} // namespace Verbenadock::Mesh
