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

/// Serves each connection with a script on a thread of its own.
class FakeUpstream
{
public:
    /// Gets the connection and its number, counted from 1. The connection closes when the script returns.
    using Script = std::function<void(TestSocket &connection, unsigned number)>;

    FakeUpstream(const std::string &address, Script script);
    ~FakeUpstream();
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;

    Endpoint endpoint() const;
    unsigned connections() const;

private:
    void acceptConnections();

    Script script;
    int listener = -1;
    Endpoint bound;
    std::atomic<unsigned> accepted = 0;
    std::mutex mutex;
    std::vector<int> open;
    std::list<std::thread> workers;
    std::thread acceptThread;
};

/// The head of an answer with the attempt's id, from the request that it answers.
std::string answerHead(const ReceivedMessage &request, unsigned status, const std::string &fields);

/// A whole answer of known length.
std::string answerTo(const ReceivedMessage &request, const std::string &body, unsigned status = 200);

/// Answers each request on a connection until it ends.
FakeUpstream::Script answerAll(const std::string &body);

} // namespace Verbenadock::Testing

#endif
