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
    /// Earlier owners are queried.
    QueryingOwners,
    Running,
    Answered,
    Unknown,
    /// Another owner fenced the key, or the key has no record yet.
    Fenced,
};

struct Fence
{
    MemberId by;
    EpochNumber epoch = 0;
};

/// A query to earlier owners, with the replies so far.
struct FenceQuery
{
    std::uint64_t id = 0;
    TimePoint deadline{};
    std::map<MemberId, std::vector<MemberId>> pending;
    bool unreachable = false;
    /// A process has ended that may have run the key, and its records are lost.
    bool lost = false;
    std::optional<KeyRecord> record;
};

/// The state of one key.
struct Entry
{
    Key key;
    Stage stage = Stage::Fenced;
    std::optional<Fingerprint> fingerprint;
    WallTime wall{};
    /// Set in the stage Running.
    RequestId executing = 0;
    EpochNumber startedUnder = 0;
    /// Requests that wait for the result.
    std::vector<RequestId> waiting;
    FenceQuery query;
    /// Fence requests of other owners that are answered when the running request has ended.
    std::vector<FenceRequest> pendingReplies;
    std::optional<Fence> fence;
    /// Set in the stages Answered and Unknown.
    TimePoint endedAt{};
    std::optional<StoredAnswer> answer;
    std::optional<TimePoint> expiresAt;
};

/// A bounded table of keys. The record that a key ran is never dropped within the window; stored answers may be.
class KeyTable
{
public:
    KeyTable(std::size_t maximumKeys, std::size_t maximumAnswerBytes);

    Entry *find(const Key &key);
    /// Null when the table is full.
    Entry *insert(const Key &key);
    void erase(const Key &key);
    bool full() const;

    /// Stores the answer and evicts the oldest answers when their total size exceeds the limit.
    void storeAnswer(Entry &entry, std::optional<StoredAnswer> answer);
    void expireAt(Entry &entry, TimePoint at);
    void clearExpiry(Entry &entry);
    /// The entry that expires first if its time has passed; otherwise null.
    Entry *nextExpired(TimePoint now);
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
    std::size_t storedBytes = 0;
};

} // namespace Verbenadock::Keys::Internal

#endif
