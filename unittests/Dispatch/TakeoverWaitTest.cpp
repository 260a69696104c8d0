/// @file
/// Jobs that arrive while no dispatcher is known, after a restart of all instances or the loss of an owner: those that
/// are still useful after a takeover wait for it, all others are refused at once.
#include "JobRouterFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class TakeoverWaitTest : public JobRouterFixture
{
    CPPUNIT_TEST_SUITE(TakeoverWaitTest);
    CPPUNIT_TEST(takeoverDue_usefulJob_servedAfterIt);
    CPPUNIT_TEST(takeoverFarOff_shortJob_refusedAtOnce);
    CPPUNIT_TEST(takeoverOverdue_usefulJob_refusedAtOnce);
    CPPUNIT_TEST(takeoverFails_waitingJob_refusedWhileAnswerIsOfUse);
    CPPUNIT_TEST(waitingJob_callerGone_notRouted);
    CPPUNIT_TEST(allZonesEvacuated_usefulJob_refusedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void takeoverDue_usefulJob_servedAfterIt()
    {
        m_router->advance(m_now);
        pass(std::chrono::milliseconds(1100));
        submit(1, 2, std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(m_answers.empty());
        pass(std::chrono::milliseconds(300));
        report("a", "zone", 32000 * 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
        report("a", "zone", 32000 * 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
    }

    void takeoverFarOff_shortJob_refusedAtOnce()
    {
        m_router->advance(m_now);
        submit(1, 2, std::chrono::milliseconds(60));
        assertRefused();
    }

    void takeoverOverdue_usefulJob_refusedAtOnce()
    {
        m_router->advance(m_now);
        pass(std::chrono::milliseconds(1600));
        submit(1, 2, std::chrono::milliseconds(200));
        assertRefused();
    }

    void takeoverFails_waitingJob_refusedWhileAnswerIsOfUse()
    {
        m_router->advance(m_now);
        pass(std::chrono::milliseconds(1400));
        submit(1, 2, std::chrono::milliseconds(200));
        pass(std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(m_answers.empty());
        pass(std::chrono::milliseconds(400));
        assertRefused();
    }

    void waitingJob_callerGone_notRouted()
    {
        m_router->advance(m_now);
        pass(std::chrono::milliseconds(1400));
        submit(1, 2, std::chrono::milliseconds(200));
        m_router->callerGone(CallerId(1));
        report("a", "zone", 32000 * 8);
        CPPUNIT_ASSERT(m_routed.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_router->openJobs());
    }

    void allZonesEvacuated_usefulJob_refusedAtOnce()
    {
        report("a", "zone", 32000 * 8);
        m_router->setEvacuatedZones({ ZoneName("zone") });
        submit(1, 2, std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(m_answers.at(1).reason == JobEndReason::ZoneEvacuated);
    }

private:
    void pass(Duration time)
    {
        m_now += time;
        m_router->advance(m_now);
    }

    void assertRefused()
    {
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_answers.at(1).reason == JobEndReason::NoDispatcher);
        CPPUNIT_ASSERT(m_routed.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverWaitTest);

} // namespace Eelgrasscleat
