#include "keytable.h"

namespace Verbenadock::Keys::Internal {

KeyTable::KeyTable(std::size_t maximumKeys, std::size_t maximumAnswerBytes)
    : keyLimit(maximumKeys)
    , answerBytesLimit(maximumAnswerBytes)
{
}

Entry *KeyTable::find(const Key &key)
{
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
}

Entry *KeyTable::insert(const Key &key)
{
    if (this->full()) {
        return nullptr;
    }
    auto &entry = this->entries[key];
    entry.key = key;
    return &entry;
}

void KeyTable::erase(const Key &key)
{
    if (auto *entry = this->find(key)) {
        this->dropAnswer(*entry);
        this->clearExpiry(*entry);
        this->entries.erase(Key(key));
    }
}

bool KeyTable::full() const
{
    return this->entries.size() >= this->keyLimit;
}

void KeyTable::storeAnswer(Entry &entry, std::optional<StoredAnswer> answer)
{
    this->dropAnswer(entry);
    if (!answer || answer->bytes() > this->answerBytesLimit) {
        return;
    }
    this->storedBytes += answer->bytes();
    entry.answer = std::move(answer);
    this->answers.insert({entry.endedAt, entry.key});
    while (this->storedBytes > this->answerBytesLimit) {
        this->dropAnswer(this->entries.at(this->answers.begin()->second));
    }
}

void KeyTable::dropAnswer(Entry &entry)
{
    if (entry.answer) {
        this->storedBytes -= entry.answer->bytes();
        this->answers.erase({entry.endedAt, entry.key});
        entry.answer.reset();
    }
}

void KeyTable::expireAt(Entry &entry, TimePoint at)
{
    this->clearExpiry(entry);
    entry.expiresAt = at;
    this->expiries.insert({at, entry.key});
}

void KeyTable::clearExpiry(Entry &entry)
{
    if (entry.expiresAt) {
        this->expiries.erase({*entry.expiresAt, entry.key});
        entry.expiresAt.reset();
    }
}

Entry *KeyTable::nextExpired(TimePoint now)
{
    if (this->expiries.empty() || this->expiries.begin()->first > now) {
        return nullptr;
    }
    return &this->entries.at(this->expiries.begin()->second);
}

std::optional<TimePoint> KeyTable::nextExpiry() const
{
    return this->expiries.empty() ? std::nullopt : std::optional(this->expiries.begin()->first);
}

std::map<Key, Entry> &KeyTable::all()
{
    return this->entries;
}

const std::map<Key, Entry> &KeyTable::all() const
{
    return this->entries;
}

std::size_t KeyTable::answerBytes() const
{
    return this->storedBytes;
}

} // namespace Verbenadock::Keys::Internal
