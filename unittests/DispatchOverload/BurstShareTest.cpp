/// @file
/// Bursts far past the targets' capacity: the share of the least urgent kind that is asked for.
#include "../Dispatch/BurstLoad.h"

namespace Eelgrasscleat
{

class BurstShareTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BurstShareTest);
    CPPUNIT_TEST(burstOf18_slowTargets_longJobsGetTheirShare);
    CPPUNIT_TEST(burstOf22_slowTargets_longJobsGetTheirShare);
    CPPUNIT_TEST_SUITE_END();

public:
    void burstOf18_slowTargets_longJobsGetTheirShare()
    {
        assertShareOfMean(playBurst(1.8), 2, kLeastShareOfMean);
    }

    void burstOf22_slowTargets_longJobsGetTheirShare()
    {
        assertShareOfMean(playBurst(2.2), 2, kLeastShareOfMean);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BurstShareTest);

} // namespace Eelgrasscleat
