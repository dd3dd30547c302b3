#ifndef VERBENADOCK_TEST_PROXY_TESTSOCKET_H
#define VERBENADOCK_TEST_PROXY_TESTSOCKET_H

#include "verbenadock/base/endpoint.h"

#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Testing {

/// How a stream of bytes ended.
enum class StreamEnd {
    Open,
    Closed,
    Reset,
};

/// One HTTP message as the test received it.
struct ReceivedMessage
{
    std::string head;
    std::string body;
    /// False when the stream ended before the announced end of the body.
    bool complete = false;
    StreamEnd end = StreamEnd::Open;

    unsigned status() const;
    /// Value of a field, or nothing. Names are compared exactly.
    std::optional<std::string> field(std::string_view name) const;
    bool hasField(std::string_view name) const;
};

/// A blocking TCP connection with a limit on each wait.
class TestSocket
{
public:
    explicit TestSocket(int descriptor);
    explicit TestSocket(const Endpoint &peer);
    ~TestSocket();
    TestSocket(TestSocket &&other) noexcept;
    TestSocket(const TestSocket &) = delete;
    TestSocket &operator=(const TestSocket &) = delete;

    /// Returns false when the peer is gone.
    bool send(std::string_view data);

    /// Sends as much as fits without waiting.
    std::size_t sendSome(std::string_view data);

    /// Appends the next bytes to the input; false at the end of the stream.
    bool receive();

    /// Reads one message. The body is omitted for answers to HEAD.
    ReceivedMessage readMessage(bool headOnly = false);

    /// Reads only the head of a message.
    std::string readHead();

    /// Waits until the peer closes or resets; drops all bytes.
    StreamEnd waitForEnd();

    /// Whether the peer closed the connection already.
    bool peerClosed() const;

    void closeSending();
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
