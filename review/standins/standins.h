// Stand-ins of the cases: the platform's store, servers and consumers, and the start of the project's processes. They
// use only POSIX sockets and threads.
#ifndef VERBENADOCK_REVIEW_STANDINS_H
#define VERBENADOCK_REVIEW_STANDINS_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace Verbenadock::Review {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Seconds since the start of the case.
double now();
void sleepUntil(double second);
void sleepFor(double seconds);

/// Whether the disruption takes place; TROUBLE=0 turns it off.
bool hasTrouble();

/// Writes a line with the time to the record of the case.
void note(const std::string &line);

/// Ends the processes that the case started and the case itself.
[[noreturn]] void finish(int code, const std::string &verdict);

struct Address
{
    std::string ip;
    std::uint16_t port = 0;
};

std::string toString(const Address &address);

/// A loopback address that no other process of this case uses; the network is picked at random.
std::string newLoopbackAddress();

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// Value of the field; empty when it is missing.
    std::string field(std::string_view name) const;
    unsigned status() const;
};

/// A blocking TCP connection.
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Returns false when the peer closed the connection or took no bytes for 10 s.
    bool write(std::string_view bytes) const;

    /// Reads one message; nothing when the connection ended before its end or the time is over.
    std::optional<Message> read(double seconds);

    /// Whether the peer closed the connection; does not wait.
    bool isClosed() const;

private:
    bool fill(Clock::time_point end);

    int descriptor;
    std::string buffer;
};

/// Returns nothing when the connection was refused or took longer than a second.
std::unique_ptr<Connection> connectTo(const Address &address);

/// Serves each connection to the address in a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;

    Listener(const Address &address, Handler connectionHandler);

    /// Refuses new connections from now on.
    void close();

private:
    void accept() const;

    int descriptor = -1;
    Handler handler;
};

/// The platform's store: keyed topics with one partition, as far as the project's processes call it.
class Store
{
public:
    explicit Store(const Address &address);

    /// A further address at which the store answers, so that the calls of single machines can be told apart.
    void open(const Address &address);
    /// Number of calls of log-read through this address so far.
    int readsThrough(const Address &address) const;

    /// Appends a record; returns the time of the confirmation. Without a value the key is dropped.
    double put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    struct Door
    {
        std::unique_ptr<Listener> listener;
        int reads = 0;
    };

    void serve(Connection &connection, const std::string &door);
    std::string answer(const Message &request);
    std::string newest(const std::string &topic);
    std::string read(const std::string &topic, std::uint64_t from, double wait);
    std::string append(const std::string &topic, std::string_view body);

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::vector<Record>> topics;
    std::map<std::string, Door> doors;
};

/// A request that a server began to work on.
struct Run
{
    std::string request;
    std::string server;
    std::string service;
    std::string method;
    std::string target;
    std::size_t bodyBytes = 0;
    double arrivedAt = 0;
    /// Zero while the server works.
    double endedAt = 0;
};

/// A server of a service.
class Server
{
public:
    Server(Store &platformStore, std::string serverId, std::string serverService, double workSeconds);

    /// Registers the server, or changes its state to draining.
    double report(const std::string &state);

    /// Ends the server: refuses new connections and breaks off its work.
    void exit();

    std::vector<Run> runs() const;
    const std::string &name() const;

private:
    void serve(Connection &connection);
    std::string run(const Message &request);

    Store &store;
    std::string id;
    std::string service;
    double work;
    Address address;
    mutable std::mutex mutex;
    std::vector<Run> recorded;
    int sequence = 0;
    bool ended = false;
    std::unique_ptr<Listener> listener;
};

struct Route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
};

struct Desired
{
    std::string version;
    std::vector<std::string> services;
    std::vector<Route> routes;
    double timeout = 4;
    std::size_t maxHeaderBytes = 16384;
};

/// The host of all routes.
inline constexpr std::string_view Host = "desk.example";

/// The desired state as the operator writes it.
std::string toJson(const Desired &desired);

/// One machine with the role of deploy/system.toml.
class Machine
{
public:
    Machine(std::string machineName, const Address &storeAddress, std::string machineZone = "zone-a");

    /// Starts the process. Ends the case with code 2 when it is not ready within 10 s.
    void start();
    void signal(int number) const;
    /// Whether the process ended; does not wait.
    bool hasEnded();
    bool isReady() const;
    /// Processor time that the process used, in seconds.
    double processorSeconds() const;

    const Address &front() const;
    const std::string &name() const;

private:
    std::string settings() const;

    std::string id;
    Address store;
    std::string zone;
    std::string ip;
    Address frontAddress;
    Address adminAddress;
    pid_t process = -1;
};

/// The head of a consumer's request.
std::string requestHead(const std::string &method,
                        const std::string &target,
                        const std::string &id,
                        unsigned timeBudgetMs,
                        std::size_t bodyBytes);

/// What a consumer saw of its request.
struct Outcome
{
    std::string request;
    double sentAt = 0;
    double endedAt = 0;
    /// Nothing when the connection ended without a complete answer.
    std::optional<Message> answer;
};

std::string describe(const Outcome &outcome);
std::string describe(const Run &run);

/// Sends one request on a new connection and waits for the answer up to the time budget and a second.
Outcome call(const Address &front,
             const std::string &method,
             const std::string &target,
             const std::string &id,
             unsigned timeBudgetMs,
             const std::string &body = {});

} // namespace Verbenadock::Review

#endif
