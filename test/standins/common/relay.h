#ifndef VERBENADOCK_TEST_STANDINS_RELAY_H
#define VERBENADOCK_TEST_STANDINS_RELAY_H

#include "common/httpserver.h"

namespace Verbenadock::Standins {

/// What a network path does to the bytes on it. Shared by all connections of the path and changed at run time.
struct Path
{
    /// Bytes towards the target are held until the cut ends.
    bool cutToTarget = false;
    /// Bytes towards the client are held until the cut ends.
    bool cutToClient = false;
    std::int64_t delayMs = 0;
};

/// Copies bytes between a client and a target until both directions have ended; a reset is passed on as a reset.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay(Tcp::socket client, Tcp::socket target, std::shared_ptr<const Path> path);

    asio::awaitable<void> run();

    /// From now on nothing passes any more, while the connection stays open.
    void silence();
    /// Resets both connections.
    void reset();

private:
    asio::awaitable<void> copy(bool toTarget);
    asio::awaitable<void> waitUntilOpen(bool toTarget);
    asio::awaitable<void> sleep(Duration duration);

    Tcp::socket client;
    Tcp::socket target;
    std::shared_ptr<const Path> path;
    bool silent = false;
    bool ended = false;
};

} // namespace Verbenadock::Standins

#endif
