/// @file
/// Shares of priorities of which some get less than others.
#include "../../lib/Dispatch/ServedShares.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class ServedSharesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServedSharesTest);
    CPPUNIT_TEST(noWork_nothingBehind);
    CPPUNIT_TEST(allServed_nothingBehind);
    CPPUNIT_TEST(urgentServedOthersRefused_othersBehind);
    CPPUNIT_TEST(allRefusedAlike_nothingBehind);
    CPPUNIT_TEST(lateStarts_countAsUnserved);
    CPPUNIT_TEST(shortage_longAgo_forgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_shares = {};
        m_now = Instant(std::chrono::seconds(1000));
    }

    void noWork_nothingBehind()
    {
        CPPUNIT_ASSERT(!m_shares.isBehind(0, m_now));
    }

    void allServed_nothingBehind()
    {
        decide(0, 10, 0);
        decide(2, 10, 0);
        CPPUNIT_ASSERT(!m_shares.isBehind(0, m_now));
        CPPUNIT_ASSERT(!m_shares.isBehind(2, m_now));
    }

    void urgentServedOthersRefused_othersBehind()
    {
        decide(0, 10, 0);
        decide(2, 3, 7);
        CPPUNIT_ASSERT(!m_shares.isBehind(0, m_now));
        CPPUNIT_ASSERT(m_shares.isBehind(2, m_now));
    }

    void allRefusedAlike_nothingBehind()
    {
        decide(0, 6, 4);
        decide(2, 5, 5);
        CPPUNIT_ASSERT(!m_shares.isBehind(0, m_now));
        CPPUNIT_ASSERT_MESSAGE("0.5 is within 0.8 of the mean, 0.55", !m_shares.isBehind(2, m_now));
    }

    void lateStarts_countAsUnserved()
    {
        decide(1, 10, 0);
        decide(2, 2, 0);
        decide(2, 0, 8);
        CPPUNIT_ASSERT(m_shares.isBehind(2, m_now));
    }

    void shortage_longAgo_forgotten()
    {
        decide(0, 100, 0);
        decide(2, 0, 100);
        m_now += std::chrono::seconds(30);
        decide(0, 10, 0);
        decide(2, 10, 0);
        CPPUNIT_ASSERT(!m_shares.isBehind(2, m_now));
    }

private:
    void decide(std::uint32_t priority, int inTime, int unserved)
    {
        m_shares.decided(priority, inTime, true, m_now);
        m_shares.decided(priority, unserved, false, m_now);
    }

    ServedShares m_shares;
    Instant m_now {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServedSharesTest);

} // namespace Eelgrasscleat
