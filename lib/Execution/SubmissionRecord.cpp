/// @file
/// Implements the state derived from a submission's progress.
#include "SubmissionRecord.h"

namespace Eelgrasscleat
{

bool SubmissionRecord::canRepeat() const
{
    return body.kind() == schema::SUBMISSION_KIND_REQUEST && rules.idempotent && !body.non_idempotent();
}

schema::RunCertainty SubmissionRecord::certainty() const
{
    if (hasRun) {
        return schema::RUN_CERTAINTY_RAN;
    }
    if (hasLostAttempt || openAttempts > 0) {
        return schema::RUN_CERTAINTY_MAY_HAVE_RUN;
    }
    return schema::RUN_CERTAINTY_NOT_RUN;
}

void SubmissionRecord::enterHomePhase()
{
    phase = RecordPhase::Home;
    tasksLeft = static_cast<std::uint32_t>(body.tasks_size());
    tasks.resize(tasksLeft);
}

} // namespace Eelgrasscleat
