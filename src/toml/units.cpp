#include "units.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <span>

namespace Verbenadock::Toml::internal {

namespace {

struct Unit
{
    std::string_view name;
    std::int64_t factor;
};

// In ascending order, as formatQuantity requires. Factors are in microseconds for durations and in bytes for sizes.
constexpr std::array DurationUnits{Unit{"us", 1},
                                   Unit{"ms", 1'000},
                                   Unit{"s", 1'000'000},
                                   Unit{"min", 60'000'000},
                                   Unit{"h", 3'600'000'000}};
constexpr std::array SizeUnits{Unit{"B", 1}, Unit{"KiB", 1 << 10}, Unit{"MiB", 1 << 20}, Unit{"GiB", 1 << 30}};

std::optional<std::int64_t> parseQuantity(std::string_view text, std::span<const Unit> units)
{
    std::int64_t amount = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, amount);
    if (error != std::errc() || amount < 0) {
        return std::nullopt;
    }
    std::string_view name(rest, end);
    if (name.starts_with(' ')) {
        name.remove_prefix(1);
    }
    for (const auto &unit : units) {
        if (unit.name == name && amount <= std::numeric_limits<std::int64_t>::max() / unit.factor) {
            return amount * unit.factor;
        }
    }
    return std::nullopt;
}

std::string formatQuantity(std::int64_t amount, std::span<const Unit> units)
{
    Unit largestFit = units.front();
    for (const auto &unit : units) {
        if (amount != 0 && amount % unit.factor == 0) {
            largestFit = unit;
        }
    }
    return std::to_string(amount / largestFit.factor) + " " + std::string(largestFit.name);
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto amount = parseQuantity(text, DurationUnits);
    return amount ? std::optional(Duration(*amount)) : std::nullopt;
}

std::optional<std::size_t> parseSize(std::string_view text)
{
    const auto amount = parseQuantity(text, SizeUnits);
    return amount ? std::optional(static_cast<std::size_t>(*amount)) : std::nullopt;
}

std::string formatDuration(const Duration &duration)
{
    return formatQuantity(duration.count(), DurationUnits);
}

std::string formatSize(const std::size_t &bytes)
{
    return formatQuantity(static_cast<std::int64_t>(bytes), SizeUnits);
}

} // namespace Verbenadock::Toml::internal
