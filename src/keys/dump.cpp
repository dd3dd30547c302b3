#include "engine.h"

#include <nlohmann/json.hpp>

namespace Verbenadock::Keys::Internal {

namespace {

using Json = nlohmann::ordered_json;

const char *stageName(Stage stage)
{
    switch (stage) {
    case Stage::QueryingOwners:
        return "asking";
    case Stage::Running:
        return "running";
    case Stage::Answered:
        return "answered";
    case Stage::Unknown:
        return "unknown";
    case Stage::Fenced:
        return "fenced";
    }
    return "";
}

Json describe(const Entry &entry, TimePoint at)
{
    Json object{{"bundle", entry.key.bundle},
                {"key", entry.key.value},
                {"stage", stageName(entry.stage)},
                {"waiting", entry.waiting.size()}};
    if (entry.stage == Stage::Answered || entry.stage == Stage::Unknown) {
        object["age_ms"] = toMilliseconds(at - entry.endedAt);
        object["answer_kept"] = entry.answer.has_value();
    }
    if (entry.stage == Stage::QueryingOwners) {
        object["awaiting"] = entry.query.pending.size();
    }
    if (entry.fence) {
        object["fenced_by"] = entry.fence->by.vm;
        object["fenced_under"] = entry.fence->epoch;
    }
    return object;
}

} // namespace

std::string Engine::dump(TimePoint at) const
{
    Json keys = Json::array();
    for (const auto &[key, entry] : this->table.all()) {
        keys.push_back(describe(entry, at));
    }
    const auto *epoch = this->ownership.newestEpoch();
    const Json state{{"vm", this->settings.self.vm},
                     {"incarnation", this->settings.self.incarnation},
                     {"epoch", this->ownership.newest()},
                     {"confirmed_epoch", this->confirmedEpoch()},
                     {"known_epochs", this->ownership.epochCount()},
                     {"members", epoch == nullptr ? 0 : epoch->members.size()},
                     {"is_member", this->ownership.find(this->settings.self) != nullptr},
                     {"stopping", this->stopping.has_value()},
                     {"open_requests", this->requests.size()},
                     {"running", this->executing.size()},
                     {"transfers", this->ownership.transfers().size()},
                     {"answer_bytes", this->table.answerBytes()},
                     {"keys", std::move(keys)}};
    // Keys come from callers and need not be valid UTF-8.
    return state.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace Verbenadock::Keys::Internal
