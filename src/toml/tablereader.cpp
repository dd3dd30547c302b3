#include "verbenadock/toml/tablereader.h"

#include "units.h"
#include "verbenadock/base/error.h"
#include "wording.h"

#include <algorithm>
#include <sstream>

namespace Verbenadock::Toml {

namespace {

using internal::joinNames;
using internal::TypeName;
using internal::typeNameOf;
using internal::wrongTypeMessage;

template<typename Number>
std::string formatNumber(const Number &number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

} // namespace

TableReader::TableReader(const Value &source, std::string sourcePath, Mistakes &collected)
    : TableReader(source, sourcePath, sourcePath, source.line, collected)
{
}

TableReader::TableReader(const Value &source,
                         std::string sourcePath,
                         std::string sourceName,
                         std::size_t sourceLine,
                         Mistakes &collected)
    : table(std::get_if<Table>(&source.content))
    , path(std::move(sourcePath))
    , tableName(std::move(sourceName))
    , line(sourceLine)
    , mistakes(&collected)
{
}

const Member *TableReader::find(std::string_view key) const
{
    const auto position = std::ranges::find(*this->table, key, &Member::key);
    return position == this->table->end() ? nullptr : &*position;
}

std::string TableReader::keyPath(std::string_view key) const
{
    if (this->path.empty() || key.empty()) {
        return this->path + std::string(key);
    }
    return this->path + "." + std::string(key);
}

void TableReader::report(std::string_view key, std::string reason)
{
    const auto *member = this->find(key);
    this->mistakes->push_back({.line = member == nullptr ? this->line : member->line,
                               .key = this->keyPath(key),
                               .reason = std::move(reason)});
}

const Value *TableReader::findValue(std::string_view key, Presence presence)
{
    this->knownKeys.emplace_back(key);
    const auto *member = this->find(key);
    if (member != nullptr) {
        return &member->value;
    }
    if (presence == Presence::Required) {
        this->report(key, "missing");
    }
    return nullptr;
}

template<typename Type>
const Type *TableReader::findValueAs(std::string_view key, Presence presence)
{
    const auto *value = this->findValue(key, presence);
    if (value == nullptr) {
        return nullptr;
    }
    const auto *content = std::get_if<Type>(&value->content);
    if (content == nullptr) {
        this->report(key, wrongTypeMessage(TypeName<Type>, *value));
    }
    return content;
}

template<typename Type>
bool TableReader::store(std::string_view key,
                        Type value,
                        Range<Type> range,
                        Type &target,
                        std::string (*format)(const Type &))
{
    // The negated comparison also rejects NaN.
    if (!(value >= range.least && value <= range.most)) {
        const bool bounded = range.most != Range<Type>{}.most;
        this->report(key,
                     format(value) + " is out of range; it has to be "
                         + (bounded ? "from " + format(range.least) + " to " + format(range.most)
                                    : "at least " + format(range.least)));
        return false;
    }
    target = value;
    return true;
}

bool TableReader::readText(std::string_view key, std::string &target, Presence presence)
{
    const auto *text = this->findValueAs<std::string>(key, presence);
    if (text == nullptr) {
        return false;
    }
    const auto isControl = [](unsigned char character) {
        return character < ' ' || character == 0x7f;
    };
    if (text->empty() || std::ranges::any_of(*text, isControl)) {
        this->report(key, text->empty() ? "must not be empty" : "must not contain control characters");
        return false;
    }
    target = *text;
    return true;
}

bool TableReader::readName(std::string_view key, std::string &target, Presence presence)
{
    std::string text;
    if (!this->readText(key, text, presence)) {
        return false;
    }
    if (!internal::isName(text)) {
        this->report(key, "'" + text + "' is not a name: " + std::string(internal::NameRule));
        return false;
    }
    target = std::move(text);
    return true;
}

bool TableReader::readFlag(std::string_view key, bool &target, Presence presence)
{
    const auto *flag = this->findValueAs<bool>(key, presence);
    if (flag != nullptr) {
        target = *flag;
    }
    return flag != nullptr;
}

bool TableReader::readInteger(std::string_view key,
                              std::uint64_t &target,
                              Range<std::uint64_t> range,
                              Presence presence)
{
    const auto *integer = this->findValueAs<std::int64_t>(key, presence);
    if (integer == nullptr) {
        return false;
    }
    if (*integer < 0) {
        this->report(key, formatNumber(*integer) + " is negative");
        return false;
    }
    return this->store<std::uint64_t>(key, static_cast<std::uint64_t>(*integer), range, target, formatNumber);
}

bool TableReader::readInteger(std::string_view key, unsigned &target, Range<unsigned> range, Presence presence)
{
    std::uint64_t wideValue = 0;
    if (!this->readInteger(key, wideValue, {.least = range.least, .most = range.most}, presence)) {
        return false;
    }
    target = static_cast<unsigned>(wideValue);
    return true;
}

bool TableReader::readNumber(std::string_view key, double &target, Range<double> range, Presence presence)
{
    const auto *value = this->findValue(key, presence);
    if (value == nullptr) {
        return false;
    }
    if (const auto *integer = std::get_if<std::int64_t>(&value->content)) {
        return this->store<double>(key, static_cast<double>(*integer), range, target, formatNumber);
    }
    if (const auto *number = std::get_if<double>(&value->content)) {
        return this->store<double>(key, *number, range, target, formatNumber);
    }
    this->report(key, wrongTypeMessage("a number", *value));
    return false;
}

bool TableReader::readDuration(std::string_view key, Duration &target, Range<Duration> range, Presence presence)
{
    const auto *value = this->findValue(key, presence);
    if (value == nullptr) {
        return false;
    }
    const auto *text = std::get_if<std::string>(&value->content);
    const auto duration = text == nullptr ? std::nullopt : internal::parseDuration(*text);
    if (!duration) {
        const std::string found = text == nullptr ? std::string(typeNameOf(*value)) : "'" + *text + "'";
        this->report(key, "expected a duration such as \"250 ms\", \"2 s\" or \"5 min\", not " + found);
        return false;
    }
    return this->store<Duration>(key, *duration, range, target, internal::formatDuration);
}

bool TableReader::readSize(std::string_view key, std::size_t &target, Range<std::size_t> range, Presence presence)
{
    const auto *value = this->findValue(key, presence);
    if (value == nullptr) {
        return false;
    }
    std::optional<std::size_t> size;
    if (const auto *text = std::get_if<std::string>(&value->content)) {
        size = internal::parseSize(*text);
    } else if (const auto *integer = std::get_if<std::int64_t>(&value->content); integer != nullptr && *integer >= 0) {
        size = static_cast<std::size_t>(*integer);
    }
    if (!size) {
        this->report(key, "expected a size in bytes such as 65536 or \"64 KiB\"");
        return false;
    }
    return this->store<std::size_t>(key, *size, range, target, internal::formatSize);
}

bool TableReader::readEndpoint(std::string_view key, Endpoint &target, Presence presence)
{
    std::string text;
    if (!this->readText(key, text, presence)) {
        return false;
    }
    try {
        target = parseEndpoint(text);
        return true;
    } catch (const Error &error) {
        this->report(key, error.what());
        return false;
    }
}

bool TableReader::readEndpoints(std::string_view key, std::vector<Endpoint> &target, Presence presence)
{
    const auto *array = this->findValueAs<Array>(key, presence);
    if (array == nullptr) {
        return false;
    }
    std::vector<Endpoint> endpoints;
    bool valid = true;
    for (const auto &element : *array) {
        try {
            const auto *text = std::get_if<std::string>(&element.content);
            endpoints.push_back(parseEndpoint(text == nullptr ? std::string_view() : std::string_view(*text)));
        } catch (const Error &error) {
            this->mistakes->push_back({.line = element.line, .key = this->keyPath(key), .reason = error.what()});
            valid = false;
        }
    }
    if (valid) {
        target = std::move(endpoints);
    }
    return valid;
}

bool TableReader::readChoice(std::string_view key,
                             std::size_t &target,
                             const std::vector<std::string> &choices,
                             Presence presence)
{
    const auto *text = this->findValueAs<std::string>(key, presence);
    if (text == nullptr) {
        return false;
    }
    const auto position = std::ranges::find(choices, *text);
    if (position == choices.end()) {
        this->report(key, "'" + *text + "' is not one of: " + joinNames(choices));
        return false;
    }
    target = static_cast<std::size_t>(position - choices.begin());
    return true;
}

TableReader TableReader::readTable(std::string_view key, Presence presence)
{
    static const Value Empty{.line = 0, .content = Table{}};
    const auto *value = this->findValue(key, presence);
    if (value != nullptr && !std::holds_alternative<Table>(value->content)) {
        this->report(key, wrongTypeMessage("a table", *value));
        value = nullptr;
    }
    const auto *member = value == nullptr ? nullptr : this->find(key);
    return {value == nullptr ? Empty : *value,
            this->keyPath(key),
            std::string(key),
            member == nullptr ? this->line : member->line,
            *this->mistakes};
}

std::vector<TableReader> TableReader::readTables(std::string_view key, Presence presence)
{
    std::vector<TableReader> readers;
    const auto *array = this->findValueAs<Array>(key, presence);
    if (array == nullptr) {
        return readers;
    }
    for (const auto &element : *array) {
        const std::string elementPath = this->keyPath(key) + "[" + std::to_string(readers.size()) + "]";
        if (std::holds_alternative<Table>(element.content)) {
            readers.push_back(TableReader(element, elementPath, std::string(key), element.line, *this->mistakes));
        } else {
            this->mistakes->push_back(
                {.line = element.line, .key = elementPath, .reason = wrongTypeMessage("a table", element)});
        }
    }
    return readers;
}

std::vector<TableReader> TableReader::readNamedTables()
{
    std::vector<TableReader> readers;
    for (const auto &member : *this->table) {
        this->knownKeys.push_back(member.key);
        if (!internal::isName(member.key)) {
            this->report(member.key, "is not a name: " + std::string(internal::NameRule));
        } else if (!std::holds_alternative<Table>(member.value.content)) {
            this->report(member.key, wrongTypeMessage("a table", member.value));
        } else {
            readers.push_back(
                TableReader(member.value, this->keyPath(member.key), member.key, member.line, *this->mistakes));
        }
    }
    return readers;
}

bool TableReader::has(std::string_view key) const
{
    return this->find(key) != nullptr;
}

bool TableReader::holdsTable(std::string_view key) const
{
    const auto *member = this->find(key);
    return member != nullptr && std::holds_alternative<Table>(member->value.content);
}

const std::string &TableReader::name() const
{
    return this->tableName;
}

void TableReader::finish()
{
    for (const auto &member : *this->table) {
        if (std::ranges::find(this->knownKeys, member.key) == this->knownKeys.end()) {
            this->report(member.key, "unknown key; the known ones are: " + joinNames(this->knownKeys));
        }
    }
}

} // namespace Verbenadock::Toml
