/// @file
/// Builds answers to callers.
#pragma once

#include "ArchivedSubmissions.h"
#include "SubmissionRecord.h"

namespace Eelgrasscleat
{

/// @returns a failed answer with a retry hint and an explanation for the caller.
schema::SubmissionAnswer
failedAnswer(const std::string &key, schema::FailureReason reason, schema::RunCertainty certainty);
/// @returns the answer to a fetch or cancel of a submission that has not ended yet.
schema::SubmissionAnswer pendingAnswer(const std::string &key);
/// @returns the answer of a submission whose tasks are all done, with the results in task order. Moves the outputs
/// out of @p record.
schema::SubmissionAnswer completeAnswer(SubmissionRecord &record);
/// @returns the answer of an ended submission whose full answer is no longer cached.
schema::SubmissionAnswer expiredAnswer(const std::string &key, const EndedSubmission &ended);

} // namespace Eelgrasscleat
