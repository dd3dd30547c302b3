#ifndef VERBENADOCK_MESH_MESSAGE_H
#define VERBENADOCK_MESH_MESSAGE_H

#include "verbenadock/base/storeposition.h"
#include "verbenadock/base/time.h"
#include "verbenadock/health/sample.h"
#include "verbenadock/mesh/customernumber.h"
#include "verbenadock/mesh/upstreamnumber.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Verbenadock::Mesh {

/// Announces a VM to the fleet.
struct Hello
{
    std::string vm;
    std::string address;
    std::string dataCentre;
    /// Milliseconds since 1970.
    std::uint64_t incarnation = 0;
    /// Processor share of the VM in percent of a core.
    std::uint64_t processorPercent = 0;

    auto operator<=>(const Hello &) const = default;
};

/// Announces that a VM stops; no further messages are sent to it.
struct Goodbye
{
    std::string vm;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Goodbye &) const = default;
};

/// The outcome of a request at an upstream.
struct OutcomeReport
{
    std::string vm;
    std::string service;
    std::string upstream;
    Health::Cause cause = Health::Cause::ServerError;
    /// See Health::Sample::early.
    bool early = false;
    /// Time between the outcome and the sending of this message.
    Duration age{0};

    auto operator<=>(const OutcomeReport &) const = default;
};

/// Heartbeat of a VM that reads the store, with the offsets up to which it has read. Sent within the data centre only.
struct StoreHeartbeat
{
    std::string vm;
    /// Positions after the newest records that the sender has.
    StorePosition configurationEnd;
    StorePosition upstreamsEnd;
    /// Whether the store answered the last calls of the sender. A sender without answers may still have records that
    /// other VMs lack.
    bool fresh = true;

    auto operator<=>(const StoreHeartbeat &) const = default;
};

/// Requests in flight at one upstream.
struct UpstreamRequests
{
    UpstreamNumber upstream = 0;
    std::uint64_t inFlight = 0;

    auto operator<=>(const UpstreamRequests &) const = default;
};

/// Requests in flight of a VM at upstreams of one data centre. Sent to the hubs of the own data centre or to the first
/// hub of another one.
struct VmLoads
{
    std::string vm;
    std::vector<UpstreamRequests> loads;

    auto operator<=>(const VmLoads &) const = default;
};

/// A VM took an attempt from the fleet reserve.
struct ReserveUse
{
    std::string vm;
    std::string service;

    auto operator<=>(const ReserveUse &) const = default;
};

/// Load of the upstreams of a service in one data centre.
struct ServicePercent
{
    std::string service;
    /// Requests in flight per hundred slots.
    std::uint64_t percent = 0;

    auto operator<=>(const ServicePercent &) const = default;
};

/// Load of the upstreams in the sender's data centre. Sent by its first hub to the VMs of other data centres.
struct DataCentreLoads
{
    std::string vm;
    std::string dataCentre;
    std::vector<ServicePercent> services;

    auto operator<=>(const DataCentreLoads &) const = default;
};

/// Requests of all VMs in flight at upstreams of a data centre. Sent by its first hub to the VMs of the same data
/// centre and to the first hubs of other data centres, which forward it to the VMs of theirs.
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

/// New records of a topic of the store, without gaps between the offsets `from` and `end`. Sent within the data centre
/// by the VMs that read the store.
struct StoreRecords
{
    std::string vm;
    std::string topic;
    /// Era of the offsets (StorePosition).
    std::uint64_t era = 0;
    std::uint64_t from = 0;
    std::uint64_t end = 0;
    std::vector<StoreRecord> records;

    auto operator<=>(const StoreRecords &) const = default;
};

/// The newest record of a key, compressed. Takes the place of StoreRecords where older records of the key are of no
/// use.
struct StoreRecordPatch
{
    std::string topic;
    /// Era of the offsets (StorePosition).
    std::uint64_t era = 0;
    std::uint64_t offset = 0;
    /// Offset up to which the sender has read the topic.
    std::uint64_t end = 0;
    /// Offset of an earlier record that is needed to restore this one; empty if none is.
    std::optional<std::uint64_t> base;
    /// Compressed bytes of the record as it was written.
    std::string data;

    auto operator<=>(const StoreRecordPatch &) const = default;
};

/// Parts of a VM's share of every cap, in thousandths. See Allowance::AllowancePool for the two kinds of customers.
struct AllowanceParts
{
    /// For customers whose cap is small for the number of VMs.
    std::uint64_t small = 0;
    std::uint64_t large = 0;

    auto operator<=>(const AllowanceParts &) const = default;
};

/// A VM lends parts of its share of the customers' caps to the receiving hub. Replaces its earlier loan to this hub.
struct AllowanceLoan
{
    std::string vm;
    /// Incarnation of the sender (Hello); a loan of an earlier process of the VM does not replace one of a later.
    std::uint64_t incarnation = 0;
    AllowanceParts parts;
    /// Changes when the hub shall add initial tokens for these parts, as for the first loan of a process; zero for
    /// none.
    std::uint64_t credit = 0;

    auto operator<=>(const AllowanceLoan &) const = default;
};

/// A VM asks a hub for a token of a customer.
struct AllowanceRequest
{
    std::string vm;
    /// Identifies the request in the answer.
    std::uint64_t number = 0;
    CustomerNumber customer = 0;

    auto operator<=>(const AllowanceRequest &) const = default;
};

/// Answer of a hub to AllowanceRequest.
struct AllowanceGrant
{
    std::string vm;
    std::uint64_t number = 0;
    CustomerNumber customer = 0;
    /// Zero for a refusal.
    std::uint64_t tokens = 0;
    /// Time until the hub has a token again; zero in a refusal of a hub that holds no part of the cap.
    Duration retryAfter{0};

    auto operator<=>(const AllowanceGrant &) const = default;
};

using Message = std::variant<Hello,
                             Goodbye,
                             OutcomeReport,
                             StoreHeartbeat,
                             VmLoads,
                             ReserveUse,
                             DataCentreLoads,
                             UpstreamLoads,
                             StoreRecords,
                             AllowanceLoan,
                             AllowanceRequest,
                             AllowanceGrant,
                             StoreRecordPatch>;

/// Encodes a message as one datagram. The fields have fixed positions instead of names to keep the messages small,
/// because they are most of the traffic within the fleet.
std::string encode(const Message &message);

/// Empty for a datagram that is not a valid message of this format version.
std::optional<Message> decode(std::string_view datagram);

} // namespace Verbenadock::Mesh

#endif
