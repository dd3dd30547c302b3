#include "prometheus.h"

#include <array>
#include <charconv>
#include <cmath>

namespace Verbenadock::Telemetry::internal {

std::string escaped(std::string_view text, bool escapeQuotationMarks)
{
    std::string result;
    for (const char character : text) {
        if (character == '\\') {
            result += "\\\\";
        } else if (character == '\n') {
            result += "\\n";
        } else if (character == '"' && escapeQuotationMarks) {
            result += "\\\"";
        } else {
            result += character;
        }
    }
    return result;
}

std::string labelText(const Labels &labels)
{
    if (labels.empty()) {
        return {};
    }
    std::string result;
    for (const auto &[name, value] : labels) {
        result += (result.empty() ? "{" : ",") + name + "=\"" + escaped(value, true) + "\"";
    }
    return result + "}";
}

std::string numberText(double number)
{
    if (std::isinf(number)) {
        return number > 0 ? "+Inf" : "-Inf";
    }
    if (std::isnan(number)) {
        return "NaN";
    }
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    return {buffer.data(), result.ptr};
}

} // namespace Verbenadock::Telemetry::internal
