#include "verbenadock/mesh/message.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>
#include <vector>

namespace Verbenadock::Mesh {

namespace {

using Json = nlohmann::json;

// Incremented with each change of the format, so that VMs of different releases ignore each other's messages. A new
// kind of message is no change: earlier releases ignore it.
constexpr int FormatVersion = 10;
constexpr std::size_t MaxTextBytes = 128;
constexpr std::uint64_t MaxInFlight = 1'000'000;
constexpr std::uint64_t MaxParts = 1000;
constexpr auto MaxAge = std::chrono::minutes(1);

enum class Kind {
    Hello = 1,
    Goodbye = 2,
    OutcomeReport = 3,
    StoreHeartbeat = 4,
    VmLoads = 5,
    ReserveUse = 6,
    DataCentreLoads = 7,
    UpstreamLoads = 8,
    StoreRecords = 9,
    AllowanceLoan = 10,
    AllowanceRequest = 11,
    AllowanceGrant = 12,
    StoreRecordPatch = 13,
};

Json fields(const Hello &hello)
{
    return Json::array({FormatVersion,
                        static_cast<int>(Kind::Hello),
                        hello.vm,
                        hello.address,
                        hello.dataCentre,
                        hello.incarnation,
                        hello.processorPercent});
}

Json fields(const Goodbye &goodbye)
{
    return Json::array({FormatVersion, static_cast<int>(Kind::Goodbye), goodbye.vm, goodbye.incarnation});
}

Json fields(const OutcomeReport &outcome)
{
    return Json::array({FormatVersion,
                        static_cast<int>(Kind::OutcomeReport),
                        outcome.vm,
                        outcome.service,
                        outcome.upstream,
                        static_cast<int>(outcome.cause),
                        outcome.early ? 1 : 0,
                        outcome.age.count()});
}

Json fields(const StoreHeartbeat &heartbeat)
{
    return Json::array({FormatVersion,
                        static_cast<int>(Kind::StoreHeartbeat),
                        heartbeat.vm,
                        heartbeat.configurationEnd.era,
                        heartbeat.configurationEnd.offset,
                        heartbeat.upstreamsEnd.era,
                        heartbeat.upstreamsEnd.offset,
                        heartbeat.fresh ? 1 : 0});
}

void appendLoads(Json &json, const std::vector<UpstreamRequests> &loads)
{
    for (const auto &load : loads) {
        json.push_back(load.upstream);
        json.push_back(load.inFlight);
    }
}

Json fields(const VmLoads &loads)
{
    auto json = Json::array({FormatVersion, static_cast<int>(Kind::VmLoads), loads.vm});
    appendLoads(json, loads.loads);
    return json;
}

Json fields(const ReserveUse &use)
{
    return Json::array({FormatVersion, static_cast<int>(Kind::ReserveUse), use.vm, use.service});
}

Json fields(const DataCentreLoads &loads)
{
    auto json = Json::array({FormatVersion, static_cast<int>(Kind::DataCentreLoads), loads.vm, loads.dataCentre});
    for (const auto &service : loads.services) {
        json.push_back(service.service);
        json.push_back(service.percent);
    }
    return json;
}

Json fields(const UpstreamLoads &loads)
{
    auto json = Json::array({FormatVersion, static_cast<int>(Kind::UpstreamLoads), loads.vm, loads.dataCentre});
    appendLoads(json, loads.loads);
    return json;
}

Json fields(const StoreRecords &records)
{
    auto json = Json::array({FormatVersion,
                             static_cast<int>(Kind::StoreRecords),
                             records.vm,
                             records.topic,
                             records.era,
                             records.from,
                             records.end});
    for (const auto &record : records.records) {
        json.push_back(record.offset);
        json.push_back(Json::binary({record.data.begin(), record.data.end()}));
    }
    return json;
}

Json fields(const AllowanceLoan &loan)
{
    return Json::array({FormatVersion,
                        static_cast<int>(Kind::AllowanceLoan),
                        loan.vm,
                        loan.incarnation,
                        loan.parts.small,
                        loan.parts.large,
                        loan.credit});
}

Json fields(const AllowanceRequest &request)
{
    return Json::array(
        {FormatVersion, static_cast<int>(Kind::AllowanceRequest), request.vm, request.number, request.customer});
}

Json fields(const AllowanceGrant &grant)
{
    return Json::array({FormatVersion,
                        static_cast<int>(Kind::AllowanceGrant),
                        grant.vm,
                        grant.number,
                        grant.customer,
                        grant.tokens,
                        static_cast<std::uint64_t>(grant.retryAfter.count())});
}

Json fields(const StoreRecordPatch &patch)
{
    return Json::array({FormatVersion,
                        static_cast<int>(Kind::StoreRecordPatch),
                        patch.topic,
                        patch.era,
                        patch.offset,
                        patch.end,
                        patch.base ? 1 : 0,
                        patch.base.value_or(0),
                        Json::binary({patch.data.begin(), patch.data.end()})});
}

/// Reads the fields in order. A missing field or a field of the wrong type makes the whole message invalid.
class FieldReader
{
public:
    explicit FieldReader(const Json &message)
        : json(message)
    {
    }

    std::string text()
    {
        const auto *value = this->next();
        const bool usable
            = value != nullptr && value->is_string() && value->get_ref<const std::string &>().size() <= MaxTextBytes;
        this->valid = this->valid && usable;
        return usable ? value->get<std::string>() : std::string();
    }

    std::string bytes()
    {
        const auto *value = this->next();
        this->valid = this->valid && value != nullptr && value->is_binary();
        return this->valid ? std::string(value->get_binary().begin(), value->get_binary().end()) : std::string();
    }

    std::uint64_t number(std::uint64_t max)
    {
        const auto *value = this->next();
        const bool usable = value != nullptr && value->is_number_unsigned() && value->get<std::uint64_t>() <= max;
        this->valid = this->valid && usable;
        return usable ? value->get<std::uint64_t>() : 0;
    }

    /// Up to MaxAge.
    Duration duration()
    {
        return Duration(static_cast<Duration::rep>(
            this->number(static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(MaxAge).count()))));
    }

    /// Whether the message is valid so far and has further fields.
    bool hasMore() const
    {
        return this->valid && this->position < this->json.size();
    }

    bool isComplete() const
    {
        return this->valid && this->position == this->json.size();
    }

private:
    const Json *next()
    {
        return this->position < this->json.size() ? &this->json[this->position++] : nullptr;
    }

    const Json &json;
    std::size_t position = 0;
    bool valid = true;
};

void read(FieldReader &reader, Hello &hello)
{
    hello.vm = reader.text();
    hello.address = reader.text();
    hello.dataCentre = reader.text();
    hello.incarnation = reader.number(UINT64_MAX);
    hello.processorPercent = reader.number(UINT64_MAX);
}

void read(FieldReader &reader, Goodbye &goodbye)
{
    goodbye.vm = reader.text();
    goodbye.incarnation = reader.number(UINT64_MAX);
}

void read(FieldReader &reader, OutcomeReport &outcome)
{
    outcome.vm = reader.text();
    outcome.service = reader.text();
    outcome.upstream = reader.text();
    outcome.cause = static_cast<Health::Cause>(reader.number(static_cast<std::uint64_t>(Health::Cause::Cancelled)));
    outcome.early = reader.number(1) == 1;
    outcome.age = reader.duration();
}

StorePosition readPosition(FieldReader &reader)
{
    const auto era = reader.number(UINT64_MAX);
    return {.era = era, .offset = reader.number(UINT64_MAX)};
}

void read(FieldReader &reader, StoreHeartbeat &heartbeat)
{
    heartbeat.vm = reader.text();
    heartbeat.configurationEnd = readPosition(reader);
    heartbeat.upstreamsEnd = readPosition(reader);
    heartbeat.fresh = reader.number(1) == 1;
}

std::vector<UpstreamRequests> readLoads(FieldReader &reader)
{
    std::vector<UpstreamRequests> loads;
    while (reader.hasMore()) {
        const auto upstream = reader.number(UINT64_MAX);
        loads.push_back({.upstream = upstream, .inFlight = reader.number(MaxInFlight)});
    }
    return loads;
}

void read(FieldReader &reader, VmLoads &loads)
{
    loads.vm = reader.text();
    loads.loads = readLoads(reader);
}

void read(FieldReader &reader, ReserveUse &use)
{
    use.vm = reader.text();
    use.service = reader.text();
}

void read(FieldReader &reader, DataCentreLoads &loads)
{
    loads.vm = reader.text();
    loads.dataCentre = reader.text();
    while (reader.hasMore()) {
        auto service = reader.text();
        loads.services.push_back({.service = std::move(service), .percent = reader.number(MaxInFlight)});
    }
}

void read(FieldReader &reader, UpstreamLoads &loads)
{
    loads.vm = reader.text();
    loads.dataCentre = reader.text();
    loads.loads = readLoads(reader);
}

void read(FieldReader &reader, StoreRecords &records)
{
    records.vm = reader.text();
    records.topic = reader.text();
    records.era = reader.number(UINT64_MAX);
    records.from = reader.number(UINT64_MAX);
    records.end = reader.number(UINT64_MAX);
    while (reader.hasMore()) {
        StoreRecord record;
        record.offset = reader.number(UINT64_MAX);
        record.data = reader.bytes();
        records.records.push_back(std::move(record));
    }
}

void read(FieldReader &reader, AllowanceLoan &loan)
{
    loan.vm = reader.text();
    loan.incarnation = reader.number(UINT64_MAX);
    loan.parts.small = reader.number(MaxParts);
    loan.parts.large = reader.number(MaxParts);
    loan.credit = reader.number(UINT64_MAX);
}

void read(FieldReader &reader, AllowanceRequest &request)
{
    request.vm = reader.text();
    request.number = reader.number(UINT64_MAX);
    request.customer = reader.number(UINT64_MAX);
}

void read(FieldReader &reader, AllowanceGrant &grant)
{
    grant.vm = reader.text();
    grant.number = reader.number(UINT64_MAX);
    grant.customer = reader.number(UINT64_MAX);
    grant.tokens = reader.number(MaxInFlight);
    grant.retryAfter = reader.duration();
}

void read(FieldReader &reader, StoreRecordPatch &patch)
{
    patch.topic = reader.text();
    patch.era = reader.number(UINT64_MAX);
    patch.offset = reader.number(UINT64_MAX);
    patch.end = reader.number(UINT64_MAX);
    const bool hasBase = reader.number(1) == 1;
    const auto base = reader.number(UINT64_MAX);
    patch.base = hasBase ? std::optional(base) : std::nullopt;
    patch.data = reader.bytes();
}

template<typename Type>
Message readAs(FieldReader &reader)
{
    Type specific;
    read(reader, specific);
    return specific;
}

std::optional<Message> readKind(FieldReader &reader, Kind kind)
{
    switch (kind) {
    case Kind::Hello:
        return readAs<Hello>(reader);
    case Kind::Goodbye:
        return readAs<Goodbye>(reader);
    case Kind::OutcomeReport:
        return readAs<OutcomeReport>(reader);
    case Kind::StoreHeartbeat:
        return readAs<StoreHeartbeat>(reader);
    case Kind::VmLoads:
        return readAs<VmLoads>(reader);
    case Kind::ReserveUse:
        return readAs<ReserveUse>(reader);
    case Kind::DataCentreLoads:
        return readAs<DataCentreLoads>(reader);
    case Kind::UpstreamLoads:
        return readAs<UpstreamLoads>(reader);
    case Kind::StoreRecords:
        return readAs<StoreRecords>(reader);
    case Kind::AllowanceLoan:
        return readAs<AllowanceLoan>(reader);
    case Kind::AllowanceRequest:
        return readAs<AllowanceRequest>(reader);
    case Kind::AllowanceGrant:
        return readAs<AllowanceGrant>(reader);
    case Kind::StoreRecordPatch:
        return readAs<StoreRecordPatch>(reader);
    }
    return std::nullopt;
}

std::optional<Message> readFields(const Json &json)
{
    FieldReader reader(json);
    if (reader.number(FormatVersion) != FormatVersion) {
        return std::nullopt;
    }
    const auto kind = static_cast<Kind>(reader.number(static_cast<std::uint64_t>(Kind::StoreRecordPatch)));
    auto message = readKind(reader, kind);
    return reader.isComplete() ? message : std::nullopt;
}

} // namespace

std::string encode(const Message &message)
{
    const auto json = std::visit(
        [](const auto &specific) {
            return fields(specific);
        },
        message);
    const auto bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

std::optional<Message> decode(std::string_view datagram)
{
    try {
        const auto json = Json::from_cbor(datagram.begin(), datagram.end(), true, false);
        return json.is_array() ? readFields(json) : std::nullopt;
    } catch (const Json::exception &) {
        // from_cbor() throws for an array whose announced length exceeds the memory, even with exceptions disabled.
        return std::nullopt;
    }
}

} // namespace Verbenadock::Mesh
