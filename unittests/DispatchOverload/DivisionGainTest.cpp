/// @file
/// Whether wide jobs on a full fleet get more from being divided among owners.
#include "../Dispatch/DividedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class DivisionGainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DivisionGainTest);
    CPPUNIT_TEST(fullFleet_jobsDivided_betterThanWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    void fullFleet_jobsDivided_betterThanWhole()
    {
        const double whole = earnedShare(3, 1, 1300);
        const double divided = earnedShare(3, DivisionPolicy().maxParts, 1300);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(divided) + " divided, " + std::to_string(whole) + " whole",
                               divided >= whole);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DivisionGainTest);

} // namespace Eelgrasscleat
