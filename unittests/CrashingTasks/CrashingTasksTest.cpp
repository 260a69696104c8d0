/// @file
/// Tasks that crash each target they run on: how many targets they cost, what callers hear, and what happens to the
/// tasks beside them.
#include "CrashingFleet.h"

namespace Eelgrasscleat
{

class CrashingTasksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashingTasksTest);
    CPPUNIT_TEST(task_crashesTargetAfterTarget_failsAfterTwo);
    CPPUNIT_TEST(task_crashesTargetsThatReturnUnderOtherNames_failsAfterTwo);
    CPPUNIT_TEST(task_crashesTargetsThatReturnAtOnce_failsAfterTwo);
    CPPUNIT_TEST(task_startedInNextLifeOfTarget_notGivenUp);
    CPPUNIT_TEST(task_crashesTargetsThatFallSilent_failsAfterThree);
    CPPUNIT_TEST(task_crashesTargetsBeforeTheyAnswer_failsAfterThree);
    CPPUNIT_TEST(task_startedOnTargetsThatHadCrashed_notGivenUp);
    CPPUNIT_TEST(job_resubmittedWhileItCrashesTargets_countContinues);
    CPPUNIT_TEST(job_resubmittedAtOtherOwners_countContinues);
    CPPUNIT_TEST(owner_restartsBetweenCrashes_countContinues);
    CPPUNIT_TEST(targets_moveToOtherOwnerBetweenCrashes_countContinues);
    CPPUNIT_TEST(job_partsAtTwoOwners_crashingPartFails);
    CPPUNIT_TEST(task_onCrashedTarget_restartsAfterLease);
    CPPUNIT_TEST(task_otherTargetAnswersAtItsAddress_restartsElsewhere);
    CPPUNIT_TEST(task_targetsCutOffTwice_completesElsewhere);
    CPPUNIT_TEST(tasks_racksLosePowerInTurn_completeElsewhere);
    CPPUNIT_TEST(task_mayCrashItsTarget_isolated);
    CPPUNIT_TEST(jobs_besideManyCrashingTasks_complete);
    CPPUNIT_TEST_SUITE_END();

public:
    void task_crashesTargetAfterTarget_failsAfterTwo()
    {
        assertFailsAfter(2);
    }

    void task_crashesTargetsThatReturnUnderOtherNames_failsAfterTwo()
    {
        m_fleet.fleet.crashShape.changesName = true;
        assertFailsAfter(2);
    }

    void task_crashesTargetsThatReturnAtOnce_failsAfterTwo()
    {
        m_fleet.fleet.crashShape.downTime = std::chrono::milliseconds(20);
        assertFailsAfter(2);
    }

    /// All targets restart at once; the task is started on some before their restart is seen.
    void task_startedInNextLifeOfTarget_notGivenUp()
    {
        m_fleet.submit(m_fleet.job("job", 4));
        for (int i = 0; i < 3; ++i) {
            m_fleet.run(std::chrono::milliseconds(60));
            for (FakeTarget &it : m_fleet.fleet.targets) {
                it.restart(m_fleet.queue.now());
                const DispatchTarget target = it.description;
                m_fleet.queue.after(std::chrono::milliseconds(300), [this, target] {
                    m_fleet.dispatcher().targetOwned(target, FencingToken(1), m_fleet.queue.now());
                });
            }
            m_fleet.run(std::chrono::milliseconds(1200));
        }
        const JobEnd end = m_fleet.awaitEnd("job", std::chrono::seconds(8));
        CPPUNIT_ASSERT(end.outcome == JobOutcome::Complete);
    }

    void task_crashesTargetsThatFallSilent_failsAfterThree()
    {
        m_fleet.fleet.crashShape.closesConnections = false;
        assertFailsAfter(3);
    }

    void task_crashesTargetsBeforeTheyAnswer_failsAfterThree()
    {
        m_fleet.fleet.crashShape.delay = Duration::zero();
        assertFailsAfter(3);
    }

    /// Targets without runs are seldom inspected: the first start to a crashed one finds out.
    void task_startedOnTargetsThatHadCrashed_notGivenUp()
    {
        for (std::size_t i = 0; i < 10; ++i) {
            m_fleet.fleet.crash(m_fleet.fleet.targets[i]);
        }
        m_fleet.submit(m_fleet.job("job", 1));
        const JobEnd end = m_fleet.awaitEnd("job", std::chrono::seconds(12));
        CPPUNIT_ASSERT(end.outcome == JobOutcome::Complete);
    }

    void job_resubmittedWhileItCrashesTargets_countContinues()
    {
        const JobRequest request = m_fleet.job("job", 4, 1);
        for (int i = 0; i < 6; ++i) {
            m_fleet.submit(request);
            m_fleet.run(std::chrono::seconds(5));
            m_fleet.dispatcher().homeLost(CrashingFleet::kHome, m_fleet.queue.now());
            m_fleet.run(std::chrono::milliseconds(1300));
        }
        assertNoViolation();
        CPPUNIT_ASSERT_EQUAL(2U, m_fleet.crashes("job"));
        CPPUNIT_ASSERT(m_fleet.ends.at(JobId("job")).outcome == JobOutcome::Failed);
    }

    void job_resubmittedAtOtherOwners_countContinues()
    {
        CrashingFleet fleet(3, 12);
        const JobRequest request = fleet.job("job", 4, 1);
        for (std::size_t i = 0; i < 9; ++i) {
            fleet.submit(request, i % 3);
            fleet.run(std::chrono::milliseconds(1500));
            fleet.dispatcher(i % 3).homeLost(CrashingFleet::kHome, fleet.queue.now());
            fleet.run(std::chrono::milliseconds(1300));
        }
        assertGivenUp(fleet);
    }

    void owner_restartsBetweenCrashes_countContinues()
    {
        const JobRequest request = m_fleet.job("job", 4, 1);
        for (int i = 0; i < 6; ++i) {
            m_fleet.submit(request);
            m_fleet.run(std::chrono::milliseconds(3700));
            m_fleet.restartOwner(0);
            m_fleet.run(std::chrono::milliseconds(1300));
        }
        assertGivenUp(m_fleet);
    }

    void targets_moveToOtherOwnerBetweenCrashes_countContinues()
    {
        CrashingFleet fleet(2, 12);
        const JobRequest request = fleet.job("job", 4, 1);
        for (std::size_t i = 0; i < 6; ++i) {
            fleet.submit(request, i % 2);
            fleet.run(std::chrono::milliseconds(3700));
            fleet.moveTargets(i % 2, 1 - i % 2);
            fleet.run(std::chrono::milliseconds(1300));
        }
        assertGivenUp(fleet);
    }

    void job_partsAtTwoOwners_crashingPartFails()
    {
        CrashingFleet fleet(2, 12);
        JobRequest request = fleet.job("job", 8, 2);
        request.steps[0].tasks = 1;
        fleet.submit(request, 0);
        request.steps[0].firstTask = 1;
        request.steps[0].tasks = 7;
        fleet.submit(request, 1);
        fleet.run(std::chrono::seconds(12));
        CPPUNIT_ASSERT(fleet.fleet.violations().empty());
        CPPUNIT_ASSERT_EQUAL(2U, fleet.crashes("job", 0));
        CPPUNIT_ASSERT_EQUAL(2U, fleet.crashes("job", 1));
        CPPUNIT_ASSERT(fleet.ends.at(JobId("job")).outcome == JobOutcome::Failed);
    }

    void task_onCrashedTarget_restartsAfterLease()
    {
        m_fleet.submit(m_fleet.job("job", 1));
        m_fleet.run(std::chrono::milliseconds(50));
        for (FakeTarget &it : m_fleet.fleet.targets) {
            if (!it.running.empty()) {
                m_fleet.fleet.crash(it);
            }
        }
        // The lease, its clock error, and the run.
        const JobEnd end = m_fleet.awaitEnd("job", std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT(end.outcome == JobOutcome::Complete);
        assertNoViolation();
    }

    void task_otherTargetAnswersAtItsAddress_restartsElsewhere()
    {
        m_fleet.fleet.crashShape = { std::chrono::milliseconds(100), true };
        m_fleet.submit(m_fleet.job("job", 1));
        m_fleet.fleet.crash(awaitBusyTarget());
        const JobEnd end = m_fleet.awaitEnd("job", std::chrono::milliseconds(1200));
        CPPUNIT_ASSERT(end.outcome == JobOutcome::Complete);
        assertNoViolation();
    }

    void task_targetsCutOffTwice_completesElsewhere()
    {
        m_fleet.work = std::chrono::milliseconds(500);
        m_fleet.submit(m_fleet.job("job", 1));
        for (int i = 0; i < 2; ++i) {
            awaitBusyTarget().isCutOff = true;
            m_fleet.run(std::chrono::milliseconds(700));
        }
        m_fleet.run(std::chrono::milliseconds(1300));
        for (FakeTarget &it : m_fleet.fleet.targets) {
            it.isCutOff = false;
        }
        const JobEnd end = m_fleet.awaitEnd("job", std::chrono::seconds(3));
        CPPUNIT_ASSERT(end.outcome == JobOutcome::Complete);
        assertNoViolation();
    }

    void tasks_racksLosePowerInTurn_completeElsewhere()
    {
        m_fleet.work = std::chrono::milliseconds(700);
        for (int i = 0; i < 10; ++i) {
            m_fleet.submit(m_fleet.job("job" + std::to_string(i), 2));
        }
        for (const char *rack : { "rack-0", "rack-1", "rack-2" }) {
            m_fleet.run(std::chrono::milliseconds(300));
            for (FakeTarget &it : m_fleet.fleet.targets) {
                if (it.description.rack == rack) {
                    m_fleet.fleet.crash(it);
                }
            }
            m_fleet.run(std::chrono::milliseconds(3800));
        }
        m_fleet.run(std::chrono::seconds(8));
        for (int i = 0; i < 10; ++i) {
            const JobEnd end = m_fleet.awaitEnd("job" + std::to_string(i), std::chrono::seconds(1));
            CPPUNIT_ASSERT(end.outcome == JobOutcome::Complete);
        }
        assertNoViolation();
    }

    void task_mayCrashItsTarget_isolated()
    {
        m_fleet.submit(m_fleet.job("job", 1, 1));
        m_fleet.run(std::chrono::milliseconds(800));
        CPPUNIT_ASSERT_EQUAL(1U, m_fleet.crashes("job"));
        // More tasks than fit beside each other on all but one of the targets.
        m_fleet.work = std::chrono::seconds(3);
        m_fleet.submit(m_fleet.job("other", 30));
        m_fleet.run(std::chrono::milliseconds(700));
        CPPUNIT_ASSERT_EQUAL(2U, m_fleet.crashes("job"));
        for (FakeTarget &it : m_fleet.fleet.targets) {
            if (it.darkUntil > m_fleet.queue.now()) {
                CPPUNIT_ASSERT(it.running.empty());
            }
        }
        m_fleet.run(std::chrono::milliseconds(100));
        std::size_t running = 0;
        for (const FakeTarget &it : m_fleet.fleet.targets) {
            running += it.running.size();
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no other task was lost", std::size_t { 30 }, running);
    }

    /// The users' class of short jobs, one in ten of which crashes its targets.
    void jobs_besideManyCrashingTasks_complete()
    {
        constexpr int kJobs = 300;
        CrashingFleet fleet(1, 16);
        fleet.work = std::chrono::milliseconds(60);
        fleet.deadline = std::chrono::seconds(20);
        for (int i = 0; i < kJobs; ++i) {
            fleet.queue.after(std::chrono::milliseconds(90 * i), [&fleet, i] {
                const bool crashes = i % 10 == 0;
                fleet.submit(fleet.job((crashes ? "crash" : "job") + std::to_string(i), 4, crashes ? 1 : 0));
            });
        }
        fleet.run(std::chrono::seconds(60));
        CPPUNIT_ASSERT(fleet.fleet.violations().empty());
        int complete = 0;
        for (int i = 0; i < kJobs; ++i) {
            if (i % 10 == 0) {
                const std::string id = "crash" + std::to_string(i);
                CPPUNIT_ASSERT_MESSAGE(id, fleet.ends.at(JobId(id)).outcome == JobOutcome::Failed);
                CPPUNIT_ASSERT_MESSAGE(id, fleet.crashes(id) <= 3);
            } else {
                complete += fleet.ends.at(JobId("job" + std::to_string(i))).outcome == JobOutcome::Complete ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL(kJobs * 9 / 10, complete);
    }

private:
    /// The job "job" is given up at last, and before its fourth crash.
    static void assertGivenUp(CrashingFleet &fleet)
    {
        const auto &violations = fleet.fleet.violations();
        CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front(), violations.empty());
        CPPUNIT_ASSERT_LESSEQUAL(3U, fleet.crashes("job"));
        CPPUNIT_ASSERT(fleet.ends.at(JobId("job")).outcome == JobOutcome::Failed);
    }

    /// @returns a reachable target with a run, which must come within 2 s.
    FakeTarget &awaitBusyTarget()
    {
        const Instant until = m_fleet.queue.now() + std::chrono::seconds(2);
        while (m_fleet.queue.now() < until) {
            for (FakeTarget &it : m_fleet.fleet.targets) {
                if (!it.running.empty() && !it.isCutOff) {
                    return it;
                }
            }
            m_fleet.run(std::chrono::milliseconds(10));
        }
        CPPUNIT_FAIL("no reachable target has a run");
        return m_fleet.fleet.targets.front();
    }

    void assertNoViolation()
    {
        const auto &violations = m_fleet.fleet.violations();
        CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front(), violations.empty());
    }

    void assertFailsAfter(std::uint32_t crashes)
    {
        m_fleet.submit(m_fleet.job("job", 4, 1));
        const JobEnd end = m_fleet.awaitEnd("job", std::chrono::seconds(20));
        CPPUNIT_ASSERT(end.outcome == JobOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(crashes, m_fleet.crashes("job"));
        m_fleet.run(std::chrono::seconds(10));
        assertNoViolation();
    }

    CrashingFleet m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingTasksTest);

} // namespace Eelgrasscleat
