#ifndef VERBENADOCK_NET_HTTP2SESSION_H
#define VERBENADOCK_NET_HTTP2SESSION_H

#include "messageframing.h"

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Verbenadock::Net::internal {

/// HTTP/2 protocol state of one message stream, independent of the socket.
///
/// Usage: pass received bytes to receive(). After each call of receive() or send(), write the result of nextOutput()
/// to the socket until that result is empty. A session must not be used after a failure.
class Http2Session
{
public:
    enum class Role {
        Client,
        Server,
    };

    struct Handlers
    {
        std::function<void()> onOpen;
        /// Returns false to stop processing.
        std::function<bool(std::string_view)> onMessage;
    };

    Http2Session(Role sessionRole, std::size_t maxMessageBytes, Handlers sessionHandlers);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /// Returns false on a protocol error; failure() returns the reason.
    bool receive(std::string_view bytes);

    void send(std::string message);

    /// Bytes to write next, valid until the next call; empty when there is no output. A protocol error sets failure().
    std::string_view nextOutput();

    bool isOpen() const;
    /// True after the stream ended or the peer sent GOAWAY.
    bool finished() const;
    const std::string &failure() const;
    std::size_t queuedBytes() const;

private:
    static ssize_t readBody(nghttp2_session *session,
                            std::int32_t stream,
                            std::uint8_t *target,
                            std::size_t size,
                            std::uint32_t *flags,
                            nghttp2_data_source *source,
                            void *user);
    static int onHeader(nghttp2_session *session,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameLength,
                        const std::uint8_t *value,
                        std::size_t valueLength,
                        std::uint8_t flags,
                        void *user);
    static int onFrame(nghttp2_session *session, const nghttp2_frame *frame, void *user);
    static int onData(nghttp2_session *session,
                      std::uint8_t flags,
                      std::int32_t stream,
                      const std::uint8_t *data,
                      std::size_t length,
                      void *user);
    static int onStreamClosed(nghttp2_session *session, std::int32_t stream, std::uint32_t error, void *user);

    void createSession();
    void submitSettings();
    void submitRequest();
    int acceptHeaders(std::int32_t stream);
    int submitResponse();
    int fail(std::string reason);
    void check(int result, const char *operation);

    Role role;
    Handlers handlers;
    MessageReader reader;
    MessageQueue queue;
    std::unique_ptr<nghttp2_session, decltype(&nghttp2_session_del)> session{nullptr, &nghttp2_session_del};
    std::int32_t streamId = 0;
    std::string method;
    std::string path;
    std::string status;
    std::string failureReason;
    bool open = false;
    bool ended = false;
    /// True while nghttp2 has suspended the body until nghttp2_session_resume_data() is called.
    bool deferred = false;
};

} // namespace Verbenadock::Net::internal

#endif
