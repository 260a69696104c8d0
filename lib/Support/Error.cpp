/// @file
/// Names of steps and error codes.
#include <eelgrasscleat/Support/Error.h>

#include <array>
#include <cassert>
#include <cstddef>

namespace Eelgrasscleat
{

static constexpr std::array<std::string_view, 15> StepNames = {
    "read_settings", "read_request", "check_contract",     "claim",         "queue",
    "place",         "connect",      "send_start",         "await_outcome", "forward",
    "append_record", "read_records", "read_instance_list", "apply_config",  "peer_stream",
};

static constexpr std::array<std::string_view, 8> ErrorCodeNames = {
    "invalid", "not_found", "conflict", "unavailable", "timed_out", "limit_exceeded", "refused", "lost",
};

std::string_view stepName(Step step)
{
    const auto index = static_cast<std::size_t>(step);
    assert(index < StepNames.size() && "every step has a name");
    return StepNames[index];
}

std::string_view errorCodeName(ErrorCode code)
{
    const auto index = static_cast<std::size_t>(code);
    assert(index < ErrorCodeNames.size() && "every error code has a name");
    return ErrorCodeNames[index];
}

std::string Error::text() const
{
    std::string text(stepName(step));
    if (!peer.empty()) {
        text += " (" + peer + ")";
    }
    text += ": ";
    text += errorCodeName(code);
    if (!detail.empty()) {
        text += ": " + detail;
    }
    return text;
}

} // namespace Eelgrasscleat
