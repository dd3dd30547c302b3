#include "harness/environment.h"

#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>

namespace {

/// Keeps the log files of a test case as soon as one of its assertions fails.
struct KeepFilesOnFailure : Catch::TestEventListenerBase
{
    using Catch::TestEventListenerBase::TestEventListenerBase;

    bool assertionEnded(const Catch::AssertionStats &stats) override
    {
        if (!stats.assertionResult.isOk()) {
            Verbenadock::Test::keepTemporaryFiles();
        }
        return false;
    }
};

CATCH_REGISTER_LISTENER(KeepFilesOnFailure)

} // namespace
