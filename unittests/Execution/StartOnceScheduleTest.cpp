/// @file
/// Tests with random fault schedules on four instances that the invariants hold after every step.
#include "ScheduleSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace Eelgrasscleat
{

class StartOnceScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StartOnceScheduleTest);
    CPPUNIT_TEST(schedules_randomFaults_keepInvariantsAtEveryStep);
    CPPUNIT_TEST_SUITE_END();

public:
    void schedules_randomFaults_keepInvariantsAtEveryStep()
    {
        constexpr std::uint64_t Seeds = 3000;
        constexpr int Steps = 400;
        ScheduleSimulation::Counts total;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            ScheduleSimulation simulation(seed);
            try {
                simulation.run(Steps);
            } catch (const std::runtime_error &error) {
                CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + error.what());
            }
            add(total, simulation.counts());
        }
        // Verifies that the schedules cover the relevant cases.
        CPPUNIT_ASSERT(total.starts > Seeds);
        CPPUNIT_ASSERT(total.complete > Seeds);
        CPPUNIT_ASSERT(total.forwards > Seeds);
        CPPUNIT_ASSERT(total.lostClaims > Seeds / 20);
        CPPUNIT_ASSERT(total.notRun > Seeds / 20);
        for (const auto reason : { schema::FAILURE_REASON_KEY_CONFLICT,
                                   schema::FAILURE_REASON_TOO_OLD,
                                   schema::FAILURE_REASON_FROM_FUTURE,
                                   schema::FAILURE_REASON_LEAVING,
                                   schema::FAILURE_REASON_CLAIM_UNAVAILABLE,
                                   schema::FAILURE_REASON_HOME_UNREACHABLE,
                                   schema::FAILURE_REASON_HOME_GONE,
                                   schema::FAILURE_REASON_DEADLINE,
                                   schema::FAILURE_REASON_CANCELLED,
                                   schema::FAILURE_REASON_NO_SUITABLE_TARGET,
                                   schema::FAILURE_REASON_TARGET_FAILED,
                                   schema::FAILURE_REASON_TARGET_LOST,
                                   schema::FAILURE_REASON_ANSWER_EXPIRED }) {
            CPPUNIT_ASSERT_MESSAGE(schema::FailureReason_Name(reason), total.failed[reason] > 0);
        }
    }

private:
    static void add(ScheduleSimulation::Counts &total, const ScheduleSimulation::Counts &counts)
    {
        total.starts += counts.starts;
        total.complete += counts.complete;
        total.forwards += counts.forwards;
        total.lostClaims += counts.lostClaims;
        total.notRun += counts.notRun;
        for (const auto &[reason, n] : counts.failed) {
            total.failed[reason] += n;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartOnceScheduleTest);

} // namespace Eelgrasscleat
