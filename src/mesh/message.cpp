#include "verbenadock/mesh/message.h"

#include <nlohmann/json.hpp>

#include <array>
#include <vector>

namespace Verbenadock::Mesh {

namespace {

using Json = nlohmann::json;

// Rises with each change of the format, so that VMs of two releases ignore each other's messages.
constexpr int FormatVersion = 3;
constexpr std::size_t LongestText = 128;
constexpr std::uint64_t MostInFlight = 1'000'000;
constexpr auto LongestAge = std::chrono::minutes(1);

enum class Kind {
    Hello = 1,
    Goodbye = 2,
    OutcomeSeen = 3,
    StoreHeartbeat = 4,
    LoadSeen = 5,
    ReserveUse = 6,
    DataCentreLoad = 7,
};

Json fields(const Hello &hello)
{
    return Json::array(
        {FormatVersion, static_cast<int>(Kind::Hello), hello.vm, hello.address, hello.dataCentre, hello.incarnation});
}

Json fields(const Goodbye &goodbye)
{
    return Json::array({FormatVersion, static_cast<int>(Kind::Goodbye), goodbye.vm, goodbye.incarnation});
}

Json fields(const OutcomeSeen &outcome)
{
    return Json::array({FormatVersion,
                        static_cast<int>(Kind::OutcomeSeen),
                        outcome.vm,
                        outcome.service,
                        outcome.upstream,
                        static_cast<int>(outcome.cause),
                        outcome.age.count()});
}

Json fields(const StoreHeartbeat &heartbeat)
{
    return Json::array({FormatVersion,
                        static_cast<int>(Kind::StoreHeartbeat),
                        heartbeat.vm,
                        heartbeat.configurationEnd,
                        heartbeat.upstreamsEnd,
                        heartbeat.fresh ? 1 : 0});
}

Json fields(const LoadSeen &load)
{
    return Json::array(
        {FormatVersion, static_cast<int>(Kind::LoadSeen), load.vm, load.service, load.upstream, load.inFlight});
}

Json fields(const ReserveUse &use)
{
    return Json::array({FormatVersion, static_cast<int>(Kind::ReserveUse), use.vm, use.service});
}

Json fields(const DataCentreLoad &load)
{
    return Json::array(
        {FormatVersion, static_cast<int>(Kind::DataCentreLoad), load.dataCentre, load.service, load.percent});
}

/// Reads the fields in turn; a field of another type makes the whole message invalid.
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
            = value != nullptr && value->is_string() && value->get_ref<const std::string &>().size() <= LongestText;
        this->valid = this->valid && usable;
        return usable ? value->get<std::string>() : std::string();
    }

    std::uint64_t number(std::uint64_t most)
    {
        const auto *value = this->next();
        const bool usable = value != nullptr && value->is_number_unsigned() && value->get<std::uint64_t>() <= most;
        this->valid = this->valid && usable;
        return usable ? value->get<std::uint64_t>() : 0;
    }

    bool finished() const
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

std::optional<Message> readFields(const Json &json)
{
    FieldReader reader(json);
    if (reader.number(FormatVersion) != FormatVersion) {
        return std::nullopt;
    }
    std::optional<Message> message;
    switch (static_cast<Kind>(reader.number(static_cast<std::uint64_t>(Kind::DataCentreLoad)))) {
    case Kind::Hello: {
        Hello hello;
        hello.vm = reader.text();
        hello.address = reader.text();
        hello.dataCentre = reader.text();
        hello.incarnation = reader.number(UINT64_MAX);
        message = hello;
        break;
    }
    case Kind::Goodbye: {
        Goodbye goodbye;
        goodbye.vm = reader.text();
        goodbye.incarnation = reader.number(UINT64_MAX);
        message = goodbye;
        break;
    }
    case Kind::OutcomeSeen: {
        OutcomeSeen outcome;
        outcome.vm = reader.text();
        outcome.service = reader.text();
        outcome.upstream = reader.text();
        outcome.cause = static_cast<Health::Cause>(reader.number(static_cast<std::uint64_t>(Health::Cause::Cancelled)));
        outcome.age = Duration(static_cast<Duration::rep>(
            reader.number(static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(LongestAge).count()))));
        message = outcome;
        break;
    }
    case Kind::StoreHeartbeat: {
        StoreHeartbeat heartbeat;
        heartbeat.vm = reader.text();
        heartbeat.configurationEnd = reader.number(UINT64_MAX);
        heartbeat.upstreamsEnd = reader.number(UINT64_MAX);
        heartbeat.fresh = reader.number(1) == 1;
        message = heartbeat;
        break;
    }
    case Kind::LoadSeen: {
        LoadSeen load;
        load.vm = reader.text();
        load.service = reader.text();
        load.upstream = reader.text();
        load.inFlight = reader.number(MostInFlight);
        message = load;
        break;
    }
    case Kind::ReserveUse: {
        ReserveUse use;
        use.vm = reader.text();
        use.service = reader.text();
        message = use;
        break;
    }
    case Kind::DataCentreLoad: {
        DataCentreLoad load;
        load.dataCentre = reader.text();
        load.service = reader.text();
        load.percent = reader.number(MostInFlight);
        message = load;
        break;
    }
    }
    return reader.finished() ? message : std::nullopt;
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
    const auto json = Json::from_cbor(datagram.begin(), datagram.end(), true, false);
    return json.is_array() ? readFields(json) : std::nullopt;
}

} // namespace Verbenadock::Mesh
