/// @file
/// Jobs that arrive while no dispatcher is known, after a restart of all instances or the loss of all owners: they wait
/// for a takeover as long as they are useful and it isn't overdue; all others are refused at once.
#include "JobRouterFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class TakeoverWaitTest : public JobRouterFixture
{
    CPPUNIT_TEST_SUITE(TakeoverWaitTest);
    CPPUNIT_TEST(takeoverInTime_usefulJob_servedAfterIt);
    CPPUNIT_TEST(takeoverOverdue_usefulJob_refusedAtOnce);
    CPPUNIT_TEST(takeoverFails_waitingJob_refusedWhenOverdue);
    CPPUNIT_TEST(takeoverLate_shortJob_refusedWhenUseless);
    CPPUNIT_TEST(firstOwnerSmall_manyWaitingJobs_restWaitsForOthers);
    CPPUNIT_TEST(noOtherOwner_manyWaitingJobs_allRoutedOnceSettled);
    CPPUNIT_TEST(waitingJobs_fewPlaces_urgentFirst);
    CPPUNIT_TEST(refusedAsLateWhileOwnersJoin_jobWaits_routedAgain);
    CPPUNIT_TEST(refusedAsLateOnceSettled_refused);
    CPPUNIT_TEST(ownersLostLater_usefulJob_waitsAgain);
    CPPUNIT_TEST(waitingJob_callerGone_notRouted);
    CPPUNIT_TEST(waitingJob_instanceStoodStill_notRouted);
    CPPUNIT_TEST(allZonesEvacuated_usefulJob_refusedAtOnce);
    CPPUNIT_TEST(allInstancesRestart_load_onlyUselessJobsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void takeoverInTime_usefulJob_servedAfterIt()
    {
        m_router->advance(m_now);
        submit(1, 2, std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(m_answers.empty());
        pass(std::chrono::milliseconds(300));
        report("a", "zone", 32000 * 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
        report("a", "zone", 32000 * 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
    }

    void takeoverOverdue_usefulJob_refusedAtOnce()
    {
        m_router->advance(m_now);
        pass(std::chrono::milliseconds(1600));
        submit(1, 2, std::chrono::milliseconds(200));
        assertRefused(1);
    }

    void takeoverFails_waitingJob_refusedWhenOverdue()
    {
        m_router->advance(m_now);
        pass(std::chrono::milliseconds(1400));
        submit(1, 2, std::chrono::milliseconds(800));
        pass(std::chrono::milliseconds(90));
        CPPUNIT_ASSERT(m_answers.empty());
        pass(std::chrono::milliseconds(20));
        assertRefused(1);
    }

    void takeoverLate_shortJob_refusedWhenUseless()
    {
        // Useful for three times 200 ms after its arrival, so it has to start within 400 ms.
        m_router->advance(m_now);
        submit(1, 2, std::chrono::milliseconds(200));
        pass(std::chrono::milliseconds(390));
        CPPUNIT_ASSERT(m_answers.empty());
        pass(std::chrono::milliseconds(20));
        assertRefused(1);
    }

    void firstOwnerSmall_manyWaitingJobs_restWaitsForOthers()
    {
        m_router->advance(m_now);
        submitMany();
        report("a", "zone", 32000 * 2);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("two tasks fit a target", std::size_t { 2 }, m_routed.size());
        pass(std::chrono::milliseconds(100));
        report("b", "other", 32000 * 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t { kMany }, m_routed.size());
        CPPUNIT_ASSERT(m_answers.empty());
    }

    void noOtherOwner_manyWaitingJobs_allRoutedOnceSettled()
    {
        m_router->advance(m_now);
        submitMany();
        report("a", "zone", 32000 * 2);
        pass(std::chrono::milliseconds(310));
        CPPUNIT_ASSERT_EQUAL(std::size_t { kMany }, m_routed.size());
        CPPUNIT_ASSERT(m_answers.empty());
    }

    void waitingJobs_fewPlaces_urgentFirst()
    {
        m_router->advance(m_now);
        m_priority = 2;
        submit(1, 2, std::chrono::milliseconds(200));
        m_priority = 0;
        submit(2, 2, std::chrono::milliseconds(200));
        report("a", "zone", 32000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("job2"), m_requests.front().id.value);
    }

    void refusedAsLateWhileOwnersJoin_jobWaits_routedAgain()
    {
        m_router->advance(m_now);
        submit(1, 2, std::chrono::milliseconds(200));
        report("a", "zone", 32000 * 2);
        refuse("a");
        CPPUNIT_ASSERT(m_answers.empty());
        pass(std::chrono::milliseconds(50));
        report("b", "other", 32000 * 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_routed.size());
        CPPUNIT_ASSERT(m_answers.empty());
    }

    void refusedAsLateOnceSettled_refused()
    {
        m_router->advance(m_now);
        report("a", "zone", 32000 * 2);
        pass(std::chrono::milliseconds(310));
        report("a", "zone", 32000 * 2);
        submit(1, 2, std::chrono::milliseconds(200));
        refuse("a");
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_answers.at(1).reason == JobEndReason::TooLate);
    }

    void ownersLostLater_usefulJob_waitsAgain()
    {
        m_router->advance(m_now);
        report("a", "zone", 32000 * 8);
        pass(std::chrono::seconds(5));
        submit(1, 2, std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(m_answers.empty());
        report("a", "zone", 32000 * 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
    }

    void waitingJob_callerGone_notRouted()
    {
        m_router->advance(m_now);
        submit(1, 2, std::chrono::milliseconds(200));
        m_router->callerGone(CallerId(1));
        report("a", "zone", 32000 * 8);
        CPPUNIT_ASSERT(m_routed.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_router->openJobs());
    }

    void waitingJob_instanceStoodStill_notRouted()
    {
        m_router->advance(m_now);
        submit(1, 2, std::chrono::milliseconds(200));
        m_router->abandonWaiting();
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Abandoned);
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

    void allInstancesRestart_load_onlyUselessJobsRefused()
    {
        // A job of 200 ms every 10 ms from the restart on; the takeover takes 450 ms.
        m_router->advance(m_now);
        std::uint64_t caller = 0;
        constexpr std::uint64_t kJobs = 45;
        while (caller < kJobs) {
            submit(++caller, 2, std::chrono::milliseconds(200));
            pass(std::chrono::milliseconds(10));
        }
        report("a", "zone", 32000 * kJobs);
        const std::size_t refused = m_answers.size();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "each job was routed or refused", static_cast<std::size_t>(kJobs), m_routed.size() + refused);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("those of the first 50 ms couldn't end usefully", std::size_t { 5 }, refused);
        CPPUNIT_ASSERT(m_answers.count(5) == 1 && m_answers.count(6) == 0);
    }

private:
    static constexpr std::uint64_t kMany = 12;

    void submitMany()
    {
        for (std::uint64_t i = 1; i <= kMany; ++i) {
            submit(i, 2, std::chrono::milliseconds(200));
        }
    }

    void pass(Duration time)
    {
        m_now += time;
        m_router->advance(m_now);
    }

    void assertRefused(std::uint64_t caller)
    {
        CPPUNIT_ASSERT(m_answers.at(caller).outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_answers.at(caller).reason == JobEndReason::NoDispatcher);
        CPPUNIT_ASSERT(m_routed.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverWaitTest);

} // namespace Eelgrasscleat
