#include "heldbytes.h"

#include <numeric>
#include <utility>

namespace Verbenadock::Proxy::internal {

void HeldBytes::setLimit(std::size_t bytes)
{
    this->limitBytes = bytes;
}

std::size_t HeldBytes::limit() const
{
    return this->limitBytes;
}

void HeldBytes::add(HeldKind kind, std::size_t bytes)
{
    this->heldByKind[static_cast<std::size_t>(kind)] += bytes;
}

void HeldBytes::remove(HeldKind kind, std::size_t bytes)
{
    this->heldByKind[static_cast<std::size_t>(kind)] -= bytes;
}

std::size_t HeldBytes::held(HeldKind kind) const
{
    return this->heldByKind[static_cast<std::size_t>(kind)];
}

std::size_t HeldBytes::total() const
{
    return std::accumulate(this->heldByKind.begin(), this->heldByKind.end(), std::size_t(0));
}

bool HeldBytes::exhausted() const
{
    return this->limitBytes > 0 && this->total() >= this->limitBytes;
}

bool HeldBytes::admitsBody(std::optional<std::uint64_t> bytes) const
{
    if (bytes == 0 || !this->exhausted()) {
        return true;
    }
    // Small bodies are still served near the limit, but many of them would exceed it without bound.
    return bytes.value_or(0) <= SmallBodyBytes && this->total() - this->limitBytes <= this->limitBytes / 4;
}

bool HeldBytes::admitsTransit(const Endpoint &upstream, std::uint64_t bytes) const
{
    if (bytes <= SmallBodyBytes) {
        return true;
    }
    const auto present = this->inTransit(upstream);
    return present == 0 || (bytes <= MaxTransitBytes && present <= MaxTransitBytes - bytes);
}

void HeldBytes::addTransit(const Endpoint &upstream, std::uint64_t bytes)
{
    this->transit[upstream] += bytes;
}

void HeldBytes::removeTransit(const Endpoint &upstream, std::uint64_t bytes)
{
    const auto found = this->transit.find(upstream);
    if (found == this->transit.end()) {
        return;
    }
    found->second -= bytes;
    if (found->second == 0) {
        this->transit.erase(found);
    }
}

std::uint64_t HeldBytes::inTransit(const Endpoint &upstream) const
{
    const auto found = this->transit.find(upstream);
    return found == this->transit.end() ? 0 : found->second;
}

HeldCharge::HeldCharge(std::shared_ptr<HeldBytes> charged, HeldKind chargedKind)
    : account(std::move(charged))
    , kind(chargedKind)
{
}

HeldCharge::~HeldCharge()
{
    this->set(0);
}

void HeldCharge::set(std::size_t bytes)
{
    this->account->remove(this->kind, this->size);
    this->account->add(this->kind, bytes);
    this->size = bytes;
}

TransitCharge::TransitCharge(std::shared_ptr<HeldBytes> charged, Endpoint target)
    : account(std::move(charged))
    , upstream(std::move(target))
{
}

TransitCharge::~TransitCharge()
{
    this->clear();
}

void TransitCharge::add(std::uint64_t bytes)
{
    if (bytes > 0) {
        this->account->addTransit(this->upstream, bytes);
        this->size += bytes;
    }
}

void TransitCharge::clear()
{
    if (this->size > 0) {
        this->account->removeTransit(this->upstream, std::exchange(this->size, 0));
    }
}

} // namespace Verbenadock::Proxy::internal
