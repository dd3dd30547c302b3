#ifndef VERBENADOCK_CTL_CONFIGURATIONLOG_H
#define VERBENADOCK_CTL_CONFIGURATIONLOG_H

#include "verbenadock/bundle/history.h"
#include "verbenadock/platform/logclient.h"
#include "verbenadock/settings/settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Ctl {

/// The configuration stream of the platform's log with the fold over its records.
class ConfigurationLog
{
public:
    explicit ConfigurationLog(const Settings::CtlSettings &settings);

    /// Reads the records since the last call. Throws CtlError when the log is unavailable.
    void refresh();

    /// Appends a record and returns what it did. When the answer is lost, looks for the record in the log and repeats
    /// the append if it is missing. Throws CtlError when the log is unavailable.
    Bundles::HistoryEntry append(const std::string &data);

    const Bundles::History &history() const;

    /// Content of a version that was in force, or else of its newest valid proposal.
    std::optional<std::string> content(const std::string &name, std::uint64_t version) const;

    /// Version in force; 0 when there is none.
    std::uint64_t versionInForce(const std::string &name) const;

    /// Whether the log has dropped its oldest records, so that the fold may lack versions.
    bool isTruncated() const;

private:
    struct Content
    {
        Bundles::VersionReference reference;
        std::string text;
        bool wasInForce = false;
    };

    void read();
    void apply(const Platform::LogRecord &record);
    std::optional<Bundles::HistoryEntry> entryOf(const std::string &data) const;

    Platform::LogClient client;
    Bundles::History fold;
    std::uint64_t next = 0;
    bool truncated = false;
    std::vector<Content> contents;
    struct Applied
    {
        std::string data;
        Bundles::HistoryEntry entry;
    };
    std::vector<Applied> applied;
};

} // namespace Verbenadock::Ctl

#endif
