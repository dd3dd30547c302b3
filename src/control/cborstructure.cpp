#include "cborstructure.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Verbenadock::Control::internal {

namespace {

// The most deeply nested message (an evidence report with counts) has seven levels.
constexpr unsigned MaxDepth = 12;

enum MajorType : unsigned {
    Unsigned = 0,
    Negative = 1,
    Bytes = 2,
    Text = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
    Simple = 7,
};

class Scanner
{
public:
    explicit Scanner(std::string_view input)
        : remaining(input)
    {
    }

    bool atEnd() const
    {
        return this->remaining.empty();
    }

    // NOLINTNEXTLINE(misc-no-recursion): bounded by MaxDepth
    bool skipItem(unsigned depth)
    {
        if (depth > MaxDepth || this->remaining.empty()) {
            return false;
        }
        const auto initial = static_cast<unsigned char>(this->remaining.front());
        this->remaining.remove_prefix(1);
        const unsigned major = initial >> 5U;
        const auto argument = this->readArgument(initial & 0x1FU);
        if (!argument) {
            return false;
        }
        switch (major) {
        case Unsigned:
        case Negative:
        case Simple:
            return true;
        case Bytes:
        case Text:
            return this->skipBytes(*argument);
        case Array:
            return this->skipItems(*argument, depth);
        case Map:
            return *argument <= UINT64_MAX / 2 && this->skipItems(*argument * 2, depth);
        default:
            return false;
        }
    }

private:
    // Values 24 to 27 mean an argument of 1, 2, 4 or 8 bytes; 31 means an indefinite length, which is not accepted.
    std::optional<std::uint64_t> readArgument(unsigned additionalInformation)
    {
        constexpr unsigned FirstMultiByte = 24;
        constexpr unsigned LastMultiByte = 27;
        if (additionalInformation < FirstMultiByte) {
            return additionalInformation;
        }
        if (additionalInformation > LastMultiByte) {
            return std::nullopt;
        }
        const std::size_t length = std::size_t{1} << (additionalInformation - FirstMultiByte);
        if (this->remaining.size() < length) {
            return std::nullopt;
        }
        std::uint64_t value = 0;
        for (std::size_t index = 0; index < length; ++index) {
            value = value << 8U | static_cast<unsigned char>(this->remaining[index]);
        }
        this->remaining.remove_prefix(length);
        return value;
    }

    bool skipBytes(std::uint64_t length)
    {
        if (this->remaining.size() < length) {
            return false;
        }
        this->remaining.remove_prefix(length);
        return true;
    }

    // NOLINTNEXTLINE(misc-no-recursion): bounded by MaxDepth
    bool skipItems(std::uint64_t count, unsigned depth)
    {
        // Every item takes at least one byte, so a larger count is invalid.
        if (count > this->remaining.size()) {
            return false;
        }
        for (std::uint64_t index = 0; index < count; ++index) {
            if (!this->skipItem(depth + 1)) {
                return false;
            }
        }
        return true;
    }

    std::string_view remaining;
};

} // namespace

bool isPlainCbor(std::string_view bytes)
{
    Scanner scanner(bytes);
    return scanner.skipItem(0) && scanner.atEnd();
}

} // namespace Verbenadock::Control::internal
