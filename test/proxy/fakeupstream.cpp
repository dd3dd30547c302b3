#include "fakeupstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Verbenadock::Testing {

FakeUpstream::FakeUpstream(const std::string &address, Script connectionScript)
    : script(std::move(connectionScript))
    , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in local{};
    local.sin_family = AF_INET;
    inet_pton(AF_INET, address.c_str(), &local.sin_addr);
    socklen_t size = sizeof(local);
    const bool listening = ::bind(this->listener, reinterpret_cast<sockaddr *>(&local), size) == 0
                           && ::listen(this->listener, SOMAXCONN) == 0
                           && ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&local), &size) == 0;
    if (!listening) {
        throw std::runtime_error("the fake upstream cannot listen on " + address);
    }
    this->boundEndpoint = {.address = address, .port = ntohs(local.sin_port)};
    this->acceptThread = std::thread([this] {
        this->acceptConnections();
    });
}

FakeUpstream::~FakeUpstream()
{
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptThread.join();
    ::close(this->listener);
    {
        const std::lock_guard lock(this->mutex);
        for (const int descriptor : this->openDescriptors) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (auto &worker : this->workers) {
        worker.join();
    }
}

void FakeUpstream::acceptConnections()
{
    for (;;) {
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const std::lock_guard lock(this->mutex);
        const auto number = ++this->acceptedCount;
        this->openDescriptors.push_back(descriptor);
        this->workers.emplace_back([this, descriptor, number] {
            TestSocket connection(descriptor);
            try {
                this->script(connection, number);
            } catch (const std::exception &) {
                // The test detects a failed script by the answer at the caller.
            }
            const std::lock_guard closing(this->mutex);
            std::erase(this->openDescriptors, descriptor);
            connection.close();
        });
    }
}

Endpoint FakeUpstream::endpoint() const
{
    return this->boundEndpoint;
}

unsigned FakeUpstream::connections() const
{
    return this->acceptedCount;
}

std::string answerHead(const ReceivedMessage &request, unsigned status, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status)
           + " Status\r\nX-Attempt-Id: " + request.field("X-Attempt-Id").value_or("none") + "\r\n" + fields + "\r\n";
}

std::string answerTo(const ReceivedMessage &request, const std::string &body, unsigned status)
{
    return answerHead(request, status, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

FakeUpstream::Script answerAll(const std::string &body)
{
    return [body](TestSocket &connection, unsigned /*number*/) {
        for (auto request = connection.readMessage(); request.complete; request = connection.readMessage()) {
            connection.send(answerTo(request, body));
        }
    };
}

} // namespace Verbenadock::Testing
