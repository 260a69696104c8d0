/// @file
/// Runs seeded fault schedules: the limit is never exceeded, and no permit is lost permanently.
#include "LedgerSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

static constexpr std::uint64_t ScheduleCount = 1000;

class PermitLedgerScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PermitLedgerScheduleTest);
    CPPUNIT_TEST(randomFaults_seededSchedules_limitIsKeptAndPermitsRecover);
    CPPUNIT_TEST_SUITE_END();

public:
    void randomFaults_seededSchedules_limitIsKeptAndPermitsRecover()
    {
        std::uint64_t saturatedSchedules = 0;
        for (std::uint64_t seed = 1; seed <= ScheduleCount; ++seed) {
            LedgerSimulation simulation(seed);
            const bool isLimitKept = simulation.runFaults();
            const std::string where = "seed " + std::to_string(seed) + "\n" + simulation.schedule();
            CPPUNIT_ASSERT_MESSAGE("limit exceeded, " + where, isLimitKept);
            saturatedSchedules += simulation.maxRunning() == simulation.limit() ? 1 : 0;

            const std::uint32_t usable = simulation.usableAfterRecovery();
            const std::string lost = "only " + std::to_string(usable) + " usable after recovery, " + where;
            CPPUNIT_ASSERT_MESSAGE(lost, usable * 10 >= simulation.limit() * 9);
            CPPUNIT_ASSERT_MESSAGE("limit exceeded after recovery, " + where,
                                   simulation.maxStartable() <= simulation.limit());
        }
        // Schedules that never reach the limit do not exercise the invariant.
        CPPUNIT_ASSERT(saturatedSchedules * 3 >= ScheduleCount);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitLedgerScheduleTest);

} // namespace Eelgrasscleat
