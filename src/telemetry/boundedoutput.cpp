#include "verbenadock/telemetry/boundedoutput.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace Verbenadock::Telemetry {

namespace {

// Several lines share a system call.
constexpr std::size_t FlushBytes = 4096;
// A pipe that is writable takes this much without blocking.
constexpr std::size_t PieceBytes = PIPE_BUF;

bool isWritable(int descriptor)
{
    pollfd request{.fd = descriptor, .events = POLLOUT, .revents = 0};
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

BoundedOutput::BoundedOutput(int outputDescriptor, std::size_t mostBytes)
    : descriptor(outputDescriptor)
    , limit(mostBytes)
{
}

void BoundedOutput::append(std::string_view line)
{
    if (this->pending.size() + line.size() > this->limit) {
        this->flush();
    }
    if (this->pending.size() + line.size() > this->limit) {
        ++this->droppedLines;
        ++this->unreported;
        return;
    }
    if (this->unreported > 0) {
        this->pending.append("log_lines_dropped count=").append(std::to_string(this->unreported)).append("\n");
        this->unreported = 0;
    }
    this->pending.append(line);
    if (this->pending.size() >= FlushBytes) {
        this->flush();
    }
}

void BoundedOutput::flush()
{
    // The descriptor may be shared with other programs, so that it is not made non-blocking itself.
    while (!this->pending.empty() && isWritable(this->descriptor)) {
        const auto written
            = ::write(this->descriptor, this->pending.data(), std::min(this->pending.size(), PieceBytes));
        if (written <= 0) {
            return;
        }
        this->pending.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t BoundedOutput::dropped() const
{
    return this->droppedLines;
}

} // namespace Verbenadock::Telemetry
