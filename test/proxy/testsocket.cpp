#include "testsocket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Verbenadock::Testing {

namespace {

constexpr int ReceiveTimeoutMilliseconds = 10000;
constexpr std::size_t ReadBytes = 65536;

} // namespace

unsigned ReceivedMessage::status() const
{
    return this->head.size() > 12 ? static_cast<unsigned>(std::stoul(this->head.substr(9, 3))) : 0;
}

std::optional<std::string> ReceivedMessage::field(std::string_view name) const
{
    const auto start = this->head.find("\r\n" + std::string(name) + ": ");
    if (start == std::string::npos) {
        return std::nullopt;
    }
    const auto value = start + name.size() + 4;
    return this->head.substr(value, this->head.find("\r\n", value) - value);
}

bool ReceivedMessage::hasField(std::string_view name) const
{
    return this->field(name).has_value();
}

TestSocket::TestSocket(int accepted)
    : descriptor(accepted)
{
}

TestSocket::TestSocket(const Endpoint &peer)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(peer.port);
    inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr);
    if (::connect(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("cannot connect to " + toString(peer));
    }
    const int on = 1;
    ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

TestSocket::~TestSocket()
{
    this->close();
}

TestSocket::TestSocket(TestSocket &&other) noexcept
    : input(std::move(other.input))
    , descriptor(std::exchange(other.descriptor, -1))
    , state(other.state)
{
}

bool TestSocket::send(std::string_view data)
{
    while (!data.empty()) {
        const auto sent = ::send(this->descriptor, data.data(), data.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::size_t TestSocket::sendSome(std::string_view data)
{
    const auto sent = ::send(this->descriptor, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

bool TestSocket::receive()
{
    if (this->state != StreamEnd::Open) {
        return false;
    }
    pollfd pollDescriptor{.fd = this->descriptor, .events = POLLIN, .revents = 0};
    if (::poll(&pollDescriptor, 1, ReceiveTimeoutMilliseconds) == 0) {
        throw std::runtime_error("no bytes arrived within 10 s; received so far: " + this->input.substr(0, 300));
    }
    std::string bytes(ReadBytes, '\0');
    const auto size = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (size > 0) {
        this->input.append(bytes, 0, static_cast<std::size_t>(size));
        return true;
    }
    this->state = size == 0 ? StreamEnd::Closed : StreamEnd::Reset;
    return false;
}

std::string TestSocket::readHead()
{
    auto end = this->input.find("\r\n\r\n");
    while (end == std::string::npos && this->receive()) {
        end = this->input.find("\r\n\r\n");
    }
    if (end == std::string::npos) {
        return {};
    }
    auto head = this->input.substr(0, end + 4);
    this->input.erase(0, end + 4);
    return head;
}

ReceivedMessage TestSocket::readMessage(bool headOnly)
{
    ReceivedMessage message;
    message.head = this->readHead();
    const auto length = message.field("Content-Length");
    if (headOnly) {
        message.complete = !message.head.empty();
    } else if (message.field("Transfer-Encoding") == "chunked") {
        message.complete = this->readChunks(message);
    } else {
        message.complete = !message.head.empty() && this->readLength(message, length ? std::stoul(*length) : 0);
    }
    message.end = this->state;
    return message;
}

bool TestSocket::readLength(ReceivedMessage &message, std::size_t length)
{
    while (message.body.size() < length) {
        if (this->input.empty() && !this->receive()) {
            return false;
        }
        const auto size = std::min(length - message.body.size(), this->input.size());
        message.body.append(this->input, 0, size);
        this->input.erase(0, size);
    }
    return true;
}

bool TestSocket::readChunks(ReceivedMessage &message)
{
    for (;;) {
        auto end = this->input.find("\r\n");
        while (end == std::string::npos) {
            if (!this->receive()) {
                return false;
            }
            end = this->input.find("\r\n");
        }
        const auto size = std::stoul(this->input.substr(0, end), nullptr, 16);
        this->input.erase(0, end + 2);
        ReceivedMessage lineEnd;
        if (!this->readLength(message, message.body.size() + size) || !this->readLength(lineEnd, 2)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
}

StreamEnd TestSocket::waitForEnd()
{
    while (this->receive()) {
        this->input.clear();
    }
    return this->state;
}

bool TestSocket::peerClosed() const
{
    char byte = 0;
    const auto size = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN);
}

bool TestSocket::hungUp() const
{
    pollfd pollDescriptor{.fd = this->descriptor, .events = POLLRDHUP, .revents = 0};
    return ::poll(&pollDescriptor, 1, 0) > 0;
}

void TestSocket::closeSending()
{
    ::shutdown(this->descriptor, SHUT_WR);
}

void TestSocket::shutDown()
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

void TestSocket::reset()
{
    const linger option{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    this->close();
}

void TestSocket::close()
{
    if (this->descriptor >= 0) {
        ::close(std::exchange(this->descriptor, -1));
    }
}

} // namespace Verbenadock::Testing
