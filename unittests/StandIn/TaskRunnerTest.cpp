/// @file
/// The target's decisions: slots, run times, faults, and the history of starts.
#include "../../lib/StandIn/TaskRunner.h"
#include "../../lib/StandIn/StartHistory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

static schema::TargetStandInSettings makeSettings(std::uint32_t slotCount, double speed)
{
    schema::TargetStandInSettings settings;
    settings.set_slots(slotCount);
    settings.set_speed(speed);
    settings.set_seed(1);
    return settings;
}

static schema::StartRequest makeRequest(const std::string &payload, std::uint32_t maxRunMs = 0)
{
    schema::StartRequest request;
    request.set_attempt("7");
    request.set_payload(payload);
    request.set_max_run_ms(maxRunMs);
    return request;
}

class TaskRunnerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TaskRunnerTest);
    CPPUNIT_TEST(plan_payloadWithRunTime_dividesBySpeed);
    CPPUNIT_TEST(plan_payloadWithoutRunTime_runsAtOnce);
    CPPUNIT_TEST(plan_overRunTimeLimit_failsAtLimit);
    CPPUNIT_TEST(plan_noFreeSlot_answersBusyUntilRelease);
    CPPUNIT_TEST(plan_leaving_answersLeavingAndTakesNoSlot);
    CPPUNIT_TEST(plan_failFraction_failsAboutThatMany);
    CPPUNIT_TEST(plan_straggling_multipliesRunTime);
    CPPUNIT_TEST(plan_dropOrFreeze_runsNothing);
    CPPUNIT_TEST(history_sameTaskTwice_countsItOnce);
    CPPUNIT_TEST(history_refusedThenRun_countsOneStart);
    CPPUNIT_TEST(history_pages_coverAllRecords);
    CPPUNIT_TEST_SUITE_END();

public:
    void plan_payloadWithRunTime_dividesBySpeed()
    {
        TaskRunner runner(makeSettings(1, 2));
        const auto plan = runner.plan(makeRequest("{\"run_ms\":100}"));
        CPPUNIT_ASSERT(plan.answerAfter == std::chrono::milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(schema::START_STATUS_DONE, plan.answer.status());
        CPPUNIT_ASSERT_EQUAL(std::string("done:{\"run_ms\":100}"), plan.answer.output());
        CPPUNIT_ASSERT_EQUAL(std::string("7"), plan.answer.attempt());
    }

    void plan_payloadWithoutRunTime_runsAtOnce()
    {
        TaskRunner runner(makeSettings(4, 1));
        for (const char *it : { "", "plate", "[1]", "{\"run_ms\":-5}" }) {
            CPPUNIT_ASSERT(runner.plan(makeRequest(it)).answerAfter.count() == 0);
        }
    }

    void plan_overRunTimeLimit_failsAtLimit()
    {
        TaskRunner runner(makeSettings(1, 1));
        const auto plan = runner.plan(makeRequest("{\"run_ms\":100}", 40));
        CPPUNIT_ASSERT(plan.answerAfter == std::chrono::milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(schema::START_STATUS_FAILED, plan.answer.status());
    }

    void plan_noFreeSlot_answersBusyUntilRelease()
    {
        TaskRunner runner(makeSettings(1, 1));
        CPPUNIT_ASSERT_EQUAL(schema::START_DISPOSITION_RUN, runner.plan(makeRequest("")).disposition);
        CPPUNIT_ASSERT_EQUAL(schema::START_STATUS_BUSY, runner.plan(makeRequest("")).answer.status());
        runner.release();
        CPPUNIT_ASSERT_EQUAL(schema::START_STATUS_DONE, runner.plan(makeRequest("")).answer.status());
    }

    void plan_leaving_answersLeavingAndTakesNoSlot()
    {
        TaskRunner runner(makeSettings(1, 1));
        schema::TargetFaults faults;
        faults.set_leaving(true);
        runner.setFaults(faults);
        CPPUNIT_ASSERT_EQUAL(schema::START_STATUS_LEAVING, runner.plan(makeRequest("")).answer.status());
        runner.setFaults({});
        CPPUNIT_ASSERT_EQUAL(schema::START_STATUS_DONE, runner.plan(makeRequest("")).answer.status());
    }

    void plan_failFraction_failsAboutThatMany()
    {
        TaskRunner runner(makeSettings(1000, 1));
        schema::TargetFaults faults;
        faults.set_fail_fraction(0.25);
        runner.setFaults(faults);
        int failed = 0;
        for (int n = 0; n < 1000; ++n) {
            failed += runner.plan(makeRequest("")).answer.status() == schema::START_STATUS_FAILED ? 1 : 0;
        }
        CPPUNIT_ASSERT(failed > 200 && failed < 300);
    }

    void plan_straggling_multipliesRunTime()
    {
        TaskRunner runner(makeSettings(1, 1));
        schema::TargetFaults faults;
        faults.set_straggle_fraction(1);
        faults.set_straggle_factor(3);
        runner.setFaults(faults);
        CPPUNIT_ASSERT(runner.plan(makeRequest("{\"run_ms\":10}")).answerAfter == std::chrono::milliseconds(30));
    }

    void plan_dropOrFreeze_runsNothing()
    {
        TaskRunner runner(makeSettings(1, 1));
        schema::TargetFaults faults;
        faults.set_drop_after_receive(true);
        runner.setFaults(faults);
        CPPUNIT_ASSERT_EQUAL(schema::START_DISPOSITION_DROPPED, runner.plan(makeRequest("")).disposition);
        faults.set_freeze(true);
        runner.setFaults(faults);
        CPPUNIT_ASSERT_EQUAL(schema::START_DISPOSITION_FROZEN, runner.plan(makeRequest("")).disposition);
    }

    void history_sameTaskTwice_countsItOnce()
    {
        add("a", 0, schema::START_DISPOSITION_RUN);
        add("a", 0, schema::START_DISPOSITION_DROPPED);
        add("a", 1, schema::START_DISPOSITION_RUN);
        const auto log = m_history.page(0, 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), log.started());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), log.tasks_started());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), log.tasks_started_twice());
        CPPUNIT_ASSERT_EQUAL(2U, log.repeated_tasks(0).starts());
    }

    void history_refusedThenRun_countsOneStart()
    {
        add("a", 0, schema::START_DISPOSITION_REFUSED);
        add("a", 0, schema::START_DISPOSITION_RUN);
        const auto log = m_history.page(0, 10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), log.received());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), log.started());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), log.tasks_started_twice());
    }

    void history_pages_coverAllRecords()
    {
        for (std::uint32_t task = 0; task < 5; ++task) {
            add("a", task, schema::START_DISPOSITION_RUN);
        }
        CPPUNIT_ASSERT_EQUAL(3, m_history.page(0, 3).starts_size());
        const auto rest = m_history.page(3, UINT64_MAX);
        CPPUNIT_ASSERT_EQUAL(2, rest.starts_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), rest.next());
        m_history.clear();
        CPPUNIT_ASSERT_EQUAL(0, m_history.page(3, 10).starts_size());
    }

private:
    void add(const std::string &submission, std::uint32_t task, schema::StartDisposition disposition)
    {
        schema::StartRecord record;
        record.set_submission(submission);
        record.set_task(task);
        record.set_disposition(disposition);
        m_history.add(std::move(record));
    }

    StartHistory m_history;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskRunnerTest);

} // namespace Eelgrasscleat
