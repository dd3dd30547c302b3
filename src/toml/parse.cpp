#include "verbenadock/toml/value.h"

// This is the only file that includes toml++, because the header takes several seconds to compile.
#include <toml++/toml.h>

#include <algorithm>

namespace Verbenadock::Toml {

namespace {

Value convert(const toml::node &node);

Value convertTable(const toml::table &source)
{
    Table table;
    table.reserve(source.size());
    for (const auto &[key, node] : source) {
        table.push_back({.key = std::string(key.str()), .line = key.source().begin.line, .value = convert(node)});
    }
    return Value{.line = source.source().begin.line, .content = std::move(table)};
}

Value convertArray(const toml::array &source)
{
    Array array;
    array.reserve(source.size());
    for (const auto &node : source) {
        array.push_back(convert(node));
    }
    return Value{.line = source.source().begin.line, .content = std::move(array)};
}

Value convert(const toml::node &node)
{
    if (const auto *table = node.as_table()) {
        return convertTable(*table);
    }
    if (const auto *array = node.as_array()) {
        return convertArray(*array);
    }
    Value value{.line = node.source().begin.line, .content = DateOrTime{}};
    if (const auto *text = node.as_string()) {
        value.content = text->get();
    } else if (const auto *integer = node.as_integer()) {
        value.content = integer->get();
    } else if (const auto *number = node.as_floating_point()) {
        value.content = number->get();
    } else if (const auto *flag = node.as_boolean()) {
        value.content = flag->get();
    }
    return value;
}

} // namespace

std::optional<Value> parse(std::string_view text, Mistakes &mistakes)
{
    try {
        return convertTable(toml::parse(text));
    } catch (const toml::parse_error &error) {
        mistakes.push_back({.line = error.source().begin.line, .key = {}, .reason = std::string(error.description())});
        return std::nullopt;
    }
}

std::string describe(Mistakes mistakes)
{
    std::ranges::stable_sort(mistakes, {}, &Mistake::line);
    std::string text;
    for (const auto &mistake : mistakes) {
        if (!text.empty()) {
            text += '\n';
        }
        if (mistake.line > 0) {
            text += "line " + std::to_string(mistake.line) + ": ";
        }
        if (!mistake.key.empty()) {
            text += mistake.key + ": ";
        }
        text += mistake.reason;
    }
    return text;
}

} // namespace Verbenadock::Toml
