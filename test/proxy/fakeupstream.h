#ifndef VERBENADOCK_TEST_PROXY_FAKEUPSTREAM_H
#define VERBENADOCK_TEST_PROXY_FAKEUPSTREAM_H

#include "testsocket.h"

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Verbenadock::Testing {

/// A TCP server that runs a script for each connection on a separate thread.
class FakeUpstream
{
public:
    /// Receives the connection and its number, starting at 1. The connection is closed when the script returns.
    using Script = std::function<void(TestSocket &connection, unsigned number)>;

    FakeUpstream(const std::string &address, Script script);
    ~FakeUpstream();
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;

    Endpoint endpoint() const;
    /// Number of connections accepted so far.
    unsigned connections() const;

private:
    void acceptConnections();

    Script script;
    int listener = -1;
    Endpoint boundEndpoint;
    std::atomic<unsigned> acceptedCount = 0;
    std::mutex mutex;
    std::vector<int> openDescriptors;
    std::list<std::thread> workers;
    std::thread acceptThread;
};

/// The head of an answer that echoes the attempt id of the request.
std::string answerHead(const ReceivedMessage &request, unsigned status, const std::string &fields);

/// A complete answer with a Content-Length.
std::string answerTo(const ReceivedMessage &request, const std::string &body, unsigned status = 200);

/// A script that answers each request until the connection ends.
FakeUpstream::Script answerAll(const std::string &body);

} // namespace Verbenadock::Testing

#endif
