#include "httpparser.h"

#include <algorithm>

namespace Verbenadock::Proxy::internal {

namespace {

char toLower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A')) : character;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool isControl(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return (byte < 0x20 && byte != '\t') || byte == 0x7f;
}

} // namespace

HeadState HeadScanner::scan(std::string_view bytes, std::size_t limit)
{
    while (this->position < bytes.size()) {
        if (this->position >= limit) {
            return HeadState::TooLarge;
        }
        const char character = bytes[this->position];
        if (!isControl(character)) {
            const bool startsLine = this->position == this->lineStart && this->lineStart > 0;
            if (startsLine && (character == ' ' || character == '\t')) {
                return HeadState::ObsoleteFold;
            }
            ++this->position;
            continue;
        }
        if (character == '\r' && this->position + 1 == bytes.size()) {
            return HeadState::Incomplete;
        }
        const auto state = this->scanLineEnd(bytes);
        if (state != HeadState::Incomplete) {
            return state;
        }
    }
    return HeadState::Incomplete;
}

HeadState HeadScanner::scanLineEnd(std::string_view bytes)
{
    if (bytes.substr(this->position, 2) != "\r\n") {
        return HeadState::BadCharacter;
    }
    const bool emptyLine = this->position == this->lineStart;
    this->position += 2;
    this->lineStart = this->position;
    return emptyLine ? HeadState::Complete : HeadState::Incomplete;
}

bool mayBeginAnswer(std::string_view bytes)
{
    constexpr std::string_view Version = "HTTP/1.";
    return Version.starts_with(bytes.substr(0, Version.size()));
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
               return toLower(a) == toLower(b);
           });
}

bool hasToken(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (equalsIgnoringCase(trimmed(list.substr(0, comma)), token)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

} // namespace Verbenadock::Proxy::internal
