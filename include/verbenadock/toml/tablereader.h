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

/// Reads the typed keys of one table and collects every mistake. Each read function leaves its target alone and
/// returns false when the key is missing or wrong.
///
/// Usage: `TableReader reader(table, "limits", mistakes); reader.readSize("max_header_bytes", limits.maxHeaderBytes);
/// reader.finish();`
class TableReader
{
public:
    /// The table and the mistakes have to outlive the reader.
    TableReader(const Value &source, std::string sourcePath, Mistakes &collected);

    bool readText(std::string_view key, std::string &target, Presence presence = Presence::Optional);
    /// A name: 1 to 64 letters, digits, dots, hyphens and underscores.
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
    /// Text out of a list; the target gets the index in the list.
    bool readChoice(std::string_view key,
                    std::size_t &target,
                    const std::vector<std::string> &choices,
                    Presence presence = Presence::Optional);

    /// The table of a key; an empty table when the key is missing or wrong.
    TableReader readTable(std::string_view key, Presence presence = Presence::Optional);
    /// Each table of an array of tables.
    std::vector<TableReader> readTables(std::string_view key, Presence presence = Presence::Optional);
    /// A reader for each key of this table, for tables whose keys are names.
    std::vector<TableReader> readNamedTables();

    bool has(std::string_view key) const;
    /// Whether the key holds a table.
    bool holdsTable(std::string_view key) const;

    /// Last part of the path.
    const std::string &name() const;

    /// Reports a mistake about a key, or about the whole table when the key is empty.
    void report(std::string_view key, std::string reason);

    /// Reports every key that was not read. Call it last.
    void finish();

private:
    TableReader(const Value &source,
                std::string sourcePath,
                std::string sourceName,
                std::size_t sourceLine,
                Mistakes &collected);
    const Member *find(std::string_view key) const;
    const Value *take(std::string_view key, Presence presence);
    template<typename Type>
    const Type *takeAs(std::string_view key, Presence presence);
    std::string keyPath(std::string_view key) const;
    template<typename Type>
    bool store(std::string_view key, Type value, Range<Type> range, Type &target, std::string (*format)(const Type &));

    const Table *table;
    std::string path;
    std::string lastName;
    std::size_t line;
    Mistakes *mistakes;
    std::vector<std::string> known;
};

} // namespace Verbenadock::Toml

#endif
