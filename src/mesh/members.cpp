#include "verbenadock/mesh/members.h"

#include <algorithm>
#include <utility>

namespace Verbenadock::Mesh {

Members::Members(Hello ownHello)
    : own(std::move(ownHello))
{
}

bool Members::learn(const Hello &hello)
{
    if (hello.vm.empty() || hello.vm == this->own.vm) {
        return false;
    }
    const auto known = this->others.find(hello.vm);
    if (known != this->others.end() && known->second.incarnation >= hello.incarnation) {
        return false;
    }
    this->others.insert_or_assign(hello.vm, hello);
    return true;
}

void Members::forget(const Goodbye &goodbye)
{
    const auto known = this->others.find(goodbye.vm);
    if (known != this->others.end() && known->second.incarnation <= goodbye.incarnation) {
        this->others.erase(known);
    }
}

std::vector<std::string> Members::addresses() const
{
    std::vector<std::string> result;
    for (const bool near : {true, false}) {
        for (const auto &[vm, hello] : this->others) {
            if ((hello.dataCentre == this->own.dataCentre) == near) {
                result.push_back(hello.address);
            }
        }
    }
    return result;
}

std::vector<std::string> Members::nearAddresses() const
{
    std::vector<std::string> result;
    for (const auto &[vm, hello] : this->others) {
        if (hello.dataCentre == this->own.dataCentre) {
            result.push_back(hello.address);
        }
    }
    return result;
}

std::vector<std::string> Members::farAddresses() const
{
    std::vector<std::string> result;
    for (const auto &[vm, hello] : this->others) {
        if (hello.dataCentre != this->own.dataCentre) {
            result.push_back(hello.address);
        }
    }
    return result;
}

std::map<std::string, std::uint64_t> Members::nearProcessors() const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &[vm, hello] : this->others) {
        if (hello.dataCentre == this->own.dataCentre) {
            result.emplace(vm, hello.processorPercent);
        }
    }
    return result;
}

std::optional<std::string> Members::addressOf(const std::string &vm) const
{
    const auto known = this->others.find(vm);
    return known == this->others.end() ? std::nullopt : std::optional(known->second.address);
}

bool Members::isFar(const std::string &vm) const
{
    const auto known = this->others.find(vm);
    return known != this->others.end() && known->second.dataCentre != this->own.dataCentre;
}

std::size_t Members::size() const
{
    return this->others.size() + 1;
}

const Hello &Members::self() const
{
    return this->own;
}

} // namespace Verbenadock::Mesh
