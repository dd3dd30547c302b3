#include "wording.h"

#include <algorithm>
#include <cctype>

namespace Verbenadock::Toml::internal {

namespace {

constexpr std::size_t MaxNameLength = 64;

} // namespace

std::string_view typeNameOf(const Value &value)
{
    return std::visit(
        []<typename Type>(const Type &) {
            return TypeName<Type>;
        },
        value.content);
}

std::string wrongTypeMessage(std::string_view expected, const Value &value)
{
    return "expected " + std::string(expected) + ", not " + std::string(typeNameOf(value));
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const auto &name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

bool isName(std::string_view text)
{
    const auto valid = [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '.' || character == '-' || character == '_';
    };
    return !text.empty() && text.size() <= MaxNameLength && std::ranges::all_of(text, valid);
}

} // namespace Verbenadock::Toml::internal
