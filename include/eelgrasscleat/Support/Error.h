/// @file
/// Typed errors: each carries the step and the peer at which it arose.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace Eelgrasscleat
{

/// Step of the work at which an error arose.
enum class Step
{
    ReadSettings,
    ReadRequest,
    CheckContract,
    Claim,
    Queue,
    Place,
    Connect,
    SendStart,
    AwaitOutcome,
    Forward,
    AppendRecord,
    ReadRecords,
    ReadInstanceList,
    ApplyConfig,
    PeerStream,
};

/// @returns the name of @p step as it stands in logs and metrics.
std::string_view stepName(Step step);

/// What kind of error it is.
enum class ErrorCode
{
    Invalid,
    NotFound,
    Conflict,
    Unavailable,
    TimedOut,
    LimitExceeded,
    Refused,
    Lost,
};

/// @returns the name of @p code as it stands in logs and metrics.
std::string_view errorCodeName(ErrorCode code);

/// An error with the step and the peer at which it arose.
struct Error
{
    ErrorCode code = ErrorCode::Invalid;
    Step step = Step::ReadRequest;
    std::string peer; ///< Address or name of the other side; empty if there is none.
    std::string detail;

    /// @returns one line with all four parts.
    [[nodiscard]] std::string text() const;
};

/// A value or an error.
template <typename T>
using Result = std::variant<T, Error>;

/// @returns whether @p result holds a value.
template <typename T>
[[nodiscard]] bool isOk(const Result<T> &result)
{
    return std::holds_alternative<T>(result);
}

/// Success without a value.
using Done = std::monostate;

} // namespace Eelgrasscleat
