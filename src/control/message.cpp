#include "verbenadock/control/message.h"

#include "cborstructure.h"
#include "messagefields.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>

namespace Verbenadock::Control {

namespace {

using Json = nlohmann::json;
using internal::describe;

// Indexed by the position of the alternative in Message.
constexpr std::array<const char *, std::variant_size_v<Message>> TypeNames
    = {"hi", "cd", "br", "bt", "cu", "er", "hv", "lu", "hb", "ha", "ip", "ia",
       "dn", "ke", "kr", "km", "kf", "ka", "kh", "kc", "fq", "fr", "ho"};

template<typename Enum>
constexpr Enum LastEnumerator = Enum{};
template<>
constexpr PeerRole LastEnumerator<PeerRole> = PeerRole::Entry;
template<>
constexpr MemberState LastEnumerator<MemberState> = MemberState::Dead;
template<>
constexpr Health::Cause LastEnumerator<Health::Cause> = Health::Cause::Cancelled;
template<>
constexpr KeyAnswerKind LastEnumerator<KeyAnswerKind> = KeyAnswerKind::NotOwner;
template<>
constexpr Keys::FenceVerdict LastEnumerator<Keys::FenceVerdict> = Keys::FenceVerdict::Refused;

class Encoder
{
public:
    template<typename Value>
    void operator()(const char *name, const Value &value)
    {
        this->object[name] = toJson(value);
    }

    Json object = Json::object();

private:
    static Json toJson(const std::string &value)
    {
        return value;
    }

    static Json toJson(Duration value)
    {
        return static_cast<std::uint64_t>(std::max<Duration::rep>(value.count(), 0));
    }

    template<typename Value>
    static Json toJson(const std::vector<Value> &values)
    {
        Json array = Json::array();
        for (const auto &value : values) {
            array.push_back(toJson(value));
        }
        return array;
    }

    // Encodes an absent value as an empty array.
    template<typename Value>
    static Json toJson(const std::optional<Value> &value)
    {
        return value ? Json::array({toJson(*value)}) : Json::array();
    }

    static Json toJson(const std::pair<std::string, std::string> &value)
    {
        return Json::array({value.first, value.second});
    }

    // Encodes the pairs as one flat array: cause, count, cause, count.
    static Json toJson(const std::map<Health::Cause, std::uint32_t> &counts)
    {
        Json array = Json::array();
        for (const auto &[cause, count] : counts) {
            array.push_back(toJson(cause));
            array.push_back(count);
        }
        return array;
    }

    template<typename Value>
    static Json toJson(const Value &value)
    {
        if constexpr (std::is_enum_v<Value>) {
            return static_cast<std::uint64_t>(value);
        } else if constexpr (std::is_arithmetic_v<Value>) {
            return value;
        } else {
            Encoder nested;
            describe(nested, value);
            return std::move(nested.object);
        }
    }
};

class Decoder
{
public:
    explicit Decoder(const Json &source)
        : object(source)
    {
        if (!source.is_object()) {
            throw MessageError("an object is expected, not " + std::string(source.type_name()));
        }
    }

    template<typename Value>
    void operator()(const char *name, Value &value)
    {
        const auto found = this->object.find(name);
        if (found == this->object.end()) {
            throw MessageError("member '" + std::string(name) + "' is missing");
        }
        fromJson(*found, value);
    }

private:
    [[noreturn]] static void throwUnexpectedType(const Json &source, const char *expected)
    {
        throw MessageError(std::string(expected) + " is expected, not " + source.type_name());
    }

    static std::uint64_t toNumber(const Json &source, std::uint64_t limit)
    {
        if (!source.is_number_unsigned()) {
            throwUnexpectedType(source, "an unsigned number");
        }
        const auto number = source.get<std::uint64_t>();
        if (number > limit) {
            throw MessageError("number " + std::to_string(number) + " exceeds " + std::to_string(limit));
        }
        return number;
    }

    static void fromJson(const Json &source, std::string &value)
    {
        if (!source.is_string()) {
            throwUnexpectedType(source, "a string");
        }
        value = source.get_ref<const std::string &>();
    }

    static void fromJson(const Json &source, bool &value)
    {
        if (!source.is_boolean()) {
            throwUnexpectedType(source, "a boolean");
        }
        value = source.get<bool>();
    }

    static void fromJson(const Json &source, Duration &value)
    {
        value = Duration(static_cast<Duration::rep>(toNumber(source, std::numeric_limits<Duration::rep>::max())));
    }

    template<typename Value>
    static void fromJson(const Json &source, std::vector<Value> &values)
    {
        if (!source.is_array()) {
            throwUnexpectedType(source, "an array");
        }
        values.resize(source.size());
        for (std::size_t index = 0; index < source.size(); ++index) {
            fromJson(source[index], values[index]);
        }
    }

    template<typename Value>
    static void fromJson(const Json &source, std::optional<Value> &value)
    {
        if (!source.is_array() || source.size() > 1) {
            throwUnexpectedType(source, "an array of at most one value");
        }
        if (!source.empty()) {
            fromJson(source[0], value.emplace());
        }
    }

    static void fromJson(const Json &source, std::pair<std::string, std::string> &value)
    {
        if (!source.is_array() || source.size() != 2) {
            throwUnexpectedType(source, "an array of two strings");
        }
        fromJson(source[0], value.first);
        fromJson(source[1], value.second);
    }

    static void fromJson(const Json &source, std::map<Health::Cause, std::uint32_t> &counts)
    {
        if (!source.is_array() || source.size() % 2 != 0) {
            throwUnexpectedType(source, "an array of even length");
        }
        for (std::size_t index = 0; index < source.size(); index += 2) {
            Health::Cause cause{};
            std::uint32_t count = 0;
            fromJson(source[index], cause);
            fromJson(source[index + 1], count);
            if (!counts.emplace(cause, count).second) {
                throw MessageError("duplicate cause in counts");
            }
        }
    }

    template<typename Value>
    static void fromJson(const Json &source, Value &value)
    {
        if constexpr (std::is_enum_v<Value>) {
            value = static_cast<Value>(toNumber(source, static_cast<std::uint64_t>(LastEnumerator<Value>)));
        } else if constexpr (std::is_unsigned_v<Value>) {
            value = static_cast<Value>(toNumber(source, std::numeric_limits<Value>::max()));
        } else {
            Decoder nested(source);
            describe(nested, value);
        }
    }

    const Json &object;
};

template<std::size_t index = 0>
Message decodeBody(const Json &object, const std::string &type)
{
    if constexpr (index == std::variant_size_v<Message>) {
        throw MessageError("unknown message type '" + type.substr(0, 32) + "'");
    } else {
        if (type != TypeNames[index]) {
            return decodeBody<index + 1>(object, type);
        }
        std::variant_alternative_t<index, Message> message;
        Decoder decoder(object);
        describe(decoder, message);
        return message;
    }
}

} // namespace

std::string encode(const Message &message)
{
    Encoder encoder;
    encoder("type", std::string(TypeNames[message.index()]));
    std::visit(
        [&encoder](const auto &body) {
            describe(encoder, body);
        },
        message);
    std::string bytes;
    Json::to_cbor(encoder.object, bytes);
    return bytes;
}

Message decode(std::string_view bytes)
{
    // Checked first, since the JSON library recurses for each nested item and chunk; hostile input could overflow the
    // stack.
    if (!internal::isPlainCbor(bytes)) {
        throw MessageError("the input is not a single CBOR item of definite length and bounded depth");
    }
    const Json object = Json::from_cbor(bytes, true, false);
    if (object.is_discarded()) {
        throw MessageError("the input is not valid CBOR");
    }
    std::string type;
    Decoder decoder(object);
    decoder("type", type);
    return decodeBody(object, type);
}

} // namespace Verbenadock::Control
