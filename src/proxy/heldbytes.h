#ifndef VERBENADOCK_PROXY_HELDBYTES_H
#define VERBENADOCK_PROXY_HELDBYTES_H

#include "verbenadock/base/endpoint.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace Verbenadock::Proxy::internal {

/// For whom bytes are held.
enum class HeldKind {
    /// Answers that are buffered, wait for their turn or are written.
    Callers,
    /// Request bodies that are buffered or written.
    Upstreams,
};

inline constexpr std::size_t HeldKindCount = 2;

/// Larger request bodies are refused while the limit is reached, smaller ones when it is exceeded by a quarter.
inline constexpr std::size_t SmallBodyBytes = 65536;

/// Largest sum of the request bodies that one upstream has from this process without having answered.
inline constexpr std::size_t MaxTransitBytes = 8388608;

/// Counts the bytes that the process holds for slow readers. Performs no I/O.
///
/// Usage: hold a HeldCharge or TransitCharge beside the bytes, and ask exhausted() and admitsTransit() before new work.
class HeldBytes
{
public:
    /// In bytes; 0 for no limit.
    void setLimit(std::size_t bytes);
    std::size_t limit() const;

    void add(HeldKind kind, std::size_t bytes);
    void remove(HeldKind kind, std::size_t bytes);
    std::size_t held(HeldKind kind) const;
    std::size_t total() const;

    /// Whether the limit is reached.
    bool exhausted() const;

    /// Whether a further request body of this size may be held; nothing stands for an unknown size.
    bool admitsBody(std::optional<std::uint64_t> bytes) const;

    /// Whether a body may be sent to the upstream beside those in transit. Small bodies, and one beside no other, may
    /// always be sent.
    bool admitsTransit(const Endpoint &upstream, std::uint64_t bytes) const;
    void addTransit(const Endpoint &upstream, std::uint64_t bytes);
    void removeTransit(const Endpoint &upstream, std::uint64_t bytes);
    std::uint64_t inTransit(const Endpoint &upstream) const;

private:
    std::size_t limitBytes = 0;
    std::array<std::size_t, HeldKindCount> heldByKind{};
    /// Only upstreams with bodies in transit.
    std::map<Endpoint, std::uint64_t> transit;
};

/// The bytes that one holder accounts for, until it is destroyed.
class HeldCharge
{
public:
    HeldCharge(std::shared_ptr<HeldBytes> charged, HeldKind chargedKind);
    ~HeldCharge();
    HeldCharge(const HeldCharge &) = delete;
    HeldCharge &operator=(const HeldCharge &) = delete;

    /// Replaces the previous number of bytes.
    void set(std::size_t bytes);

private:
    std::shared_ptr<HeldBytes> account;
    HeldKind kind;
    std::size_t size = 0;
};

/// The part of a request body that is in transit to an upstream, until it is cleared or destroyed.
class TransitCharge
{
public:
    TransitCharge(std::shared_ptr<HeldBytes> charged, Endpoint target);
    ~TransitCharge();
    TransitCharge(const TransitCharge &) = delete;
    TransitCharge &operator=(const TransitCharge &) = delete;

    void add(std::uint64_t bytes);
    void clear();

private:
    std::shared_ptr<HeldBytes> account;
    Endpoint upstream;
    std::uint64_t size = 0;
};

} // namespace Verbenadock::Proxy::internal

#endif
