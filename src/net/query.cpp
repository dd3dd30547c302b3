#include "verbenadock/net/query.h"

#include "verbenadock/net/error.h"

#include <algorithm>
#include <charconv>

namespace Verbenadock::Net {

namespace {

constexpr std::size_t EncodedDigits = 2;
constexpr int Hexadecimal = 16;

bool isUnreserved(char letter)
{
    const bool isLetter = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    const bool isDigit = letter >= '0' && letter <= '9';
    return isLetter || isDigit || letter == '-' || letter == '.' || letter == '_' || letter == '~';
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] != '%') {
            decoded += text[position];
            continue;
        }
        const auto digits = text.substr(position + 1, EncodedDigits);
        unsigned char byte = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, Hexadecimal);
        if (digits.size() != EncodedDigits || error != std::errc() || end != digits.data() + digits.size()) {
            throw NetError("the query has an invalid percent-encoding");
        }
        decoded += static_cast<char>(byte);
        position += EncodedDigits;
    }
    return decoded;
}

} // namespace

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr unsigned BitsPerDigit = 4;
    std::string encoded;
    for (const char letter : text) {
        if (isUnreserved(letter)) {
            encoded += letter;
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        encoded += '%';
        encoded += Digits[byte >> BitsPerDigit];
        encoded += Digits[byte % Hexadecimal];
    }
    return encoded;
}

std::map<std::string, std::string> queryParameters(std::string_view target)
{
    std::map<std::string, std::string> parameters;
    const auto mark = target.find('?');
    auto rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto parameter = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
        const auto equals = std::min(parameter.size(), parameter.find('='));
        const auto value = parameter.substr(std::min(parameter.size(), equals + 1));
        parameters.emplace(percentDecode(parameter.substr(0, equals)), percentDecode(value));
    }
    return parameters;
}

} // namespace Verbenadock::Net
