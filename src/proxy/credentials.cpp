#include "credentials.h"

#include "headwriter.h"

#include <algorithm>

namespace Verbenadock::Proxy::internal {

std::optional<Bundles::KeyDigest> keyDigest(const std::vector<Field> &fields, const Dialect &dialect)
{
    const auto value = dialect.credentialScheme.empty() ? std::nullopt : singleField(fields, "Authorization");
    if (!value) {
        return std::nullopt;
    }
    const auto space = std::min(value->find(' '), value->size());
    if (!equalsIgnoringCase(value->substr(0, space), dialect.credentialScheme)) {
        return std::nullopt;
    }
    const auto keyStart = std::min(value->find_first_not_of(' ', space), value->size());
    const auto key = value->substr(keyStart);
    if (key.empty() || key.size() > Bundles::MaxKeyBytes) {
        return std::nullopt;
    }
    return Bundles::digestOf(key);
}

} // namespace Verbenadock::Proxy::internal
