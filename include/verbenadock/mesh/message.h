#ifndef VERBENADOCK_MESH_MESSAGE_H
#define VERBENADOCK_MESH_MESSAGE_H

#include "verbenadock/base/time.h"
#include "verbenadock/health/sample.h"
#include "verbenadock/mesh/upstreamnumber.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Verbenadock::Mesh {

/// A VM says that it is there.
struct Hello
{
    std::string vm;
    std::string address;
    std::string dataCentre;
    /// Milliseconds since 1970.
    std::uint64_t incarnation = 0;
    /// What the VM has of a core.
    std::uint64_t processorPercent = 0;

    auto operator<=>(const Hello &) const = default;
};

/// A VM stops; it needs no more messages.
struct Goodbye
{
    std::string vm;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Goodbye &) const = default;
};

/// The outcome of a request at an upstream.
struct OutcomeSeen
{
    std::string vm;
    std::string service;
    std::string upstream;
    Health::Cause cause = Health::Cause::ServerError;
    /// See Health::Sample::early.
    bool early = false;
    /// Time from the outcome to the sending of this message.
    Duration age{0};

    auto operator<=>(const OutcomeSeen &) const = default;
};

/// A VM that reads the store says how far it has read. It is sent to the VMs of the own data centre only.
struct StoreHeartbeat
{
    std::string vm;
    /// Offsets after the newest records that it knows.
    std::uint64_t configurationEnd = 0;
    std::uint64_t upstreamsEnd = 0;
    /// Whether the store answered its last calls. Without that it may still know something that others do not.
    bool fresh = true;

    auto operator<=>(const StoreHeartbeat &) const = default;
};

/// Requests at one upstream.
struct UpstreamRequests
{
    UpstreamNumber upstream = 0;
    std::uint64_t inFlight = 0;

    auto operator<=>(const UpstreamRequests &) const = default;
};

/// How many requests a VM has at upstreams of one data centre. It goes to the VMs that report for that data centre.
struct VmLoads
{
    std::string vm;
    std::vector<UpstreamRequests> loads;

    auto operator<=>(const VmLoads &) const = default;
};

/// A VM took an attempt from the reserve that all VMs share.
struct ReserveUse
{
    std::string vm;
    std::string service;

    auto operator<=>(const ReserveUse &) const = default;
};

/// How busy a service's upstreams in one data centre are.
struct ServicePercent
{
    std::string service;
    /// Requests in flight per hundred slots.
    std::uint64_t percent = 0;

    auto operator<=>(const ServicePercent &) const = default;
};

/// How busy the upstreams in the sender's data centre are. It is sent to the VMs of the others, by the VM that reports
/// for its data centre.
struct DataCentreLoads
{
    std::string vm;
    std::string dataCentre;
    std::vector<ServicePercent> services;

    auto operator<=>(const DataCentreLoads &) const = default;
};

/// Requests of all VMs at upstreams of a data centre. It goes from the VM that reports for a data centre to the VMs
/// beside it and to those that report for others, and from these to the VMs beside them.
struct UpstreamLoads
{
    std::string vm;
    std::string dataCentre;
    std::vector<UpstreamRequests> loads;

    auto operator<=>(const UpstreamLoads &) const = default;
};

/// A record of the store as it was written.
struct StoreRecord
{
    std::uint64_t offset = 0;
    std::string data;

    auto operator<=>(const StoreRecord &) const = default;
};

/// New records of a topic of the store, all from one offset up to another. It is sent to the VMs of the own data centre
/// by those that read the store.
struct StoreRecords
{
    std::string vm;
    std::string topic;
    std::uint64_t from = 0;
    std::uint64_t end = 0;
    std::vector<StoreRecord> records;

    auto operator<=>(const StoreRecords &) const = default;
};

using Message = std::variant<Hello,
                             Goodbye,
                             OutcomeSeen,
                             StoreHeartbeat,
                             VmLoads,
                             ReserveUse,
                             DataCentreLoads,
                             UpstreamLoads,
                             StoreRecords>;

/// One datagram. Its numbers and texts have fixed places, because most of the fleet's own traffic is such messages.
std::string encode(const Message &message);

/// Nothing for bytes that are no message of this version.
std::optional<Message> decode(std::string_view datagram);

} // namespace Verbenadock::Mesh

#endif
