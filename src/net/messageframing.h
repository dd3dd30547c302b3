#ifndef VERBENADOCK_NET_MESSAGEFRAMING_H
#define VERBENADOCK_NET_MESSAGEFRAMING_H

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace Verbenadock::Net::internal {

/// Splits a byte stream into messages. Each message is preceded by its length as a 32-bit big-endian integer.
class MessageReader
{
public:
    explicit MessageReader(std::size_t messageLimitBytes);

    /// Calls `onMessage` for each complete message until the handler returns false. Returns false when a message
    /// exceeds the limit or the handler returned false.
    bool append(std::string_view bytes, const std::function<bool(std::string_view)> &onMessage);

private:
    std::size_t maxMessageBytes;
    std::string buffer;
};

/// Queue of outgoing messages, each with its length prefix.
class MessageQueue
{
public:
    void push(std::string message);

    /// Moves up to `size` bytes to `target` and returns their number.
    std::size_t take(char *target, std::size_t size);

    std::size_t bytes() const;

private:
    std::deque<std::string> chunks;
    std::size_t offset = 0;
    std::size_t total = 0;
};

} // namespace Verbenadock::Net::internal

#endif
