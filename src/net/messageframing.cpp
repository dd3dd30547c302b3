#include "messageframing.h"

#include <algorithm>
#include <cstdint>

namespace Verbenadock::Net::internal {

namespace {

constexpr std::size_t LengthBytes = 4;

std::size_t decodeLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < LengthBytes; ++index) {
        length = length << 8U | static_cast<unsigned char>(bytes[index]);
    }
    return length;
}

std::string encodeLength(std::size_t length)
{
    std::string bytes(LengthBytes, '\0');
    for (std::size_t index = 0; index < LengthBytes; ++index) {
        bytes[LengthBytes - 1 - index] = static_cast<char>(length >> (8 * index) & 0xFFU);
    }
    return bytes;
}

} // namespace

MessageReader::MessageReader(std::size_t messageLimitBytes)
    : maxMessageBytes(messageLimitBytes)
{
}

bool MessageReader::append(std::string_view bytes, const std::function<bool(std::string_view)> &onMessage)
{
    // Memory is allocated only for received bytes, never for a length that the peer merely announces.
    this->buffer.append(bytes);
    std::string_view rest = this->buffer;
    while (rest.size() >= LengthBytes) {
        const std::size_t length = decodeLength(rest);
        if (length > this->maxMessageBytes) {
            return false;
        }
        if (rest.size() - LengthBytes < length) {
            break;
        }
        if (!onMessage(rest.substr(LengthBytes, length))) {
            return false;
        }
        rest.remove_prefix(LengthBytes + length);
    }
    this->buffer.erase(0, this->buffer.size() - rest.size());
    if (this->buffer.empty()) {
        // Releases the memory of a large message, which would otherwise be held until the stream closes.
        this->buffer.shrink_to_fit();
    }
    return true;
}

void MessageQueue::push(std::string message)
{
    this->total += LengthBytes + message.size();
    this->chunks.push_back(encodeLength(message.size()));
    if (!message.empty()) {
        this->chunks.push_back(std::move(message));
    }
}

std::size_t MessageQueue::take(char *target, std::size_t size)
{
    std::size_t taken = 0;
    while (taken < size && !this->chunks.empty()) {
        const auto &chunk = this->chunks.front();
        const std::size_t part = std::min(size - taken, chunk.size() - this->offset);
        std::copy_n(chunk.data() + this->offset, part, target + taken);
        taken += part;
        this->offset += part;
        if (this->offset == chunk.size()) {
            this->chunks.pop_front();
            this->offset = 0;
        }
    }
    this->total -= taken;
    return taken;
}

std::size_t MessageQueue::bytes() const
{
    return this->total;
}

} // namespace Verbenadock::Net::internal
