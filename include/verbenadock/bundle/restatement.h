#ifndef VERBENADOCK_BUNDLE_RESTATEMENT_H
#define VERBENADOCK_BUNDLE_RESTATEMENT_H

#include "verbenadock/bundle/history.h"

#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Bundles {

/// Encodes the record that repeats the proof of a version in force before its original records expire: the proposal,
/// sign-off and roll-out, and the offset at which the version came into force. Throws RecordError.
std::string encodeRestatement(const AcceptedVersion &version);

/// Returns std::nullopt for other record types. Throws RecordError when a restatement is malformed. Does not verify the
/// signatures.
std::optional<AcceptedVersion> decodeRestatement(std::string_view data);

} // namespace Verbenadock::Bundles

#endif
