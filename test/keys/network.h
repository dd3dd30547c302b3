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

/// A request that one entry sends to the owner.
struct ForwardedRequest
{
    RequestId request = 0;
    KeyedRequestArrived arrival;
};

/// The owner's answer to it.
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

/// One entry process with its agent's knowledge of epochs.
struct Process
{
    std::unique_ptr<KeyReducer> reducer;
    MemberId id;
    bool alive = true;
    bool paused = false;
    std::size_t epochsRead = 0;
    std::vector<KnownEpoch> known;
    std::vector<RequestId> running;
    std::map<RequestId, Message> forwardedHere;
};

/// One run of the work behind a key, as the upstream sees it.
struct Run
{
    enum class State { Running, Ran, NotRun };
    RequestId request = 0;
    State state = State::Running;
    TimePoint endedAt{};
    std::string answer;
};

/// Several KeyReducers with unreliable streams, a log of epochs, and random faults.
class Network
{
public:
    Network(std::uint64_t seed, std::size_t vms);

    void step();

    /// The first violation; empty while there is none.
    std::string violation;
    std::size_t executions = 0;
    std::size_t replays = 0;
    std::size_t notRun = 0;
    std::size_t handOvers = 0;
    std::size_t adoptedFromPeers = 0;

private:
    std::size_t choose(std::size_t count);
    bool chance(unsigned percent);
    WallTime wall(const std::string &vm);
    Process *processOf(const MemberId &id);
    Process *randomLive();

    void feed(Process &process, const Event &event);
    void carryOut(Process &process, const Effect &effect);
    void send(const Process &from, const MemberId &to, decltype(Message::content) content);
    void deliver(const Message &message);
    void fail(const Message &message, bool lost);
    void answerForwarded(Process &process, RequestId request, ForwardResult result, EpochNumber epoch);

    void newRequest();
    void moveMessage();
    void endRun();
    void end(Process &process, std::size_t index);
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
    std::set<std::pair<std::string, std::string>> cuts;
    std::vector<Key> keys;
    std::map<RequestId, Key> keyOf;
    std::map<Key, std::vector<Run>> runs;
    std::set<RequestId> refused;
    RequestId lastRequest = 0;
    unsigned lossPercent = 0;
    unsigned faultPercent = 0;
};

} // namespace Verbenadock::Keys::Test

#endif
