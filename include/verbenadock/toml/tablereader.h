#ifndef VERBENADOCK_TOML_TABLEREADER_H
#define VERBENADOCK_TOML_TABLEREADER_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"
#include "verbenadock/toml/mistake.h"
#include "verbenadock/toml/value.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Toml {

enum class Presence {
    Optional,
    Required,
};

/// An inclusive range of valid values.
template<typename Number>
struct Range
{
    Number least = std::numeric_limits<Number>::lowest();
    Number most = std::numeric_limits<Number>::max();
};

/// Reads the typed keys of one table and collects every mistake. If the key is missing or its value is invalid, a read
/// function returns false and leaves its target unchanged.
///
/// Usage: `TableReader reader(table, "limits", mistakes); reader.readSize("max_header_bytes", limits.maxHeaderBytes);
/// reader.finish();`
class TableReader
{
public:
    /// The source and the list of mistakes must outlive the reader.
    TableReader(const Value &source, std::string sourcePath, Mistakes &collected);

    bool readText(std::string_view key, std::string &target, Presence presence = Presence::Optional);
    /// Text of 1 to 64 letters, digits, dots, hyphens and underscores.
    bool readName(std::string_view key, std::string &target, Presence presence = Presence::Optional);
    bool readFlag(std::string_view key, bool &target, Presence presence = Presence::Optional);
    bool readInteger(std::string_view key,
                     std::uint64_t &target,
                     Range<std::uint64_t> range = {},
                     Presence presence = Presence::Optional);
    bool readInteger(std::string_view key,
                     unsigned &target,
                     Range<unsigned> range,
                     Presence presence = Presence::Optional);
    bool readNumber(std::string_view key, double &target, Range<double> range, Presence presence = Presence::Optional);
    /// Text such as "250 ms", "2 s" or "5 min".
    bool readDuration(std::string_view key,
                      Duration &target,
                      Range<Duration> range,
                      Presence presence = Presence::Optional);
    /// Bytes as an integer, or text such as "64 KiB".
    bool readSize(std::string_view key,
                  std::size_t &target,
                  Range<std::size_t> range = {},
                  Presence presence = Presence::Optional);
    bool readEndpoint(std::string_view key, Endpoint &target, Presence presence = Presence::Optional);
    bool readEndpoints(std::string_view key, std::vector<Endpoint> &target, Presence presence = Presence::Optional);
    /// One of the given texts; the target is set to its index in the list.
    bool readChoice(std::string_view key,
                    std::size_t &target,
                    const std::vector<std::string> &choices,
                    Presence presence = Presence::Optional);

    /// Reader of a nested table; reads an empty table if the key is missing or holds another type.
    TableReader readTable(std::string_view key, Presence presence = Presence::Optional);
    /// One reader for each table of an array of tables.
    std::vector<TableReader> readTables(std::string_view key, Presence presence = Presence::Optional);
    /// One reader for each nested table, for tables whose keys are names given by the user.
    std::vector<TableReader> readNamedTables();

    bool has(std::string_view key) const;
    bool holdsTable(std::string_view key) const;

    /// Last key in the path of this table.
    const std::string &name() const;

    /// Adds a mistake about a key, or about the whole table if the key is empty.
    void report(std::string_view key, std::string reason);

    /// Reports every key that was not read as unknown. Must be called last.
    void finish();

private:
    TableReader(const Value &source,
                std::string sourcePath,
                std::string sourceName,
                std::size_t sourceLine,
                Mistakes &collected);
    const Member *find(std::string_view key) const;
    /// Value of the key, or nullptr if it is missing. Marks the key as known for finish().
    const Value *findValue(std::string_view key, Presence presence);
    template<typename Type>
    const Type *findValueAs(std::string_view key, Presence presence);
    std::string keyPath(std::string_view key) const;
    template<typename Type>
    bool store(std::string_view key, Type value, Range<Type> range, Type &target, std::string (*format)(const Type &));

    const Table *table;
    std::string path;
    std::string tableName;
    std::size_t line;
    Mistakes *mistakes;
    std::vector<std::string> knownKeys;
};

} // namespace Verbenadock::Toml

#endif
