/// @file
/// Log lines that clients cause are bounded in their rate, and those left out are counted.
#include <eelgrasscleat/Support/LogThrottle.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class LogThrottleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogThrottleTest);
    CPPUNIT_TEST(admit_aboveRate_leftOutAndCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    void admit_aboveRate_leftOutAndCounted()
    {
        LogThrottle throttle(2);
        const auto start = std::chrono::steady_clock::time_point(std::chrono::seconds(100));
        CPPUNIT_ASSERT(throttle.admit(start) == 0U);
        CPPUNIT_ASSERT(throttle.admit(start) == 0U);
        CPPUNIT_ASSERT(!throttle.admit(start + std::chrono::milliseconds(999)));
        CPPUNIT_ASSERT(throttle.admit(start + std::chrono::seconds(1)) == 1U);
        CPPUNIT_ASSERT(throttle.admit(start + std::chrono::seconds(1)) == 0U);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogThrottleTest);

} // namespace Eelgrasscleat
