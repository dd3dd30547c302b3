#ifndef VERBENADOCK_TEST_PROXY_TESTSOCKET_H
#define VERBENADOCK_TEST_PROXY_TESTSOCKET_H

#include "verbenadock/base/endpoint.h"

#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Testing {

/// State of the receiving side of a stream.
enum class StreamEnd {
    Open,
    Closed,
    Reset,
};

/// An HTTP message as received by the test.
struct ReceivedMessage
{
    std::string head;
    std::string body;
    /// False if the stream ended before the end of the body.
    bool complete = false;
    StreamEnd end = StreamEnd::Open;

    unsigned status() const;
    /// Value of the field, or nothing. The name is case-sensitive.
    std::optional<std::string> field(std::string_view name) const;
    bool hasField(std::string_view name) const;
};

/// A blocking TCP connection. Each wait for bytes is limited to 10 s.
class TestSocket
{
public:
    explicit TestSocket(int descriptor);
    explicit TestSocket(const Endpoint &peer);
    ~TestSocket();
    TestSocket(TestSocket &&other) noexcept;
    TestSocket(const TestSocket &) = delete;
    TestSocket &operator=(const TestSocket &) = delete;

    /// Sends all data. Returns false if the connection is closed or broken.
    bool send(std::string_view data);

    /// Sends as much as possible without blocking. Returns the number of bytes sent.
    std::size_t sendSome(std::string_view data);

    /// Appends the next bytes to `input`. Returns false at the end of the stream; throws std::runtime_error on timeout.
    bool receive();

    /// Reads one message; without its body if headOnly is set, as for answers to HEAD.
    ReceivedMessage readMessage(bool headOnly = false);

    /// Reads only the head of a message.
    std::string readHead();

    /// Drops all bytes until the peer closes or resets the connection.
    StreamEnd waitForEnd();

    /// Whether the peer has closed or reset the connection. Does not block.
    bool peerClosed() const;

    /// Whether the peer has closed or reset the connection, also behind unread bytes. Does not block.
    bool hungUp() const;

    void closeSending();
    /// Ends both directions, also for a thread that sends or receives.
    void shutDown();
    void reset();
    void close();

    std::string input;

private:
    bool readLength(ReceivedMessage &message, std::size_t length);
    bool readChunks(ReceivedMessage &message);

    int descriptor = -1;
    StreamEnd state = StreamEnd::Open;
};

} // namespace Verbenadock::Testing

#endif
