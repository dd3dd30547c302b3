#ifndef VERBENADOCK_BUNDLE_RESTATEMENT_H
#define VERBENADOCK_BUNDLE_RESTATEMENT_H

#include "verbenadock/bundle/history.h"

#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Bundles {

/// The record that states a version in force again before its own records expire: its proposal, sign-off and roll-out
/// and the offset at which it came into force. Throws RecordError.
std::string encodeRestatement(const AcceptedVersion &version);

/// Nothing when the record is of another type. Throws RecordError when a restatement is malformed. The signatures are
/// not checked.
std::optional<AcceptedVersion> decodeRestatement(std::string_view data);

} // namespace Verbenadock::Bundles

#endif
