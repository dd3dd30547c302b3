#ifndef VERBENADOCK_PROXY_ANNOUNCEMENT_H
#define VERBENADOCK_PROXY_ANNOUNCEMENT_H

#include "httpparser.h"
#include "verbenadock/base/time.h"
#include "verbenadock/proxy/dialect.h"

#include <compare>
#include <optional>
#include <string_view>
#include <vector>

namespace Verbenadock::Proxy::internal {

/// Longest pause that an upstream can ask for.
inline constexpr Duration MaxPause = std::chrono::hours(1);

/// What an upstream announces about itself in the head of an answer.
struct Announcement
{
    /// The upstream is leaving.
    bool leaving = false;
    /// The upstream wants no requests from this entry for this time; zero for none.
    Duration pause{0};

    auto operator<=>(const Announcement &) const = default;
};

/// A reason why a field was not taken as it stands.
enum class AnnouncementError {
    UnknownLeavingValue,
    RepeatedPause,
    /// The pause is no number of seconds, such as a date or a negative number.
    PauseNotInSeconds,
    /// The pause is longer than MaxPause, which applies instead.
    PauseTooLong,
};

inline constexpr std::size_t AnnouncementErrorCount = static_cast<std::size_t>(AnnouncementError::PauseTooLong) + 1;

std::string_view toString(AnnouncementError error);

struct AnnouncementReading
{
    Announcement announcement;
    std::vector<AnnouncementError> errors;

    auto operator<=>(const AnnouncementReading &) const = default;
};

/// Reads the announcements in the fields of an answer with this status.
AnnouncementReading readAnnouncement(const std::vector<Field> &fields, unsigned status, const Dialect &dialect);

} // namespace Verbenadock::Proxy::internal

#endif
