#include "uuid.h"

#include <cstddef>
#include <cstdint>

namespace Verbenadock::Keys::Internal {

namespace {

constexpr std::size_t TextLength = 36;
constexpr std::size_t VersionPosition = 14;
constexpr std::size_t VariantPosition = 19;
/// Digits of the 48-bit timestamp, counted without the separator.
constexpr std::size_t TimestampDigits = 12;

int digitValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = static_cast<char>(digit | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool isSeparator(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

} // namespace

std::optional<WallTime> uuidTime(std::string_view text)
{
    if (text.size() != TextLength || text[VersionPosition] != '7') {
        return std::nullopt;
    }
    std::int64_t timestamp = 0;
    std::size_t digits = 0;
    for (std::size_t position = 0; position < TextLength; ++position) {
        if (isSeparator(position)) {
            if (text[position] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int value = digitValue(text[position]);
        if (value < 0) {
            return std::nullopt;
        }
        if (digits++ < TimestampDigits) {
            timestamp = timestamp * 16 + value;
        }
    }
    // The variant bits of RFC 9562 are 10.
    if ((digitValue(text[VariantPosition]) & 0xc) != 0x8) {
        return std::nullopt;
    }
    return WallTime(std::chrono::milliseconds(timestamp));
}

} // namespace Verbenadock::Keys::Internal
