/// @file
/// Builds answers to callers.
#include "Answers.h"

namespace Eelgrasscleat
{

/// Suggested delay before a retry after a transient rejection, in milliseconds.
static constexpr std::uint32_t RetryAfterMs = 1000;

static bool isTransient(schema::FailureReason reason)
{
    return reason == schema::FAILURE_REASON_CLAIM_UNAVAILABLE || reason == schema::FAILURE_REASON_HOME_UNREACHABLE
        || reason == schema::FAILURE_REASON_LEAVING;
}

static const char *detailOf(schema::FailureReason reason, schema::RunCertainty certainty)
{
    if (isTransient(reason) && certainty == schema::RUN_CERTAINTY_MAY_HAVE_RUN) {
        return "this request started nothing here; an earlier one of the submission may have; repeat it unchanged";
    }
    if (certainty == schema::RUN_CERTAINTY_NOT_RUN) {
        return "final for this submission; the work may be submitted again under a new key";
    }
    return "";
}

schema::SubmissionAnswer
failedAnswer(const std::string &key, schema::FailureReason reason, schema::RunCertainty certainty)
{
    schema::SubmissionAnswer answer;
    answer.set_key(key);
    answer.set_status(schema::ANSWER_STATUS_FAILED);
    answer.set_reason(reason);
    answer.set_certainty(certainty);
    answer.set_detail(detailOf(reason, certainty));
    // An answer with the certainty "not run" is final, so a retry under the same key would never succeed.
    if (isTransient(reason) && certainty != schema::RUN_CERTAINTY_NOT_RUN) {
        answer.set_retry_after_ms(RetryAfterMs);
    }
    return answer;
}

schema::SubmissionAnswer pendingAnswer(const std::string &key)
{
    schema::SubmissionAnswer answer;
    answer.set_key(key);
    answer.set_status(schema::ANSWER_STATUS_PENDING);
    answer.set_certainty(schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    return answer;
}

schema::SubmissionAnswer completeAnswer(SubmissionRecord &record)
{
    schema::SubmissionAnswer answer;
    answer.set_key(record.body.key());
    answer.set_status(schema::ANSWER_STATUS_COMPLETE);
    answer.set_certainty(schema::RUN_CERTAINTY_RAN);
    for (TaskProgress &task : record.tasks) {
        answer.add_results()->set_output(std::move(task.output));
    }
    return answer;
}

schema::SubmissionAnswer expiredAnswer(const std::string &key, const EndedSubmission &ended)
{
    schema::SubmissionAnswer answer = failedAnswer(key, schema::FAILURE_REASON_ANSWER_EXPIRED, ended.certainty);
    answer.set_detail("it ended, and its answer is no longer kept");
    return answer;
}

} // namespace Eelgrasscleat
