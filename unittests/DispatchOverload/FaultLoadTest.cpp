/// @file
/// Urgent wide jobs while a twentieth of the orders goes unanswered: the share in time that is asked for.
#include "../Dispatch/FaultyNetworkLoad.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class FaultLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultLoadTest);
    CPPUNIT_TEST(lostAnswers_urgentJobsInTime);
    CPPUNIT_TEST(ordersCarriedOutLate_urgentJobsInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void lostAnswers_urgentJobsInTime()
    {
        assertUrgentInTime({ 0, 0.05, 0 });
    }

    void ordersCarriedOutLate_urgentJobsInTime()
    {
        assertUrgentInTime({ 0, 0, 0.05 });
    }

private:
    static void assertUrgentInTime(const NetworkFaults &faults)
    {
        const LoadedZone::Tally urgent = runWithFaults(faults).at(0);
        const double share = static_cast<double>(urgent.inTime) / urgent.submitted;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(share), share >= 0.8);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultLoadTest);

} // namespace Eelgrasscleat
