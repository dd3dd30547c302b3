#ifndef VERBENADOCK_TEST_KEYS_NETWORK_H
#define VERBENADOCK_TEST_KEYS_NETWORK_H

#include "verbenadock/keys/keyreducer.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Verbenadock::Keys::Test {

/// A request that an entry forwards to the owner.
struct ForwardedRequest
{
    RequestId request = 0;
    KeyedRequestArrived arrival;
};

/// The owner's answer to a forwarded request.
struct ForwardedAnswer
{
    ForwardEnded ended;
};

struct HandOverAnswer
{
    std::uint32_t part = 0;
};

struct Message
{
    MemberId from;
    MemberId to;
    std::variant<ForwardedRequest, ForwardedAnswer, FenceRequest, FenceReply, HandOverPart, HandOverAnswer> content;
};

/// An entry process, with the epochs that its agent has read.
struct Process
{
    std::unique_ptr<KeyReducer> reducer;
    MemberId id;
    bool alive = true;
    bool paused = false;
    std::size_t epochsRead = 0;
    std::vector<KnownEpoch> knownEpochs;
    std::vector<RequestId> running;
    std::map<RequestId, Message> forwardedHere;
};

/// One execution of the work of a key, as seen by the upstream.
struct Run
{
    enum class State { Running, Ran, NotRun };
    RequestId request = 0;
    State state = State::Running;
    TimePoint endedAt{};
    std::string answer;
};

/// Simulates several KeyReducers with unreliable streams, a log of epochs and random faults.
class Network
{
public:
    Network(std::uint64_t seed, std::size_t vms);

    void step();

    /// Description of a violation; empty if none was found.
    std::string violation;
    std::size_t executions = 0;
    std::size_t replays = 0;
    std::size_t notRun = 0;
    std::size_t handOvers = 0;
    std::size_t recordsFromPeers = 0;

private:
    std::size_t choose(std::size_t count);
    bool chance(unsigned percent);
    WallTime wall(const std::string &vm);
    Process *findProcess(const MemberId &id);
    Process *randomActiveProcess();

    void applyEvent(Process &process, const Event &event);
    void carryOut(Process &process, const Effect &effect);
    void send(const Process &from, const MemberId &to, decltype(Message::content) content);
    void deliver(const Message &message);
    void failMessage(const Message &message, bool lost);
    void answerForwarded(Process &process, RequestId request, ForwardResult result, EpochNumber epoch);

    void newRequest();
    void processMessage();
    void endRun();
    void endExecution(Process &process, std::size_t index);
    void appendEpoch();
    void readEpochs();
    void crash(Process &process);
    void restart();
    void advance(Duration duration);
    void checkRun(RequestId request);
    void checkNotRun(RequestId request, const Refuse &refusal);

    std::mt19937_64 random;
    TimePoint now{};
    std::size_t vmCount;
    std::deque<Process> processes;
    std::vector<Epoch> log;
    std::deque<Message> messages;
    std::set<std::pair<std::string, std::string>> partitions;
    std::vector<Key> keys;
    std::map<RequestId, Key> requestKeys;
    std::map<Key, std::vector<Run>> runs;
    std::set<RequestId> refused;
    RequestId lastRequest = 0;
    unsigned lossPercent = 0;
    unsigned faultPercent = 0;
};

} // namespace Verbenadock::Keys::Test

#endif
