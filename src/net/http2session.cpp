#include "http2session.h"

#include <array>

namespace Verbenadock::Net::internal {

namespace {

constexpr std::string_view MessagePath = "/verbenadock/messages";

// Lets a large bundle arrive within one or two round trips; the default window of 64 KiB would need hundreds.
constexpr std::int32_t WindowBytes = 1 << 20;

nghttp2_nv headerField(std::string_view name, std::string_view value)
{
    // nghttp2 copies names and values, so casting away const is safe.
    return {.name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            .value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())),
            .namelen = name.size(),
            .valuelen = value.size(),
            .flags = NGHTTP2_NV_FLAG_NONE};
}

} // namespace

Http2Session::Http2Session(Role sessionRole, std::size_t maxMessageBytes, Handlers sessionHandlers)
    : role(sessionRole)
    , handlers(std::move(sessionHandlers))
    , reader(maxMessageBytes)
{
    this->createSession();
    this->submitSettings();
    if (this->role == Role::Client) {
        this->submitRequest();
    }
}

Http2Session::~Http2Session() = default;

void Http2Session::createSession()
{
    nghttp2_session_callbacks *raw = nullptr;
    this->check(nghttp2_session_callbacks_new(&raw), "callbacks");
    const std::unique_ptr<nghttp2_session_callbacks, decltype(&nghttp2_session_callbacks_del)> callbacks(
        raw, &nghttp2_session_callbacks_del);
    nghttp2_session_callbacks_set_on_header_callback(raw, &Http2Session::onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(raw, &Http2Session::onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(raw, &Http2Session::onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(raw, &Http2Session::onStreamClosed);
    nghttp2_session *created = nullptr;
    const int result = this->role == Role::Client ? nghttp2_session_client_new(&created, raw, this)
                                                  : nghttp2_session_server_new(&created, raw, this);
    this->check(result, "session");
    this->session.reset(created);
}

void Http2Session::submitSettings()
{
    const std::array<nghttp2_settings_entry, 3> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(WindowBytes)},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    this->check(nghttp2_submit_settings(this->session.get(), NGHTTP2_FLAG_NONE, settings.data(), settings.size()),
                "settings");
    this->check(nghttp2_session_set_local_window_size(this->session.get(), NGHTTP2_FLAG_NONE, 0, WindowBytes),
                "window");
}

void Http2Session::submitRequest()
{
    const std::array<nghttp2_nv, 4> fields{headerField(":method", "POST"),
                                           headerField(":scheme", "http"),
                                           headerField(":authority", "verbenadock"),
                                           headerField(":path", MessagePath)};
    nghttp2_data_provider body{};
    body.read_callback = &Http2Session::readBody;
    this->streamId = nghttp2_submit_request(this->session.get(), nullptr, fields.data(), fields.size(), &body, nullptr);
    this->check(this->streamId, "request");
}

bool Http2Session::receive(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    const ssize_t result = nghttp2_session_mem_recv(this->session.get(), data, bytes.size());
    if (result < 0) {
        this->fail(nghttp2_strerror(static_cast<int>(result)));
    }
    return this->failureReason.empty();
}

void Http2Session::send(std::string message)
{
    this->queue.push(std::move(message));
    if (this->deferred) {
        this->deferred = false;
        this->check(nghttp2_session_resume_data(this->session.get(), this->streamId), "resume");
    }
}

std::string_view Http2Session::nextOutput()
{
    const std::uint8_t *data = nullptr;
    const ssize_t length = nghttp2_session_mem_send(this->session.get(), &data);
    if (length < 0) {
        this->fail(nghttp2_strerror(static_cast<int>(length)));
        return {};
    }
    // nghttp2 stops reading and writing after it has sent GOAWAY for a protocol violation.
    if (length == 0 && nghttp2_session_want_read(this->session.get()) == 0
        && nghttp2_session_want_write(this->session.get()) == 0 && !this->ended) {
        this->fail("the HTTP/2 session was terminated");
    }
    return {reinterpret_cast<const char *>(data), static_cast<std::size_t>(length)};
}

bool Http2Session::isOpen() const
{
    return this->open;
}

bool Http2Session::finished() const
{
    return this->ended;
}

const std::string &Http2Session::failure() const
{
    return this->failureReason;
}

std::size_t Http2Session::queuedBytes() const
{
    return this->queue.bytes();
}

ssize_t Http2Session::readBody(nghttp2_session * /*session*/,
                               std::int32_t /*stream*/,
                               std::uint8_t *target,
                               std::size_t size,
                               std::uint32_t * /*flags*/,
                               nghttp2_data_source * /*source*/,
                               void *user)
{
    auto *self = static_cast<Http2Session *>(user);
    const std::size_t taken = self->queue.take(reinterpret_cast<char *>(target), size);
    if (taken == 0) {
        self->deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(taken);
}

int Http2Session::onHeader(nghttp2_session * /*session*/,
                           const nghttp2_frame * /*frame*/,
                           const std::uint8_t *name,
                           std::size_t nameLength,
                           const std::uint8_t *value,
                           std::size_t valueLength,
                           std::uint8_t /*flags*/,
                           void *user)
{
    auto *self = static_cast<Http2Session *>(user);
    const std::string_view key(reinterpret_cast<const char *>(name), nameLength);
    const std::string_view text(reinterpret_cast<const char *>(value), valueLength);
    if (key == ":method") {
        self->method = text;
    } else if (key == ":path") {
        self->path = text;
    } else if (key == ":status") {
        self->status = text;
    }
    return 0;
}

int Http2Session::onFrame(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
{
    auto *self = static_cast<Http2Session *>(user);
    const bool endsStream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (frame->hd.type == NGHTTP2_HEADERS) {
        const int result = self->acceptHeaders(frame->hd.stream_id);
        if (result != 0) {
            return result;
        }
    }
    if (frame->hd.type == NGHTTP2_GOAWAY
        || ((frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS) && endsStream)) {
        self->ended = true;
    }
    return 0;
}

int Http2Session::acceptHeaders(std::int32_t stream)
{
    if (this->open) {
        return this->fail("unexpected header fields");
    }
    if (this->role == Role::Client) {
        if (this->status != "200") {
            return this->fail("the peer responded with status " + this->status);
        }
    } else {
        if (this->method != "POST" || this->path != MessagePath) {
            return this->fail("unexpected request from the peer: " + this->method + " " + this->path.substr(0, 64));
        }
        this->streamId = stream;
        const int result = this->submitResponse();
        if (result != 0) {
            return this->fail(nghttp2_strerror(result));
        }
    }
    this->open = true;
    this->handlers.onOpen();
    return 0;
}

int Http2Session::submitResponse()
{
    const std::array<nghttp2_nv, 1> fields{headerField(":status", "200")};
    nghttp2_data_provider body{};
    body.read_callback = &Http2Session::readBody;
    return nghttp2_submit_response(this->session.get(), this->streamId, fields.data(), fields.size(), &body);
}

int Http2Session::onData(nghttp2_session * /*session*/,
                         std::uint8_t /*flags*/,
                         std::int32_t stream,
                         const std::uint8_t *data,
                         std::size_t length,
                         void *user)
{
    auto *self = static_cast<Http2Session *>(user);
    if (stream != self->streamId) {
        return 0;
    }
    bool stoppedByHandler = false;
    const bool accepted
        = self->reader.append({reinterpret_cast<const char *>(data), length}, [&](std::string_view message) {
              stoppedByHandler = !self->handlers.onMessage(message);
              return !stoppedByHandler;
          });
    if (stoppedByHandler) {
        return self->fail("the stream was closed");
    }
    return accepted ? 0 : self->fail("a message exceeds the size limit");
}

int Http2Session::onStreamClosed(nghttp2_session * /*session*/, std::int32_t stream, std::uint32_t error, void *user)
{
    auto *self = static_cast<Http2Session *>(user);
    if (stream == self->streamId && error != NGHTTP2_NO_ERROR) {
        self->fail(std::string("the stream was reset: ") + nghttp2_http2_strerror(error));
    }
    self->ended = true;
    return 0;
}

int Http2Session::fail(std::string reason)
{
    if (this->failureReason.empty()) {
        this->failureReason = std::move(reason);
    }
    return NGHTTP2_ERR_CALLBACK_FAILURE;
}

void Http2Session::check(int result, const char *operation)
{
    if (result < 0) {
        this->fail(std::string(operation) + ": " + nghttp2_strerror(result));
    }
}

} // namespace Verbenadock::Net::internal
