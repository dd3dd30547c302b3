#ifndef VERBENADOCK_TELEMETRY_BOUNDEDOUTPUT_H
#define VERBENADOCK_TELEMETRY_BOUNDEDOUTPUT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Verbenadock::Telemetry {

/// Lines on their way to a file descriptor. Writing never waits for a reader: lines that do not fit are counted and
/// left out, and a line that says how many follows when there is room again.
class BoundedOutput
{
public:
    /// Keeps at most this number of bytes.
    BoundedOutput(int outputDescriptor, std::size_t mostBytes);

    /// The line has its line end.
    void append(std::string_view line);

    /// Writes what the descriptor takes now.
    void flush();

    /// Lines that were left out since the start.
    std::uint64_t dropped() const;

private:
    int descriptor;
    std::size_t limit;
    std::string pending;
    std::uint64_t droppedLines = 0;
    std::uint64_t unreported = 0;
};

} // namespace Verbenadock::Telemetry

#endif
