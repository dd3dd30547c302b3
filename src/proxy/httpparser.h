#ifndef VERBENADOCK_PROXY_HTTPPARSER_H
#define VERBENADOCK_PROXY_HTTPPARSER_H

#include "io.h"
#include "verbenadock/base/time.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/field.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Proxy::internal {

namespace http = boost::beast::http;
using Buffer = boost::beast::flat_buffer;

/// One header field. The views point into the text of the head.
struct Field
{
    http::field name = http::field::unknown;
    std::string_view nameText;
    std::string_view value;
};

/// Incremental parser of Beast that keeps the fields as views and appends the decoded body to a string.
template<bool IsRequest>
class MessageParser : public http::basic_parser<IsRequest>
{
public:
    std::string_view methodText;
    std::string_view target;
    std::string_view reason;
    unsigned statusCode = 0;
    int httpVersion = 11;
    std::vector<Field> fields;
    /// Receives the decoded body. Must be set before the body is parsed.
    std::string *bodySink = nullptr;

    MessageParser()
    {
        this->fields.reserve(TypicalFieldCount);
        this->eager(true);
    }

private:
    static constexpr std::size_t TypicalFieldCount = 16;

    static std::string_view view(boost::beast::string_view text)
    {
        return {text.data(), text.size()};
    }

    void on_request_impl(http::verb /*verb*/,
                         boost::beast::string_view method,
                         boost::beast::string_view requestTarget,
                         int version,
                         ErrorCode & /*error*/) override
    {
        this->methodText = view(method);
        this->target = view(requestTarget);
        this->httpVersion = version;
    }

    void on_response_impl(int code, boost::beast::string_view phrase, int version, ErrorCode & /*error*/) override
    {
        this->statusCode = static_cast<unsigned>(code);
        this->reason = view(phrase);
        this->httpVersion = version;
    }

    void on_field_impl(http::field name,
                       boost::beast::string_view nameText,
                       boost::beast::string_view value,
                       ErrorCode & /*error*/) override
    {
        // Trailer fields are dropped, because their views would point into the input buffer and because they must not
        // change header fields.
        if (!this->headDone) {
            this->fields.push_back(Field{.name = name, .nameText = view(nameText), .value = view(value)});
        }
    }

    void on_header_impl(ErrorCode & /*error*/) override
    {
        this->headDone = true;
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, ErrorCode & /*error*/) override
    {
    }

    std::size_t on_body_impl(boost::beast::string_view body, ErrorCode & /*error*/) override
    {
        this->bodySink->append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/,
                              boost::beast::string_view /*extensions*/,
                              ErrorCode & /*error*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/,
                                   boost::beast::string_view body,
                                   ErrorCode &error) override
    {
        return this->on_body_impl(body, error);
    }

    void on_finish_impl(ErrorCode & /*error*/) override
    {
    }

    bool headDone = false;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

/// State of scanning or parsing the head of a message.
enum class HeadState {
    Incomplete,
    Complete,
    TooLarge,
    /// A control character, or a line end that is not CR LF.
    BadCharacter,
    ObsoleteFold,
    Malformed,
};

/// Finds the end of a head in a growing buffer and rejects characters that Beast's parser accepts. Each byte is scanned
/// once.
class HeadScanner
{
public:
    HeadState scan(std::string_view bytes, std::size_t limit);

    /// Length of the complete head in bytes, including the empty line at its end.
    std::size_t headLength() const
    {
        return this->position;
    }

private:
    HeadState scanLineEnd(std::string_view bytes);

    std::size_t position = 0;
    std::size_t lineStart = 0;
};

/// Maximum length of a chunk-size line and of a trailer section, in bytes. Chunk extensions and trailers are dropped,
/// so that long ones have no use.
inline constexpr std::size_t MaxUnparsedBytes = 16384;

/// Whether the bytes can be the beginning of the head of an answer.
bool mayBeginAnswer(std::string_view bytes);

inline std::string_view asView(const Buffer &buffer)
{
    const auto data = buffer.cdata();
    return {static_cast<const char *>(data.data()), data.size()};
}

/// An HTTP message and the text of its head. Not copyable or movable, because the fields point into the text.
template<bool IsRequest>
struct Message
{
    std::string headText;
    MessageParser<IsRequest> parser;
    HeadScanner scanner;

    Message() = default;
    Message(const Message &) = delete;
    Message &operator=(const Message &) = delete;

    /// Removes the head from the buffer and parses it when it is complete.
    HeadState parseHead(Buffer &buffer, std::size_t limit)
    {
        const auto state = this->scanner.scan(asView(buffer), limit);
        if (state != HeadState::Complete) {
            return state;
        }
        this->headText.assign(asView(buffer).substr(0, this->scanner.headLength()));
        buffer.consume(this->headText.size());
        ErrorCode error;
        this->parser.header_limit(static_cast<std::uint32_t>(limit + 1));
        this->parser.put(asio::buffer(this->headText), error);
        if (error == http::error::body_limit) {
            this->bodyOverLimit = true;
            return HeadState::Complete;
        }
        this->headError = error;
        return error || !this->parser.is_header_done() ? HeadState::Malformed : HeadState::Complete;
    }

    /// Decodes the body bytes in the buffer into the parser's bodySink.
    ErrorCode parseBody(Buffer &buffer)
    {
        ErrorCode error;
        while (!this->parser.is_done() && buffer.size() > 0) {
            const auto consumed = this->parser.put(buffer.cdata(), error);
            buffer.consume(consumed);
            if (error == http::error::need_more) {
                // The remaining bytes begin a chunk-size line or a trailer, which the parser only accepts whole.
                return buffer.size() > MaxUnparsedBytes ? ErrorCode(http::error::header_limit) : ErrorCode();
            }
            if (error || consumed == 0) {
                return error;
            }
        }
        return {};
    }

    bool bodyOverLimit = false;
    /// Error of Beast's parser for the head.
    ErrorCode headError;
    /// Time at which an incomplete head was first seen.
    std::optional<TimePoint> firstByteAt;
};

using RequestMessage = Message<true>;
using ResponseMessage = Message<false>;

/// Whether a comma-separated list of tokens contains the token. Ignores case.
bool hasToken(std::string_view list, std::string_view token);

bool equalsIgnoringCase(std::string_view left, std::string_view right);

} // namespace Verbenadock::Proxy::internal

#endif
