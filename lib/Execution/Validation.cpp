/// @file
/// Implements the validation of a submission.
#include "Validation.h"

namespace Eelgrasscleat
{

/// Maximum length of a submission's key, in bytes.
static constexpr std::size_t MaxKeyBytes = 256;
/// Latest creation time, in milliseconds of wall time: the end of the year 9999.
static constexpr std::uint64_t MaxCreatedMs = 253'402'300'799'999;

std::optional<std::string> validateSubmission(const schema::Submission &submission)
{
    if (submission.customer().empty()) {
        return "customer is missing";
    }
    if (submission.key().empty() || submission.key().size() > MaxKeyBytes) {
        return "key must have 1 to " + std::to_string(MaxKeyBytes) + " bytes";
    }
    if (submission.created_ms() == 0) {
        return "created_ms is missing";
    }
    if (submission.created_ms() > MaxCreatedMs) {
        return "created_ms must be at most " + std::to_string(MaxCreatedMs);
    }
    if (!schema::SubmissionKind_IsValid(submission.kind())) {
        return "kind is unknown";
    }
    if (submission.tasks().empty()) {
        return "tasks are missing";
    }
    if (submission.kind() == schema::SUBMISSION_KIND_REQUEST && submission.tasks_size() != 1) {
        return "a request has exactly one task";
    }
    return std::nullopt;
}

} // namespace Eelgrasscleat
