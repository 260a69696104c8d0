/// @file
/// Which incarnation may start a submission, and what the others answer.
#include "TableFixture.h"

namespace Eelgrasscleat
{

class HomeTest : public TableFixture
{
    CPPUNIT_TEST_SUITE(HomeTest);
    CPPUNIT_TEST(submit_ticketOfSelf_enqueuesAllTasks);
    CPPUNIT_TEST(submit_ticketOfOther_forwardsAndPassesAnswerOn);
    CPPUNIT_TEST(submit_ticketOfOtherByPeer_isNotPassedOn);
    CPPUNIT_TEST(submit_withoutTicket_startsAfterOwnClaimOnly);
    CPPUNIT_TEST(applyClaim_ownRepeated_startsOnce);
    CPPUNIT_TEST(applyClaim_rivalFirst_forwardsToWinner);
    CPPUNIT_TEST(applyClaim_beforeSubmission_forwardsWithoutClaim);
    CPPUNIT_TEST(submit_logUnusable_mayHaveRunAndKeepsNothing);
    CPPUNIT_TEST(failUnsentClaim_waiting_allowsAnotherClaim);
    CPPUNIT_TEST(applyClaim_afterDeadline_neverStartsAndIsNotRun);
    CPPUNIT_TEST(applyClaim_rivalAfterCancel_passesCancelOn);
    CPPUNIT_TEST(submit_otherBody_keyConflict);
    CPPUNIT_TEST(submit_otherBodyWhileClaiming_mayHaveRun);
    CPPUNIT_TEST(submit_otherBodyAfterForgetting_mayHaveRun);
    CPPUNIT_TEST(submit_ticketForClaimedKey_keyConflict);
    CPPUNIT_TEST(applyClaim_wallClockSetBack_staysKnown);
    CPPUNIT_TEST(submit_olderThanMaxAge_tooOld);
    CPPUNIT_TEST(submit_wallClockSetBack_staysTooOld);
    CPPUNIT_TEST(submit_createdAhead_fromFuture);
    CPPUNIT_TEST(submit_badForm_invalidNotRun);
    CPPUNIT_TEST(submit_memoryFull_forgottenIsTooOldAndNeverStarts);
    CPPUNIT_TEST(handleHomeLost_unreachable_mayHaveRunAndRetryForwardsAgain);
    CPPUNIT_TEST(handleHomeLost_gone_refusesFromThenOn);
    CPPUNIT_TEST(importAnswer_homeGone_resubmissionGetsKeptAnswer);
    CPPUNIT_TEST(completeForward_twice_isIgnored);
    CPPUNIT_TEST(stopAccepting_newSubmissions_refusedOthersForwarded);
    CPPUNIT_TEST(cancel_ticketOfOther_isPassedOn);
    CPPUNIT_TEST(parseTicket_anyText_onlyTicketsPass);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_table.setLogUsable(true, m_clock, m_out);
    }

    void submit_ticketOfSelf_enqueuesAllTasks()
    {
        submit(job("k", 3, ticketOf(Self)), 1);
        const auto queued = only<EnqueueTasks>();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, queued.tasks.size());
        CPPUNIT_ASSERT(!queued.isRetry);
        CPPUNIT_ASSERT_EQUAL(3U, m_table.tasksLeft(queued.submission));
        CPPUNIT_ASSERT_EQUAL(std::string("k"), m_table.body(queued.submission)->key());
    }

    void submit_ticketOfOther_forwardsAndPassesAnswerOn()
    {
        submit(job("k", 1, ticketOf(Other)), 1);
        const auto forward = only<ForwardToHome>();
        CPPUNIT_ASSERT(forward.home == Other);
        submit(job("k", 1, ticketOf(Other)), 2);
        CPPUNIT_ASSERT(m_out.empty());
        schema::SubmissionAnswer answer;
        answer.set_key("k");
        answer.set_status(schema::ANSWER_STATUS_COMPLETE);
        m_table.completeForward(forward.submission, answer, m_out);
        const auto answers = all<AnswerCaller>();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, answers.size());
        CPPUNIT_ASSERT_EQUAL(ticketOf(Self), answers[1].answer.ticket());
    }

    void submit_ticketOfOtherByPeer_isNotPassedOn()
    {
        m_table.submit(job("k", 1, ticketOf(Other)), {}, CallerId(1), true, m_clock, m_out);
        expectFailure(1, schema::FAILURE_REASON_HOME_UNREACHABLE, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void submit_withoutTicket_startsAfterOwnClaimOnly()
    {
        submit(job("k", 2, ""), 1);
        CPPUNIT_ASSERT(m_out.size() == 1);
        CPPUNIT_ASSERT(only<AppendClaim>().digest == digestOf("k"));
        readClaim("k", Self);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, only<EnqueueTasks>().tasks.size());
    }

    void applyClaim_ownRepeated_startsOnce()
    {
        submit(job("k", 1, ""), 1);
        readClaim("k", Self);
        readClaim("k", Self);
        readClaim("k", Other);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, all<EnqueueTasks>().size());
    }

    void applyClaim_rivalFirst_forwardsToWinner()
    {
        submit(job("k", 1, ""), 1);
        readClaim("k", Other);
        CPPUNIT_ASSERT(only<ForwardToHome>().home == Other);
        readClaim("k", Self);
        CPPUNIT_ASSERT(m_out.empty());
    }

    void applyClaim_beforeSubmission_forwardsWithoutClaim()
    {
        readClaim("k", Other);
        submit(job("k", 1, ""), 1);
        CPPUNIT_ASSERT(std::holds_alternative<ForwardToHome>(m_out.at(0)));
    }

    void submit_logUnusable_mayHaveRunAndKeepsNothing()
    {
        m_table.setLogUsable(false, m_clock, m_out);
        submit(job("k", 1, ""), 1);
        const auto answer =
            expectFailure(1, schema::FAILURE_REASON_CLAIM_UNAVAILABLE, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        CPPUNIT_ASSERT(answer.retry_after_ms() > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_table.unfinishedSubmissions());
        submit(job("t", 1, ticketOf(Self)), 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, all<EnqueueTasks>().size());
    }

    void failUnsentClaim_waiting_allowsAnotherClaim()
    {
        submit(job("k", 1, ""), 1);
        m_out.clear();
        m_table.failUnsentClaim(digestOf("k"), m_clock, m_out);
        expectFailure(1, schema::FAILURE_REASON_CLAIM_UNAVAILABLE, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        submit(job("k", 1, ""), 2);
        only<AppendClaim>();
    }

    void applyClaim_afterDeadline_neverStartsAndIsNotRun()
    {
        schema::Submission body = job("k", 1, "");
        body.set_deadline_ms(500);
        submit(body, 1);
        m_out.clear();
        advance(std::chrono::milliseconds(500));
        expectFailure(1, schema::FAILURE_REASON_DEADLINE, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        readClaim("k", Self);
        CPPUNIT_ASSERT(m_out.empty());
        submit(body, 2);
        expectFailure(2, schema::FAILURE_REASON_DEADLINE, schema::RUN_CERTAINTY_NOT_RUN);
    }

    void applyClaim_rivalAfterCancel_passesCancelOn()
    {
        submit(job("k", 1, ""), 1);
        cancel("k", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, all<AnswerCaller>().size());
        readClaim("k", Other);
        CPPUNIT_ASSERT(only<ForwardCancelToHome>().home == Other);
        submit(job("k", 1, ""), 3);
        CPPUNIT_ASSERT(only<ForwardToHome>().home == Other);
    }

    void submit_otherBody_keyConflict()
    {
        submit(job("k", 1, ticketOf(Self)), 1);
        m_out.clear();
        submit(job("k", 2, ticketOf(Self)), 2);
        expectFailure(2, schema::FAILURE_REASON_KEY_CONFLICT, schema::RUN_CERTAINTY_NOT_RUN);
        submit(job("k", 1, ""), 3);
        // Without a ticket another instance may have claimed and run it.
        expectFailure(3, schema::FAILURE_REASON_KEY_CONFLICT, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        cancel("k", 4);
        m_out.clear();
        submit(job("k", 2, ticketOf(Self)), 5);
        expectFailure(5, schema::FAILURE_REASON_KEY_CONFLICT, schema::RUN_CERTAINTY_NOT_RUN);
    }

    void submit_otherBodyWhileClaiming_mayHaveRun()
    {
        // The claim may be lost, and then nothing here remembers the refused body.
        submit(job("k", 1, ""), 1);
        m_out.clear();
        submit(job("k", 1, ticketOf(Self)), 2);
        expectFailure(2, schema::FAILURE_REASON_KEY_CONFLICT, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        cancel("k", 0);
        m_out.clear();
        submit(job("k", 1, ticketOf(Self)), 3);
        expectFailure(3, schema::FAILURE_REASON_KEY_CONFLICT, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void submit_otherBodyAfterForgetting_mayHaveRun()
    {
        const schema::Submission forgotten = job("k", 1, ticketOf(Self));
        submit(forgotten, 1);
        cancel("k", 0);
        advance(defaultSettings().maxAge + std::chrono::seconds(10));
        schema::Submission later = forgotten;
        later.set_created_ms(static_cast<std::uint64_t>(m_clock.wall.time_since_epoch().count()));
        submit(later, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, all<EnqueueTasks>().size());
        submit(forgotten, 3);
        expectFailure(3, schema::FAILURE_REASON_KEY_CONFLICT, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void applyClaim_wallClockSetBack_staysKnown()
    {
        advance(defaultSettings().maxAge);
        schema::Submission body = job("k", 1, "");
        body.set_created_ms(static_cast<std::uint64_t>(m_clock.wall.time_since_epoch().count()));
        m_clock.wall -= std::chrono::hours(1);
        readClaim("k", Other);
        m_clock.wall += std::chrono::hours(1);
        advance(std::chrono::seconds(11));
        submit(body, 1);
        CPPUNIT_ASSERT(only<ForwardToHome>().home == Other);
    }

    void submit_ticketForClaimedKey_keyConflict()
    {
        readClaim("k", Other);
        submit(job("k", 1, ticketOf(Self)), 1);
        expectFailure(1, schema::FAILURE_REASON_KEY_CONFLICT, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void submit_olderThanMaxAge_tooOld()
    {
        advance(defaultSettings().maxAge);
        submit(job("k", 1, ticketOf(Self)), 1);
        expectFailure(1, schema::FAILURE_REASON_TOO_OLD, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        submit(job("l", 1, ""), 2);
        expectFailure(2, schema::FAILURE_REASON_TOO_OLD, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void submit_wallClockSetBack_staysTooOld()
    {
        advance(defaultSettings().maxAge);
        m_clock.wall -= std::chrono::hours(1);
        submit(job("k", 1, ticketOf(Self)), 1);
        expectFailure(1, schema::FAILURE_REASON_TOO_OLD, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void submit_createdAhead_fromFuture()
    {
        schema::Submission body = job("k", 1, ticketOf(Self));
        body.set_created_ms(StartMs + 1000);
        submit(body, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, all<EnqueueTasks>().size());
        body.set_key("l");
        body.set_created_ms(StartMs + 1001);
        submit(body, 2);
        expectFailure(2, schema::FAILURE_REASON_FROM_FUTURE, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        body.set_created_ms(StartMs + 2001);
        submit(body, 3);
        expectFailure(3, schema::FAILURE_REASON_FROM_FUTURE, schema::RUN_CERTAINTY_NOT_RUN);
    }

    void submit_badForm_invalidNotRun()
    {
        std::vector<schema::Submission> bad(7, job("k", 1, ticketOf(Self)));
        bad[0].clear_created_ms();
        bad[1].clear_tasks();
        bad[2].set_ticket("a12");
        bad[3].clear_key();
        bad[4].clear_customer();
        bad[5].set_created_ms(UINT64_MAX);
        bad[6].set_kind(schema::SUBMISSION_KIND_REQUEST);
        bad[6].add_tasks();
        for (const schema::Submission &body : bad) {
            submit(body, 1);
            expectFailure(1, schema::FAILURE_REASON_INVALID_REQUEST, schema::RUN_CERTAINTY_NOT_RUN);
        }
    }

    void submit_memoryFull_forgottenIsTooOldAndNeverStarts()
    {
        // More than the table of ended submissions holds, each a millisecond younger than the one before.
        constexpr std::uint64_t Submissions = 110'000;
        for (std::uint64_t i = 0; i < Submissions; ++i) {
            advance(std::chrono::milliseconds(1));
            submit(numbered(i), 1);
            cancel("k" + std::to_string(i), 0);
            m_out.clear();
        }
        submit(numbered(0), 2);
        expectFailure(2, schema::FAILURE_REASON_TOO_OLD, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        submit(numbered(Submissions / 2), 3);
        expectFailure(3, schema::FAILURE_REASON_ANSWER_EXPIRED, schema::RUN_CERTAINTY_NOT_RUN);
        submit(numbered(Submissions), 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, all<EnqueueTasks>().size());
    }

    void handleHomeLost_unreachable_mayHaveRunAndRetryForwardsAgain()
    {
        submit(job("k", 1, ticketOf(Other)), 1);
        m_out.clear();
        m_table.handleHomeLost(Other, false, m_clock, m_out);
        const auto answer =
            expectFailure(1, schema::FAILURE_REASON_HOME_UNREACHABLE, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        CPPUNIT_ASSERT(answer.retry_after_ms() > 0);
        submit(job("k", 1, ticketOf(Other)), 2);
        only<ForwardToHome>();
    }

    void handleHomeLost_gone_refusesFromThenOn()
    {
        submit(job("k", 1, ticketOf(Other)), 1);
        m_out.clear();
        m_table.handleHomeLost(Other, true, m_clock, m_out);
        expectFailure(1, schema::FAILURE_REASON_HOME_GONE, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        submit(job("k", 1, ticketOf(Other)), 2);
        expectFailure(2, schema::FAILURE_REASON_HOME_GONE, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void importAnswer_homeGone_resubmissionGetsKeptAnswer()
    {
        SubmissionTable stopping(Other, defaultSettings());
        const schema::Submission body = job("k", 1, ticketOf(Other));
        stopping.submit(body, {}, CallerId(1), false, m_clock, m_out);
        const auto queued = only<EnqueueTasks>();
        const auto attempt = stopping.beginAttempt({ queued.submission, 0 }, m_clock);
        stopping.endAttempt(*attempt, AttemptOutcome::Done, "plate", m_clock, m_out);
        m_out.clear();
        for (const auto &item : stopping.cachedAnswers(m_clock)) {
            m_table.importAnswer(item, m_clock);
        }
        m_table.handleHomeLost(Other, true, m_clock, m_out);
        submit(body, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("plate"), only<AnswerCaller>().answer.results(0).output());
        advance(defaultSettings().answerRetention);
        submit(body, 3);
        expectFailure(3, schema::FAILURE_REASON_HOME_GONE, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void completeForward_twice_isIgnored()
    {
        submit(job("k", 1, ticketOf(Other)), 1);
        const auto forward = only<ForwardToHome>();
        schema::SubmissionAnswer answer;
        m_table.completeForward(forward.submission, answer, m_out);
        m_table.completeForward(forward.submission, answer, m_out);
        only<AnswerCaller>();
    }

    void stopAccepting_newSubmissions_refusedOthersForwarded()
    {
        submit(job("running", 1, ticketOf(Self)), 1);
        m_out.clear();
        m_table.stopAccepting();
        submit(job("k", 1, ticketOf(Self)), 2);
        const auto answer = expectFailure(2, schema::FAILURE_REASON_LEAVING, schema::RUN_CERTAINTY_NOT_RUN);
        CPPUNIT_ASSERT(answer.ticket().empty());
        submit(job("l", 1, ""), 3);
        expectFailure(3, schema::FAILURE_REASON_LEAVING, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        submit(job("m", 1, ticketOf(Other)), 4);
        only<ForwardToHome>();
        submit(job("running", 1, ticketOf(Self)), 5);
        CPPUNIT_ASSERT(m_out.empty());
    }

    void cancel_ticketOfOther_isPassedOn()
    {
        m_table.cancel(CustomerName("club"), "k", CallerId(1), m_clock, m_out, Other);
        CPPUNIT_ASSERT(std::get<ForwardCancelToHome>(m_out.at(0)).home == Other);
        CPPUNIT_ASSERT(only<AnswerCaller>().answer.status() == schema::ANSWER_STATUS_PENDING);
        cancel("k", 2);
        expectFailure(2, schema::FAILURE_REASON_UNKNOWN_SUBMISSION, schema::RUN_CERTAINTY_MAY_HAVE_RUN);
    }

    void parseTicket_anyText_onlyTicketsPass()
    {
        const IncarnationId incarnation(0x0123456789abcdefULL);
        CPPUNIT_ASSERT(parseTicket(ticketOf(incarnation)) == incarnation);
        CPPUNIT_ASSERT(parseTicket(ticketOf(IncarnationId(UINT64_MAX))) == IncarnationId(UINT64_MAX));
        for (const char *text : { "", "a", "a0000000000000000", "b0123456789abcdef", "a0123456789abcdeg", "a-1" }) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseTicket(text));
        }
    }

private:
    static schema::Submission numbered(std::uint64_t number)
    {
        schema::Submission body = job("k" + std::to_string(number), 1, ticketOf(Self));
        body.set_created_ms(StartMs + 1 + number);
        return body;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeTest);

} // namespace Eelgrasscleat
