/// @file
/// Attempts, retries, and the one answer of a submission at its home.
#include "TableFixture.h"

#include <set>

namespace Eelgrasscleat
{

class OutcomeTest : public TableFixture
{
    CPPUNIT_TEST_SUITE(OutcomeTest);
    CPPUNIT_TEST(job_doneOutOfOrder_completeInTaskOrder);
    CPPUNIT_TEST(job_oneTaskFailed_failsRanAndWithdraws);
    CPPUNIT_TEST(job_oneTaskLost_mayHaveRun);
    CPPUNIT_TEST(job_lostAfterAnotherRan_ran);
    CPPUNIT_TEST(job_cancelledBeforeAttempt_notRunForEver);
    CPPUNIT_TEST(endAttempt_repeatedOrLate_isIgnored);
    CPPUNIT_TEST(endAttempt_refused_triesAgain);
    CPPUNIT_TEST(endAttempt_budgetUsedUp_waitsThenTargetRefused);
    CPPUNIT_TEST(endAttempt_budgetUsedUp_freshAttemptsReleaseTask);
    CPPUNIT_TEST(endAttempt_allRefused_retriesStayWithinBudget);
    CPPUNIT_TEST(request_idempotentLost_isRepeated);
    CPPUNIT_TEST(request_nonIdempotentLost_isNotRepeated);
    CPPUNIT_TEST(beginAttempt_repeatedOrOverdue_isRefused);
    CPPUNIT_TEST(tick_deadlineWhileRunning_answersAtOnce);
    CPPUNIT_TEST(submit_again_getsSameAnswerThenExpired);
    CPPUNIT_TEST(handleQueueRefusal_newSubmission_notRunAndFinal);
    CPPUNIT_TEST(failQueuedTask_noSuitableTarget_notRun);
    CPPUNIT_TEST(detachCaller_submissionEnds_isNotAnswered);
    CPPUNIT_TEST(fetch_withAndWithoutWait_pendingThenAnswer);
    CPPUNIT_TEST(names_allValues_areDistinct);
    CPPUNIT_TEST_SUITE_END();

public:
    void job_doneOutOfOrder_completeInTaskOrder()
    {
        const SubmissionId id = start(job("k", 2, ticketOf(Self)));
        const AttemptId first = begin(id, 0);
        const AttemptId second = begin(id, 1);
        end(second, AttemptOutcome::Done, "b");
        CPPUNIT_ASSERT(m_out.empty());
        end(first, AttemptOutcome::Done, "a");
        const auto answer = only<AnswerCaller>().answer;
        CPPUNIT_ASSERT(answer.status() == schema::ANSWER_STATUS_COMPLETE);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), answer.results(0).output());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), answer.results(1).output());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_table.unfinishedSubmissions());
    }

    void job_oneTaskFailed_failsRanAndWithdraws()
    {
        const SubmissionId id = start(job("k", 2, ticketOf(Self)));
        end(begin(id), AttemptOutcome::Failed);
        CPPUNIT_ASSERT(std::get<WithdrawTasks>(m_out.at(0)).submission == id);
        expectFailure(1, schema::FAILURE_REASON_TARGET_FAILED, schema::RUN_CERTAINTY_RAN);
        CPPUNIT_ASSERT(!m_table.beginAttempt({ id, 1 }, m_clock));
    }

    void job_oneTaskLost_mayHaveRun()
    {
        const SubmissionId id = start(job("k", 1, ticketOf(Self)));
        CPPUNIT_ASSERT(end(begin(id), AttemptOutcome::Lost) == RetryDecision::RefusedMayHaveRun);
        expectFailure(1, schema::FAILURE_REASON_TARGET_LOST, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void job_lostAfterAnotherRan_ran()
    {
        const SubmissionId id = start(job("k", 2, ticketOf(Self)));
        end(begin(id, 0), AttemptOutcome::Done);
        end(begin(id, 1), AttemptOutcome::Lost);
        expectFailure(1, schema::FAILURE_REASON_TARGET_LOST, schema::RUN_CERTAINTY_RAN);
    }

    void job_cancelledBeforeAttempt_notRunForEver()
    {
        const SubmissionId id = start(job("k", 2, ticketOf(Self)));
        end(begin(id), AttemptOutcome::RefusedBusy);
        m_out.clear();
        cancel("k", 0);
        expectFailure(1, schema::FAILURE_REASON_CANCELLED, schema::RUN_CERTAINTY_NOT_RUN);
        CPPUNIT_ASSERT(!m_table.beginAttempt({ id, 0 }, m_clock));
        submit(job("k", 2, ticketOf(Self)), 2);
        expectFailure(2, schema::FAILURE_REASON_CANCELLED, schema::RUN_CERTAINTY_NOT_RUN);
    }

    void endAttempt_repeatedOrLate_isIgnored()
    {
        const SubmissionId id = start(job("k", 2, ticketOf(Self)));
        const AttemptId first = begin(id, 0);
        end(first, AttemptOutcome::RefusedBusy);
        const AttemptId second = begin(id, 0);
        m_out.clear();
        end(first, AttemptOutcome::Done, "late");
        end(first, AttemptOutcome::Lost);
        end(AttemptId(99), AttemptOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(2U, m_table.tasksLeft(id));
        end(second, AttemptOutcome::Done, "right");
        end(second, AttemptOutcome::Done, "again");
        CPPUNIT_ASSERT_EQUAL(1U, m_table.tasksLeft(id));
        end(begin(id, 1), AttemptOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::string("right"), only<AnswerCaller>().answer.results(0).output());
    }

    void endAttempt_refused_triesAgain()
    {
        const SubmissionId id = start(job("k", 1, ticketOf(Self)));
        CPPUNIT_ASSERT(end(begin(id), AttemptOutcome::NotSent) == RetryDecision::RetriedNotSent);
        CPPUNIT_ASSERT(only<EnqueueTasks>().isRetry);
        CPPUNIT_ASSERT(end(begin(id), AttemptOutcome::RefusedLeaving) == RetryDecision::RetriedRefused);
        CPPUNIT_ASSERT(only<EnqueueTasks>().isRetry);
    }

    void endAttempt_budgetUsedUp_waitsThenTargetRefused()
    {
        const SubmissionId id = start(job("k", 1, ticketOf(Self)));
        useUpBudget(id);
        CPPUNIT_ASSERT(!m_table.beginAttempt({ id, 0 }, m_clock));
        advance(std::chrono::milliseconds(1999));
        CPPUNIT_ASSERT(m_out.empty());
        advance(std::chrono::milliseconds(1));
        expectFailure(1, schema::FAILURE_REASON_TARGET_REFUSED, schema::RUN_CERTAINTY_NOT_RUN);
    }

    void endAttempt_budgetUsedUp_freshAttemptsReleaseTask()
    {
        const SubmissionId id = start(job("k", 1, ticketOf(Self)));
        useUpBudget(id);
        submit(job("l", 10, ticketOf(Self)), 2);
        const SubmissionId other = only<EnqueueTasks>().submission;
        for (std::uint32_t task = 0; task < 10; ++task) {
            begin(other, task);
        }
        advance(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(only<EnqueueTasks>().submission == id);
    }

    void endAttempt_allRefused_retriesStayWithinBudget()
    {
        constexpr std::uint32_t Tasks = 5000;
        constexpr std::size_t InitialRetries = 10;
        const SubmissionId id = start(job("k", Tasks, ticketOf(Self)));
        std::size_t retries = 0;
        for (std::uint32_t task = 0; task < Tasks; ++task) {
            auto decision = end(begin(id, task), AttemptOutcome::RefusedBusy);
            while (decision == RetryDecision::RetriedRefused && retries < Tasks) {
                ++retries;
                decision = end(begin(id, task), AttemptOutcome::RefusedBusy);
            }
        }
        CPPUNIT_ASSERT(retries <= Tasks / 10 + InitialRetries);
        CPPUNIT_ASSERT(retries >= Tasks / 10);
    }

    void request_idempotentLost_isRepeated()
    {
        const SubmissionId id = start(request("k"), true);
        CPPUNIT_ASSERT(end(begin(id), AttemptOutcome::Lost) == RetryDecision::RetriedIdempotent);
        CPPUNIT_ASSERT(only<EnqueueTasks>().isRetry);
        cancel("k", 0);
        expectFailure(1, schema::FAILURE_REASON_CANCELLED, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void request_nonIdempotentLost_isNotRepeated()
    {
        schema::Submission marked = request("k");
        marked.set_non_idempotent(true);
        end(begin(start(marked, true)), AttemptOutcome::Lost);
        expectFailure(1, schema::FAILURE_REASON_TARGET_LOST, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        end(begin(start(request("l"), false)), AttemptOutcome::Lost);
        expectFailure(1, schema::FAILURE_REASON_TARGET_LOST, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        end(begin(start(job("m", 1, ticketOf(Self)), true)), AttemptOutcome::Lost);
        expectFailure(1, schema::FAILURE_REASON_TARGET_LOST, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void beginAttempt_repeatedOrOverdue_isRefused()
    {
        schema::Submission body = job("k", 2, ticketOf(Self));
        body.set_deadline_ms(100);
        const SubmissionId id = start(body);
        begin(id, 0);
        CPPUNIT_ASSERT(!m_table.beginAttempt({ id, 0 }, m_clock));
        CPPUNIT_ASSERT(!m_table.beginAttempt({ id, 2 }, m_clock));
        CPPUNIT_ASSERT(!m_table.beginAttempt({ SubmissionId(99), 0 }, m_clock));
        m_clock.now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(!m_table.beginAttempt({ id, 1 }, m_clock));
    }

    void tick_deadlineWhileRunning_answersAtOnce()
    {
        schema::Submission body = job("k", 1, ticketOf(Self));
        body.set_deadline_ms(100);
        const AttemptId attempt = begin(start(body));
        advance(std::chrono::milliseconds(100));
        expectFailure(1, schema::FAILURE_REASON_DEADLINE, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        end(attempt, AttemptOutcome::Done, "late");
        CPPUNIT_ASSERT(m_out.empty());
    }

    void submit_again_getsSameAnswerThenExpired()
    {
        const schema::Submission body = job("k", 1, ticketOf(Self));
        const AttemptId attempt = begin(start(body));
        submit(body, 2);
        end(attempt, AttemptOutcome::Done, "plate");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, all<AnswerCaller>().size());
        submit(body, 3);
        CPPUNIT_ASSERT_EQUAL(std::string("plate"), only<AnswerCaller>().answer.results(0).output());
        advance(defaultSettings().answerRetention);
        submit(body, 4);
        expectFailure(4, schema::FAILURE_REASON_ANSWER_EXPIRED, schema::RUN_CERTAINTY_RAN);
    }

    void handleQueueRefusal_newSubmission_notRunAndFinal()
    {
        const SubmissionId id = start(job("k", 1, ticketOf(Self)));
        m_table.handleQueueRefusal(id, schema::FAILURE_REASON_QUEUE_FULL, m_clock, m_out);
        const auto answer = expectFailure(1, schema::FAILURE_REASON_QUEUE_FULL, schema::RUN_CERTAINTY_NOT_RUN);
        CPPUNIT_ASSERT_EQUAL(0U, answer.retry_after_ms());
        submit(job("k", 1, ticketOf(Self)), 2);
        expectFailure(2, schema::FAILURE_REASON_QUEUE_FULL, schema::RUN_CERTAINTY_NOT_RUN);
    }

    void failQueuedTask_noSuitableTarget_notRun()
    {
        const SubmissionId id = start(job("k", 2, ticketOf(Self)));
        m_table.failQueuedTask({ id, 1 }, schema::FAILURE_REASON_NO_SUITABLE_TARGET, m_clock, m_out);
        expectFailure(1, schema::FAILURE_REASON_NO_SUITABLE_TARGET, schema::RUN_CERTAINTY_NOT_RUN);
    }

    void detachCaller_submissionEnds_isNotAnswered()
    {
        const AttemptId attempt = begin(start(job("k", 1, ticketOf(Self))));
        m_table.detachCaller(CallerId(1));
        end(attempt, AttemptOutcome::Done);
        CPPUNIT_ASSERT(m_out.empty());
    }

    void fetch_withAndWithoutWait_pendingThenAnswer()
    {
        const AttemptId attempt = begin(start(job("k", 1, ticketOf(Self))));
        m_table.fetch(CustomerName("club"), "k", CallerId(2), false, m_out);
        CPPUNIT_ASSERT(only<AnswerCaller>().answer.status() == schema::ANSWER_STATUS_PENDING);
        m_table.fetch(CustomerName("club"), "k", CallerId(3), true, m_out);
        CPPUNIT_ASSERT(m_out.empty());
        end(attempt, AttemptOutcome::Done, "plate");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, all<AnswerCaller>().size());
        m_table.fetch(CustomerName("club"), "k", CallerId(4), true, m_out);
        CPPUNIT_ASSERT(only<AnswerCaller>().answer.status() == schema::ANSWER_STATUS_COMPLETE);
        m_table.fetch(CustomerName("rival"), "k", CallerId(5), true, m_out);
        expectFailure(5, schema::FAILURE_REASON_UNKNOWN_SUBMISSION, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void names_allValues_areDistinct()
    {
        std::set<std::string_view> names;
        for (int i = 0; i <= static_cast<int>(AttemptOutcome::Lost); ++i) {
            names.insert(attemptOutcomeName(static_cast<AttemptOutcome>(i)));
        }
        for (int i = 0; i <= static_cast<int>(RetryDecision::RefusedMayHaveRun); ++i) {
            names.insert(retryDecisionName(static_cast<RetryDecision>(i)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 11 }, names.size());
        CPPUNIT_ASSERT(!names.contains(""));
    }

private:
    /// Submits for caller 1. @returns the number under which its tasks were queued.
    SubmissionId start(const schema::Submission &submission, bool idempotent = false)
    {
        submit(submission, 1, idempotent);
        return only<EnqueueTasks>().submission;
    }

    void useUpBudget(SubmissionId id)
    {
        auto decision = end(begin(id), AttemptOutcome::RefusedBusy);
        for (int i = 0; i < 100 && decision == RetryDecision::RetriedRefused; ++i) {
            decision = end(begin(id), AttemptOutcome::RefusedBusy);
        }
        CPPUNIT_ASSERT(decision == RetryDecision::RefusedByBudget);
        m_out.clear();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutcomeTest);

} // namespace Eelgrasscleat
