#ifndef VERBENADOCK_CTL_LOCAL_H
#define VERBENADOCK_CTL_LOCAL_H

#include "verbenadock/bundle/bundle.h"
#include "verbenadock/bundle/signature.h"
#include "verbenadock/settings/settings.h"

#include <string>

namespace Verbenadock::Ctl {

struct BundleFile
{
    std::string content;
    Bundles::Bundle bundle;
};

/// Throws CtlError with every mistake.
BundleFile readBundleFile(const std::string &file);

/// The operator's key, after checking that only its owner may read it and that it belongs to the operator. Throws
/// CtlError.
Bundles::PrivateKey readPrivateKey(const Settings::CtlSettings &settings);

} // namespace Verbenadock::Ctl

#endif
