/// @file
/// Tests of EntryCore: submissions across all components, and failures of instances, targets and the platform.
#include "CoreHarness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace Eelgrasscleat
{

class EntryCoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryCoreTest);
    CPPUNIT_TEST(submit_ownTicket_startsImmediatelyAndCompletes);
    CPPUNIT_TEST(submit_noTicket_startsAfterClaimIsRead);
    CPPUNIT_TEST(submit_noTicketAppendAnswerLost_startsOnce);
    CPPUNIT_TEST(submit_sameKeyAtTwoInstances_startsAtOneAndAnswersBoth);
    CPPUNIT_TEST(submit_foreignTicket_runsAtHomeOnly);
    CPPUNIT_TEST(submit_platformDown_ticketRunsAndNoTicketIsRefused);
    CPPUNIT_TEST(submit_beforeConfiguration_isNotReady);
    CPPUNIT_TEST(submit_homeReplaced_failsAsMayHaveRun);
    CPPUNIT_TEST(submit_ticketOfNewIncarnation_waitsForItsFirstHeartbeat);
    CPPUNIT_TEST(submit_ticketOfUnknownIncarnation_failsInBoundedTime);
    CPPUNIT_TEST(attempt_refusedBusy_isRetriedElsewhere);
    CPPUNIT_TEST(attempt_lost_failsJobAsMayHaveRun);
    CPPUNIT_TEST(target_refusesAsLeaving_receivesNoMoreWorkFromAnyInstance);
    CPPUNIT_TEST(target_listedAsLeaving_receivesNoMoreWork);
    CPPUNIT_TEST(limit_allArrivalsOnOneInstance_isUsedButNotExceeded);
    CPPUNIT_TEST(stop_workInProgress_completesItAndHandsOverAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_harness = std::make_unique<CoreHarness>(3);
    }

    void submit_ownTicket_startsImmediatelyAndCompletes()
    {
        waitUntilReady();
        const CallerId caller = m_harness->submit(0, m_harness->makeJob("k", 3, m_harness->ticket(0)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, m_harness->starts.size());
        endAllAttempts(AttemptOutcome::Done);
        expectComplete(caller, 3);
    }

    void submit_noTicket_startsAfterClaimIsRead()
    {
        waitUntilReady();
        const CallerId caller = m_harness->submit(0, m_harness->makeJob("k", 2));
        CPPUNIT_ASSERT(m_harness->starts.empty());
        m_harness->advanceTime(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_harness->starts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_harness->claimAppends);
        endAllAttempts(AttemptOutcome::Done);
        expectComplete(caller, 2);
    }

    void submit_noTicketAppendAnswerLost_startsOnce()
    {
        waitUntilReady();
        m_harness->loseAppendAnswers = true;
        const CallerId caller = m_harness->submit(0, m_harness->makeJob("k", 1));
        m_harness->advanceTime(std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_harness->starts.size());
        endAllAttempts(AttemptOutcome::Done);
        expectComplete(caller, 1);
    }

    void submit_sameKeyAtTwoInstances_startsAtOneAndAnswersBoth()
    {
        waitUntilReady();
        const auto job = m_harness->makeJob("k", 2);
        const CallerId first = m_harness->submit(0, job);
        const CallerId second = m_harness->submit(1, job);
        m_harness->advanceTime(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_harness->starts.size());
        endAllAttempts(AttemptOutcome::Done);
        expectComplete(first, 2);
        expectComplete(second, 2);
    }

    void submit_foreignTicket_runsAtHomeOnly()
    {
        waitUntilReady();
        const CallerId caller = m_harness->submit(1, m_harness->makeJob("k", 2, m_harness->ticket(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_harness->starts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_harness->starts.front().instance);
        endAllAttempts(AttemptOutcome::Done);
        expectComplete(caller, 2);
    }

    void submit_platformDown_ticketRunsAndNoTicketIsRefused()
    {
        waitUntilReady();
        m_harness->isPlatformUp = false;
        m_harness->advanceTime(std::chrono::seconds(30));
        m_harness->submit(0, m_harness->makeJob("bound", 2, m_harness->ticket(0)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_harness->starts.size());
        const CallerId refused = m_harness->submit(0, m_harness->makeJob("free", 2));
        m_harness->advanceTime(std::chrono::seconds(1));
        expectFailure(refused, schema::FAILURE_REASON_CLAIM_UNAVAILABLE);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_harness->starts.size());
    }

    void submit_beforeConfiguration_isNotReady()
    {
        m_harness->isPlatformUp = false;
        m_harness->advanceTime(std::chrono::seconds(5));
        const CallerId caller = m_harness->submit(0, m_harness->makeJob("k", 1, m_harness->ticket(0)));
        expectFailure(caller, schema::FAILURE_REASON_NOT_READY);
        CPPUNIT_ASSERT(m_harness->answer(caller)->certainty() == schema::RUN_CERTAINTY_NOT_RUN);
    }

    void submit_homeReplaced_failsAsMayHaveRun()
    {
        waitUntilReady();
        const std::string oldTicket = m_harness->ticket(0);
        m_harness->replaceInstance(0);
        m_harness->advanceTime(std::chrono::seconds(10));
        const CallerId caller = m_harness->submit(1, m_harness->makeJob("k", 1, oldTicket));
        expectFailure(caller, schema::FAILURE_REASON_HOME_GONE);
        CPPUNIT_ASSERT(m_harness->answer(caller)->certainty() == schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        CPPUNIT_ASSERT(m_harness->starts.empty());
    }

    void submit_ticketOfNewIncarnation_waitsForItsFirstHeartbeat()
    {
        waitUntilReady();
        m_harness->replaceInstance(0);
        // A caller may present a ticket from the new incarnation before the heartbeats of that incarnation arrive.
        const CallerId caller = m_harness->submit(1, m_harness->makeJob("k", 1, m_harness->ticket(0)));
        CPPUNIT_ASSERT(!m_harness->answer(caller));
        m_harness->advanceTime(std::chrono::seconds(2));
        endAllAttempts(AttemptOutcome::Done);
        m_harness->advanceTime(std::chrono::milliseconds(100));
        const auto answer = m_harness->answer(caller);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT(answer->reason() != schema::FAILURE_REASON_HOME_UNREACHABLE);
    }

    void submit_ticketOfUnknownIncarnation_failsInBoundedTime()
    {
        waitUntilReady();
        const std::string known = m_harness->ticket(0);
        // A well-formed ticket of an incarnation that no instance knows.
        const std::string unknown = known.substr(0, known.size() - 1) + '9';
        const CallerId caller = m_harness->submit(1, m_harness->makeJob("k", 1, unknown));
        m_harness->advanceTime(std::chrono::seconds(3));
        expectFailure(caller, schema::FAILURE_REASON_HOME_UNREACHABLE);
    }

    void attempt_refusedBusy_isRetriedElsewhere()
    {
        waitUntilReady();
        const CallerId caller = m_harness->submit(0, m_harness->makeJob("k", 1, m_harness->ticket(0)));
        m_harness->endAttempt(m_harness->starts.at(0), AttemptOutcome::RefusedBusy);
        m_harness->advanceTime(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_harness->starts.size());
        CPPUNIT_ASSERT(m_harness->observer.retries == std::vector { RetryDecision::RetriedRefused });
        m_harness->endAttempt(m_harness->starts.at(1), AttemptOutcome::Done);
        expectComplete(caller, 1);
    }

    void attempt_lost_failsJobAsMayHaveRun()
    {
        waitUntilReady();
        const CallerId caller = m_harness->submit(0, m_harness->makeJob("k", 1, m_harness->ticket(0)));
        m_harness->endAttempt(m_harness->starts.at(0), AttemptOutcome::Lost);
        expectFailure(caller, schema::FAILURE_REASON_TARGET_LOST);
        CPPUNIT_ASSERT(m_harness->answer(caller)->certainty() == schema::RUN_CERTAINTY_MAY_HAVE_RUN);
        m_harness->advanceTime(std::chrono::seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_harness->starts.size());
    }

    void target_refusesAsLeaving_receivesNoMoreWorkFromAnyInstance()
    {
        waitUntilReady();
        m_harness->submit(0, m_harness->makeJob("k", 1, m_harness->ticket(0)));
        const TargetName leavingTarget = m_harness->starts.at(0).start.target;
        m_harness->endAttempt(m_harness->starts.at(0), AttemptOutcome::RefusedLeaving);
        m_harness->advanceTime(std::chrono::seconds(3));
        expectNoStartsOn(leavingTarget);
    }

    void target_listedAsLeaving_receivesNoMoreWork()
    {
        waitUntilReady();
        m_harness->leavingTargets = { "t1" };
        m_harness->advanceTime(std::chrono::seconds(3));
        expectNoStartsOn(TargetName("t1"));
    }

    void limit_allArrivalsOnOneInstance_isUsedButNotExceeded()
    {
        constexpr std::uint32_t Limit = 20;
        m_harness->publishConfig(Limit, 10);
        m_harness->waitUntilReady();
        m_harness->submit(0, m_harness->makeJob("k", 100, m_harness->ticket(0)));
        m_harness->advanceTime(std::chrono::seconds(2));
        CPPUNIT_ASSERT(m_harness->starts.size() >= Limit * 9 / 10);
        CPPUNIT_ASSERT(m_harness->starts.size() <= Limit);
    }

    void stop_workInProgress_completesItAndHandsOverAnswers()
    {
        waitUntilReady();
        const auto job = m_harness->makeJob("k", 2, m_harness->ticket(0));
        const CallerId caller = m_harness->submit(0, job);
        m_harness->beginStop(0);
        m_harness->advanceTime(std::chrono::seconds(1));
        CPPUNIT_ASSERT(!m_harness->isStopped(0));
        const CallerId late = m_harness->submit(0, m_harness->makeJob("late", 1, "garbage"));
        const std::string next = m_harness->answer(late)->ticket();
        CPPUNIT_ASSERT(next == m_harness->ticket(1) || next == m_harness->ticket(2));
        endAllAttempts(AttemptOutcome::Done);
        expectComplete(caller, 2);
        m_harness->advanceTime(std::chrono::seconds(2));
        CPPUNIT_ASSERT(m_harness->isStopped(0));
        expectComplete(m_harness->submit(1, job), 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_harness->starts.size());
    }

private:
    void waitUntilReady()
    {
        m_harness->publishConfig(60, 3);
        m_harness->waitUntilReady();
    }

    void endAllAttempts(AttemptOutcome outcome)
    {
        const auto open = m_harness->starts;
        for (const RecordedStart &it : open) {
            m_harness->endAttempt(it, outcome);
        }
    }

    void expectComplete(CallerId caller, int tasks)
    {
        const auto answer = m_harness->answer(caller);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->ShortDebugString(), schema::ANSWER_STATUS_COMPLETE, answer->status());
        CPPUNIT_ASSERT_EQUAL(tasks, answer->results_size());
    }

    void expectFailure(CallerId caller, schema::FailureReason reason)
    {
        const auto answer = m_harness->answer(caller);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->ShortDebugString(), reason, answer->reason());
    }

    /// Submits jobs to all instances and checks that none starts a task on @p target.
    void expectNoStartsOn(const TargetName &target)
    {
        m_harness->starts.clear();
        for (std::size_t i = 0; i < 3; ++i) {
            m_harness->submit(i, m_harness->makeJob("load" + std::to_string(i), 10, m_harness->ticket(i)));
        }
        CPPUNIT_ASSERT(!m_harness->starts.empty());
        CPPUNIT_ASSERT(std::none_of(m_harness->starts.begin(), m_harness->starts.end(), [&](const RecordedStart &it) {
            return it.start.target == target;
        }));
    }

    std::unique_ptr<CoreHarness> m_harness;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryCoreTest);

} // namespace Eelgrasscleat
