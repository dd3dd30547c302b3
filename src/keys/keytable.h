#ifndef VERBENADOCK_KEYS_KEYTABLE_H
#define VERBENADOCK_KEYS_KEYTABLE_H

#include "verbenadock/base/identifiers.h"
#include "verbenadock/base/time.h"
#include "verbenadock/keys/message.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Verbenadock::Keys::Internal {

enum class Stage {
    /// Earlier owners are asked.
    Asking,
    Running,
    Answered,
    Unknown,
    /// Another owner took over, or nothing is known of the key.
    Fenced,
};

struct Fence
{
    MemberId by;
    EpochNumber epoch = 0;
};

/// The answers of earlier owners so far.
struct Question
{
    std::uint64_t id = 0;
    TimePoint deadline{};
    std::map<MemberId, std::vector<MemberId>> pending;
    bool unreachable = false;
    /// A process is gone that may have run the key.
    bool lost = false;
    std::optional<KeyRecord> record;
};

/// What the process knows of one key.
struct Entry
{
    Key key;
    Stage stage = Stage::Fenced;
    std::optional<Fingerprint> fingerprint;
    WallTime wall{};
    /// For Running.
    RequestId executing = 0;
    EpochNumber startedUnder = 0;
    /// Requests that wait for the result.
    std::vector<RequestId> waiting;
    Question question;
    /// Questions of other owners that wait for the result.
    std::vector<FenceRequest> owedReplies;
    std::optional<Fence> fence;
    /// For Answered and Unknown.
    TimePoint endedAt{};
    std::optional<StoredAnswer> answer;
    std::optional<TimePoint> expiresAt;
};

/// The bounded table of keys. It never drops the fact that a key ran before the window has passed.
class KeyTable
{
public:
    KeyTable(std::size_t maximumKeys, std::size_t maximumAnswerBytes);

    Entry *find(const Key &key);
    /// Null when the table is full.
    Entry *insert(const Key &key);
    void erase(const Key &key);
    bool full() const;

    /// Keeps the answer; the oldest answers make room.
    void store(Entry &entry, std::optional<StoredAnswer> answer);
    void expireAt(Entry &entry, TimePoint at);
    void keepForever(Entry &entry);
    /// An entry whose time has come; null when there is none.
    Entry *due(TimePoint now);
    std::optional<TimePoint> nextExpiry() const;

    std::map<Key, Entry> &all();
    const std::map<Key, Entry> &all() const;
    std::size_t answerBytes() const;

private:
    void dropAnswer(Entry &entry);

    std::size_t keyLimit;
    std::size_t answerBytesLimit;
    std::map<Key, Entry> entries;
    std::set<std::pair<TimePoint, Key>> expiries;
    std::set<std::pair<TimePoint, Key>> answers;
    std::size_t bytes = 0;
};

} // namespace Verbenadock::Keys::Internal

#endif
