#ifndef VERBENADOCK_TELEMETRY_BOUNDEDOUTPUT_H
#define VERBENADOCK_TELEMETRY_BOUNDEDOUTPUT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Verbenadock::Telemetry {

/// Writes lines to a file descriptor through a buffer of bounded size, without ever blocking. Lines that do not fit are
/// dropped and counted; a line with their number is inserted once there is space again.
class BoundedOutput
{
public:
    /// Buffers at most maxBytes.
    BoundedOutput(int outputDescriptor, std::size_t maxBytes);

    /// The line must end with a line feed.
    void append(std::string_view line);

    /// Writes as much as the descriptor accepts without blocking.
    void flush();

    /// Number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    int descriptor;
    std::size_t limit;
    std::string pending;
    std::uint64_t droppedLines = 0;
    std::uint64_t unreportedDrops = 0;
};

} // namespace Verbenadock::Telemetry

#endif
