#ifndef VERBENADOCK_NET_MESSAGEFRAMING_H
#define VERBENADOCK_NET_MESSAGEFRAMING_H

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace Verbenadock::Net::internal {

/// Cuts a sequence of bytes into messages, each behind its length as four big-endian bytes.
class MessageReader
{
public:
    /// The limit is the largest length of a message in bytes.
    explicit MessageReader(std::size_t limit);

    /// Calls the handler for each complete message for as long as it returns true. Returns false when a message is
    /// too long or the handler returned false.
    bool append(std::string_view bytes, const std::function<bool(std::string_view)> &onMessage);

private:
    std::size_t maxMessageBytes;
    std::string buffer;
};

/// Messages that wait to be written, with their lengths in front.
class MessageQueue
{
public:
    void push(std::string message);

    /// Copies and removes up to `size` bytes.
    std::size_t take(char *target, std::size_t size);

    std::size_t bytes() const;

private:
    std::deque<std::string> chunks;
    std::size_t offset = 0;
    std::size_t total = 0;
};

} // namespace Verbenadock::Net::internal

#endif
