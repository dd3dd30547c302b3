#include "verbenadock/bundle/difference.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace Verbenadock::Bundles {

namespace {

using Lines = std::vector<std::string_view>;

constexpr std::size_t ContextLines = 3;
// The table of longest common subsequences takes 4 bytes per pair of lines. Larger changes are shown as one
// replaced block to bound memory.
constexpr std::size_t MaxLinePairs = 16'000'000;

struct Edit
{
    char mark = ' ';
    std::string_view line;
};

Lines split(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size() - 1) + 1;
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end);
    }
    return lines;
}

/// Appends the edits of the lines between the shared prefix and the shared suffix.
void appendEdits(const Lines &before, const Lines &after, std::vector<Edit> &edits)
{
    const std::size_t width = after.size() + 1;
    const bool exceedsLimit = before.size() * after.size() > MaxLinePairs;
    // commonLengths[i * width + j] is the length of the longest subsequence shared by before[i..] and after[j..].
    std::vector<std::uint32_t> commonLengths(exceedsLimit ? 0 : (before.size() + 1) * width);
    for (std::size_t i = exceedsLimit ? 0 : before.size(); i-- > 0;) {
        for (std::size_t j = after.size(); j-- > 0;) {
            commonLengths[i * width + j] = before[i] == after[j] ? commonLengths[(i + 1) * width + j + 1] + 1
                                                                 : std::max(commonLengths[(i + 1) * width + j],
                                                                            commonLengths[i * width + j + 1]);
        }
    }
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        const bool inside = !exceedsLimit && i < before.size() && j < after.size();
        if (inside && before[i] == after[j]) {
            edits.push_back({' ', before[i]});
            ++i;
            ++j;
        } else if (i < before.size()
                   && (!inside || commonLengths[(i + 1) * width + j] >= commonLengths[i * width + j + 1])) {
            edits.push_back({'-', before[i++]});
        } else {
            edits.push_back({'+', after[j++]});
        }
    }
}

std::vector<Edit> compare(const Lines &before, const Lines &after)
{
    std::size_t start = 0;
    const auto shorter = std::min(before.size(), after.size());
    while (start < shorter && before[start] == after[start]) {
        ++start;
    }
    std::size_t end = 0;
    while (end < shorter - start && before[before.size() - 1 - end] == after[after.size() - 1 - end]) {
        ++end;
    }
    std::vector<Edit> edits;
    const auto at = [](const Lines &lines, std::size_t index) {
        return lines.begin() + static_cast<std::ptrdiff_t>(index);
    };
    std::for_each(before.begin(), at(before, start), [&edits](auto line) {
        edits.push_back({' ', line});
    });
    appendEdits(
        {at(before, start), at(before, before.size() - end)}, {at(after, start), at(after, after.size() - end)}, edits);
    std::for_each(at(before, before.size() - end), before.end(), [&edits](auto line) {
        edits.push_back({' ', line});
    });
    return edits;
}

std::string range(std::size_t start, std::size_t count)
{
    return std::to_string(count == 0 ? start : start + 1) + "," + std::to_string(count);
}

/// Formats the edits [first, last) as a hunk; `before` and `after` are the numbers of lines that precede the hunk.
std::string hunk(const std::vector<Edit> &edits,
                 std::size_t first,
                 std::size_t last,
                 std::size_t before,
                 std::size_t after)
{
    std::string body;
    std::size_t removed = 0;
    std::size_t added = 0;
    for (std::size_t index = first; index < last; ++index) {
        const auto &edit = edits[index];
        removed += edit.mark != '+' ? 1 : 0;
        added += edit.mark != '-' ? 1 : 0;
        body += edit.mark;
        body += edit.line;
        body += edit.line.ends_with('\n') ? "" : "\n\\ No newline at end of file\n";
    }
    return "@@ -" + range(before, removed) + " +" + range(after, added) + " @@\n" + body;
}

} // namespace

std::string unifiedDifference(const NamedText &before, const NamedText &after)
{
    if (before.text == after.text) {
        return {};
    }
    const auto edits = compare(split(before.text), split(after.text));
    std::string text = "--- " + std::string(before.name) + "\n+++ " + std::string(after.name) + "\n";
    std::size_t beforeLine = 0;
    std::size_t afterLine = 0;
    std::size_t previousEnd = 0;
    const auto isChange = [](const Edit &edit) {
        return edit.mark != ' ';
    };
    while (true) {
        const auto next = std::find_if(edits.begin() + static_cast<std::ptrdiff_t>(previousEnd), edits.end(), isChange);
        if (next == edits.end()) {
            return text;
        }
        const auto change = static_cast<std::size_t>(next - edits.begin());
        const auto first = change - std::min(change - previousEnd, ContextLines);
        beforeLine += first - previousEnd;
        afterLine += first - previousEnd;
        // The hunk ends where more unchanged lines follow than the context of two hunks covers.
        std::size_t last = change;
        for (auto index = change; index < edits.size() && index <= last + 2 * ContextLines; ++index) {
            last = isChange(edits[index]) ? index : last;
        }
        last = std::min(last + 1 + ContextLines, edits.size());
        text += hunk(edits, first, last, beforeLine, afterLine);
        for (auto index = first; index < last; ++index) {
            beforeLine += edits[index].mark != '+' ? 1 : 0;
            afterLine += edits[index].mark != '-' ? 1 : 0;
        }
        previousEnd = last;
    }
}

} // namespace Verbenadock::Bundles
