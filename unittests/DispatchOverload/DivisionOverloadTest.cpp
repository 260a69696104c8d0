/// @file
/// More wide jobs than the fleet has room for: what division among owners loses against one owner of all targets.
#include "../Dispatch/DividedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class DivisionOverloadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DivisionOverloadTest);
    CPPUNIT_TEST(overload_jobsDivided_closeToOnePool);
    CPPUNIT_TEST_SUITE_END();

public:
    void overload_jobsDivided_closeToOnePool()
    {
        assertCloseToOnePool(1300, 0.06);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DivisionOverloadTest);

} // namespace Eelgrasscleat
