#include "verbenadock/telemetry/boundedoutput.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace Verbenadock::Telemetry {

namespace {

// Collecting several lines before a write saves system calls.
constexpr std::size_t FlushBytes = 4096;
// A pipe that poll() reports as writable accepts this many bytes without blocking.
constexpr std::size_t MaxWriteBytes = PIPE_BUF;

bool isWritable(int descriptor)
{
    pollfd request{.fd = descriptor, .events = POLLOUT, .revents = 0};
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

BoundedOutput::BoundedOutput(int outputDescriptor, std::size_t maxBytes)
    : descriptor(outputDescriptor)
    , limit(maxBytes)
{
}

void BoundedOutput::append(std::string_view line)
{
    if (this->pending.size() + line.size() > this->limit) {
        this->flush();
    }
    if (this->pending.size() + line.size() > this->limit) {
        ++this->droppedLines;
        ++this->unreportedDrops;
        return;
    }
    if (this->unreportedDrops > 0) {
        this->pending.append("log_lines_dropped count=").append(std::to_string(this->unreportedDrops)).append("\n");
        this->unreportedDrops = 0;
    }
    this->pending.append(line);
    if (this->pending.size() >= FlushBytes) {
        this->flush();
    }
}

void BoundedOutput::flush()
{
    // Polling is used instead of O_NONBLOCK, which would also affect other programs that share the descriptor.
    while (!this->pending.empty() && isWritable(this->descriptor)) {
        const auto written
            = ::write(this->descriptor, this->pending.data(), std::min(this->pending.size(), MaxWriteBytes));
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
