#include "announcement.h"

#include <charconv>
#include <cmath>
#include <variant>

namespace Verbenadock::Proxy::internal {

namespace {

constexpr unsigned ServiceUnavailable = 503;

/// Parses a number of seconds, which may have a fraction.
std::variant<Duration, AnnouncementError> parsePause(std::string_view text)
{
    using Seconds = std::chrono::duration<double>;
    double seconds = 0;
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    const bool isNumber = rest == end && (error == std::errc() || error == std::errc::result_out_of_range);
    if (!isNumber || std::signbit(seconds) || !std::isfinite(seconds)) {
        return AnnouncementError::PauseNotInSeconds;
    }
    // A number may also be too small to be represented, which is no pause.
    const bool isLarge = text.substr(0, text.find('.')).find_first_not_of('0') != std::string_view::npos;
    const bool isOverflow = error == std::errc::result_out_of_range && isLarge;
    if (isOverflow || Seconds(seconds) > MaxPause) {
        return AnnouncementError::PauseTooLong;
    }
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

void readLeaving(AnnouncementReading &reading, std::string_view value, const Dialect &dialect)
{
    if (dialect.leavingValue.empty() ? !equalsIgnoringCase(value, "false") : value == dialect.leavingValue) {
        reading.announcement.leaving = true;
    } else if (!dialect.leavingValue.empty()) {
        reading.errors.push_back(AnnouncementError::UnknownLeavingValue);
    }
}

void readPause(AnnouncementReading &reading, std::string_view value)
{
    const auto pause = parsePause(value);
    if (const auto *duration = std::get_if<Duration>(&pause)) {
        reading.announcement.pause = *duration;
        return;
    }
    const auto error = std::get<AnnouncementError>(pause);
    reading.errors.push_back(error);
    if (error == AnnouncementError::PauseTooLong) {
        reading.announcement.pause = MaxPause;
    }
}

} // namespace

std::string_view toString(AnnouncementError error)
{
    switch (error) {
    case AnnouncementError::UnknownLeavingValue:
        return "unknown-leaving-value";
    case AnnouncementError::RepeatedPause:
        return "repeated-pause";
    case AnnouncementError::PauseNotInSeconds:
        return "pause-not-in-seconds";
    case AnnouncementError::PauseTooLong:
        return "pause-too-long";
    }
    return "unknown";
}

AnnouncementReading readAnnouncement(const std::vector<Field> &fields, unsigned status, const Dialect &dialect)
{
    AnnouncementReading reading;
    const bool mayPause = dialect.pausesByRetryAfter && status == ServiceUnavailable;
    unsigned pauseFields = 0;
    for (const auto &field : fields) {
        if (field.name == http::field::retry_after) {
            pauseFields += mayPause ? 1 : 0;
            if (pauseFields == 1) {
                readPause(reading, field.value);
            }
        } else if (!dialect.leaving.empty() && equalsIgnoringCase(field.nameText, dialect.leaving)) {
            readLeaving(reading, field.value, dialect);
        }
    }
    if (pauseFields > 1) {
        reading
            = {.announcement = {.leaving = reading.announcement.leaving}, .errors = {AnnouncementError::RepeatedPause}};
    }
    return reading;
}

} // namespace Verbenadock::Proxy::internal
