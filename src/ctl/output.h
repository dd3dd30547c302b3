#ifndef VERBENADOCK_CTL_OUTPUT_H
#define VERBENADOCK_CTL_OUTPUT_H

#include "verbenadock/base/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Verbenadock::Ctl {

/// Exit statuses, as documented in the usage text.
enum class ExitStatus {
    Ok = 0,
    Usage = 1,
    /// Of `explain`: no upstream would get the request now. Its usage errors are InvalidInput.
    NoChoice = 1,
    InvalidInput = 2,
    NotAccepted = 3,
    Unavailable = 4,
    NotInForce = 5,
};

/// A command failed; the text tells the operator what happened and what to do next.
class CtlError : public Error
{
public:
    CtlError(ExitStatus exitStatus, const std::string &text, nlohmann::json details = nlohmann::json::object())
        : Error(text)
        , status(exitStatus)
        , data(std::move(details))
    {
    }

    const ExitStatus status;
    /// More members for --json.
    const nlohmann::json data;
};

/// What a command prints.
struct Output
{
    std::string text;
    /// Printed instead of the text with --json.
    nlohmann::json data;
    ExitStatus status = ExitStatus::Ok;
};

} // namespace Verbenadock::Ctl

#endif
