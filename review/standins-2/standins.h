// Stand-ins for the cases of the second review: the platform's store, servers, clients and the processes under test.
#ifndef REVIEW_STANDINS_2_H
#define REVIEW_STANDINS_2_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace Review {

using Clock = std::chrono::steady_clock;

/// Exit statuses of a case.
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CouldNotRun = 2;

/// Whether the case shall bring about its disruption (TROUBLE is not 0).
bool troubleWanted();

void sleepMs(int milliseconds);

/// Writes lines with the time since the start to the record of a case.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point start = Clock::now();
};

/// A connected TCP socket. Reads and writes have timeouts.
class Socket
{
public:
    explicit Socket(int descriptor = -1);
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    ~Socket();

    static Socket connect(const std::string &address, int port);
    bool isOpen() const;
    bool write(std::string_view bytes);
    /// Appends what arrives to the buffer; false at the end of the stream, after an error and after the timeout.
    bool read(int timeoutMs);
    /// Closes with a reset instead of an orderly end.
    void reset();
    void close();
    void shutdownBoth();
    int descriptor() const;

    std::string buffer;
    /// Result of the last failed read.
    enum class End { None, Closed, Reset, Timeout } end = End::None;

private:
    int fd;
};

std::string toString(Socket::End end);

struct Headers
{
    std::vector<std::pair<std::string, std::string>> fields;

    /// The value of the first field with the name, which is compared without case.
    std::optional<std::string> find(std::string_view name) const;
};

struct HttpRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    /// The bytes of the head as they were received.
    std::string head;
};

enum class ReadResult { Complete, Malformed, End };

/// Reads a request with a body of the stated length or in chunks.
ReadResult readRequest(Socket &socket, HttpRequest &request, int timeoutMs);

struct HttpAnswer
{
    int status = 0;
    Headers headers;
    std::string body;
    bool complete = false;
    Socket::End end = Socket::End::None;
};

/// Reads one answer; complete is false if the connection ended or the time was over before its end.
HttpAnswer readAnswer(Socket &socket, int timeoutMs);

/// Accepts connections on a loopback address and serves each in a thread.
class Listener
{
public:
    using Serve = std::function<void(Socket &)>;

    Listener(const std::string &address, int port, Serve serve);
    ~Listener();

    int port() const;
    std::string endpoint() const;
    void stop();

private:
    void accept();

    std::string address;
    Serve serve;
    int listening;
    int boundPort;
    std::atomic<bool> stopped = false;
    std::mutex mutex;
    std::list<std::shared_ptr<Socket>> open;
    std::list<std::thread> threads;
    std::thread acceptor;
};

/// The platform's store: topics with one partition, records with or without keys.
class Store
{
public:
    Store();
    ~Store();

    std::string endpoint() const;
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Topic
    {
        std::vector<std::string> records;
        /// Offset of the newest record of each key.
        std::map<std::string, std::size_t> newest;
    };

    void serve(Socket &socket);
    std::string answer(const HttpRequest &request);
    std::string readTopic(const std::map<std::string, std::string> &query);
    std::string newest(const std::string &topic, const std::string &after);
    std::uint64_t append(const std::string &topic, const std::string &record);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Topic> topics;
    std::atomic<bool> stopped = false;
    std::unique_ptr<Listener> listener;
};

struct Answer
{
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

std::string formatAnswer(const Answer &answer);

/// A server as the pages describe it: checks Verbenadock-Expect-Instance, requires an id and runs the request.
class Server
{
public:
    struct Run
    {
        std::string id;
        std::string method;
        std::string target;
        std::string body;
        std::optional<std::string> deadline;
    };
    /// Works on a request that runs and writes its answer; returns false if the connection ends.
    using Work = std::function<bool(Socket &, const HttpRequest &)>;

    Server(std::string instance, Record &record, Work work);

    std::string endpoint() const;
    std::vector<Run> runs() const;
    /// Entry of this server in keyed.servers.
    std::string entry(const std::string &service, const std::string &zone, int slots, int sequence = 1) const;
    /// The process ends: its connections close, and nothing listens any more.
    void stop();

    const std::string instance;

private:
    void serve(Socket &socket);

    Record &record;
    Work work;
    mutable std::mutex mutex;
    std::vector<Run> seen;
    std::int64_t born;
    std::unique_ptr<Listener> listener;
};

/// Writes the entries of live servers to the store, as their processes do every heartbeat.
class Heartbeats
{
public:
    Heartbeats(Store &store, std::vector<std::pair<std::string, std::function<std::string(int)>>> entries);
    ~Heartbeats();

    /// The server says nothing from now on.
    void silence(const std::string &instance);

private:
    Store &store;
    std::mutex mutex;
    std::condition_variable ending;
    bool ended = false;
    std::vector<std::pair<std::string, std::function<std::string(int)>>> entries;
    std::thread thread;
};

/// Answers with a seal after the given time, as long as the connection lives.
Server::Work workFor(int milliseconds, std::string body = "done");

struct Vm
{
    std::string address = "127.0.0.1";
    int front = 0;
    int admin = 0;
    int peers = 0;
};

/// A port of the address that is free now.
int freePort(const std::string &address);

/// A process of the role that the deploy file describes.
class Process
{
public:
    Process(const std::string &directory,
            const std::string &name,
            const Vm &vm,
            const std::string &zone,
            const std::string &store,
            const std::vector<std::string> &seeds);
    ~Process();

    void start();
    void signal(int number);
    /// Waits for the process; its exit status, or minus the signal that ended it, or nothing after the time.
    std::optional<int> wait(int timeoutMs);
    bool waitReady(int timeoutMs);
    /// Memory of the process that is backed by no file; 0 if it has ended.
    std::size_t anonymousKilobytes() const;
    void writeSettings(const std::string &text);
    std::string settingsText() const;
    std::string logPath() const;
    const Vm vm;

private:
    std::string directory;
    std::string name;
    std::string settings;
    pid_t pid = -1;
    std::optional<int> result;
};

/// Creates a temporary folder and removes it at the end.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    std::string path;
};

/// Desired state with routes and services; see the cases for the texts.
std::string route(const std::string &name,
                  const std::string &prefix,
                  const std::string &kind,
                  const std::string &service,
                  double timeoutS,
                  double targetS,
                  int maxAttempts);
std::string service(const std::string &name);
std::string desiredState(int version, const std::vector<std::string> &resources);

inline const std::string RouteHost = "desk.example";

/// Head and body of a request of a client.
std::string requestText(const std::string &method,
                        const std::string &target,
                        const std::string &id,
                        int deadlineMs,
                        const std::optional<std::string> &body);

/// Runs a case and turns exceptions into "could not run".
int runCase(const std::function<int(Record &, const std::string &folder)> &run, int argc, char **argv);

} // namespace Review

#endif
