#include "verbenadock/core/session.h"

#include "sessionfields.h"
#include "verbenadock/base/endpoint.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace Verbenadock::Core {

namespace {

using Json = nlohmann::ordered_json;
using Internal::FieldsOf;
using Internal::NameOf;

std::string_view nameOf(Bundles::Priority priority)
{
    constexpr std::array<std::string_view, 3> Names{"high", "normal", "low"};
    return Names.at(static_cast<std::size_t>(priority));
}

std::string_view nameOf(Bundles::Balancing balancing)
{
    constexpr std::array<std::string_view, 2> Names{"least-loaded", "even"};
    return Names.at(static_cast<std::size_t>(balancing));
}

std::string_view nameOf(Bundles::Sharing sharing)
{
    constexpr std::array<std::string_view, 2> Names{"by-arrival", "fair"};
    return Names.at(static_cast<std::size_t>(sharing));
}

std::string_view nameOf(AllowanceDecided::Decision decision)
{
    constexpr std::array<std::string_view, 3> Names{"granted", "over-cap", "unknown"};
    return Names.at(static_cast<std::size_t>(decision));
}

std::string_view nameOf(ConnectionPolicy policy)
{
    constexpr std::array<std::string_view, 3> Names{"reuse", "proven-alive", "fresh"};
    return Names.at(static_cast<std::size_t>(policy));
}

std::string_view nameOf(Health::Cause cause)
{
    return Health::toString(cause);
}

std::string_view nameOf(Health::HealthState state)
{
    return Health::toString(state);
}

std::string_view nameOf(Outcome outcome)
{
    return toString(outcome);
}

std::string_view nameOf(RejectionReason refusal)
{
    return toString(refusal);
}

// Last enumerators of the enumerations that can be parsed.
constexpr Bundles::Priority lastOf(Bundles::Priority /*type*/)
{
    return Bundles::Priority::Low;
}

constexpr Bundles::Balancing lastOf(Bundles::Balancing /*type*/)
{
    return Bundles::Balancing::Even;
}

constexpr Bundles::Sharing lastOf(Bundles::Sharing /*type*/)
{
    return Bundles::Sharing::Fair;
}

constexpr AllowanceDecided::Decision lastOf(AllowanceDecided::Decision /*type*/)
{
    return AllowanceDecided::Decision::Unknown;
}

constexpr Health::Cause lastOf(Health::Cause /*type*/)
{
    return Health::Cause::Cancelled;
}

template<typename Type>
struct IsVector : std::false_type
{
};
template<typename Element>
struct IsVector<std::vector<Element>> : std::true_type
{
};

template<typename Type>
constexpr bool isObject()
{
    return std::tuple_size_v<std::remove_cvref_t<decltype(FieldsOf<Type>)>> > 0;
}

template<typename Type>
Json write(const Type &value);

Json write(const std::shared_ptr<const Configuration> &value)
{
    return value ? write(*value) : Json(nullptr);
}

template<typename Type>
Json write(const std::optional<Type> &value)
{
    return value ? write(*value) : Json(nullptr);
}

template<typename Type>
void writeFields(Json &object, const Type &value)
{
    const Type defaults{};
    std::apply(
        [&](const auto &...fields) {
            [[maybe_unused]] const auto writeField = [&](const auto &field) {
                if (Internal::WritesDefaults<Type> || !(value.*field.member == defaults.*field.member)) {
                    object[field.name] = write(value.*field.member);
                }
            };
            (writeField(fields), ...);
        },
        FieldsOf<Type>);
}

template<typename... Alternatives>
Json writeVariant(const char *member, const std::variant<Alternatives...> &value)
{
    Json object = Json::object();
    std::visit(
        [&](const auto &alternative) {
            object[member] = NameOf<std::remove_cvref_t<decltype(alternative)>>;
            writeFields(object, alternative);
        },
        value);
    return object;
}

template<typename Type>
Json write(const Type &value)
{
    if constexpr (std::is_same_v<Type, StateChange>) {
        return writeVariant("kind", value);
    } else if constexpr (std::is_same_v<Type, Endpoint>) {
        return toString(value);
    } else if constexpr (std::is_same_v<Type, Duration>) {
        return value.count();
    } else if constexpr (std::is_same_v<Type, TimePoint>) {
        return value.time_since_epoch().count();
    } else if constexpr (std::is_enum_v<Type>) {
        return nameOf(value);
    } else if constexpr (IsVector<Type>::value) {
        Json array = Json::array();
        for (const auto &element : value) {
            array.push_back(write(element));
        }
        return array;
    } else if constexpr (isObject<Type>()) {
        Json object = Json::object();
        writeFields(object, value);
        return object;
    } else {
        return value;
    }
}

template<typename Type>
void read(const Json &json, Type &value);

void read(const Json &json, std::shared_ptr<const Configuration> &value)
{
    Configuration content;
    read(json, content);
    value = std::make_shared<const Configuration>(std::move(content));
}

template<typename Type>
void read(const Json &json, std::optional<Type> &value)
{
    read(json, value.emplace());
}

template<typename Type>
Type readEnumerator(const std::string &text)
{
    for (int number = 0; number <= static_cast<int>(lastOf(Type{})); ++number) {
        if (nameOf(static_cast<Type>(number)) == text) {
            return static_cast<Type>(number);
        }
    }
    throw SessionError("'" + text + "' is an unknown value");
}

template<typename Type>
void readFields(const Json &object, Type &value)
{
    std::apply(
        [&](const auto &...fields) {
            [[maybe_unused]] const auto readField = [&](const auto &field) {
                if (object.contains(field.name)) {
                    read(object.at(field.name), value.*field.member);
                }
            };
            (readField(fields), ...);
        },
        FieldsOf<Type>);
}

template<typename Type>
void read(const Json &json, Type &value)
{
    if constexpr (std::is_same_v<Type, Endpoint>) {
        value = parseEndpoint(json.get<std::string>());
    } else if constexpr (std::is_same_v<Type, Duration>) {
        value = Duration(json.get<Duration::rep>());
    } else if constexpr (std::is_same_v<Type, TimePoint>) {
        value = TimePoint(Duration(json.get<Duration::rep>()));
    } else if constexpr (std::is_enum_v<Type>) {
        value = readEnumerator<Type>(json.get<std::string>());
    } else if constexpr (IsVector<Type>::value) {
        for (const auto &element : json) {
            read(element, value.emplace_back());
        }
    } else if constexpr (isObject<Type>()) {
        readFields(json, value);
    } else {
        json.get_to(value);
    }
}

template<std::size_t Index = 0>
Event readEvent(const std::string &name, const Json &json)
{
    if constexpr (Index < std::variant_size_v<Event>) {
        using Alternative = std::variant_alternative_t<Index, Event>;
        if (name != NameOf<Alternative>) {
            return readEvent<Index + 1>(name, json);
        }
        Alternative event;
        readFields(json, event);
        return event;
    } else {
        throw SessionError("'" + name + "' is an unknown event");
    }
}

/// Parses the line, calls the function, and converts errors of the JSON and base libraries to SessionError.
template<typename Function>
auto withSessionErrors(std::string_view line, Function function)
{
    try {
        return function(Json::parse(line));
    } catch (const nlohmann::json::exception &error) {
        throw SessionError("'" + std::string(line) + "' is not a valid session line: " + error.what());
    } catch (const SessionError &) {
        throw;
    } catch (const Error &error) {
        throw SessionError(error.what());
    }
}

} // namespace

std::string toJsonLine(const ReducerSettings &settings)
{
    return Json{{"settings", write(settings)}}.dump();
}

std::string toJsonLine(const Event &event)
{
    return writeVariant("event", event).dump();
}

std::string toJsonLine(const Effect &effect)
{
    return writeVariant("effect", effect).dump();
}

bool isEventLine(std::string_view line)
{
    const auto json = Json::parse(line, nullptr, false);
    return json.is_object() && json.contains("event");
}

ReducerSettings parseSettings(std::string_view line)
{
    return withSessionErrors(line, [](const Json &json) {
        ReducerSettings settings;
        readFields(json.at("settings"), settings);
        return settings;
    });
}

Event parseEvent(std::string_view line)
{
    return withSessionErrors(line, [](const Json &json) {
        return readEvent(json.at("event").get<std::string>(), json);
    });
}

} // namespace Verbenadock::Core
