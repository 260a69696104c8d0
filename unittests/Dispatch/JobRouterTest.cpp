/// @file
/// Choice of a dispatcher, and exactly one correct response for each job even if its dispatcher fails.
#include "JobRouterFixture.h"

namespace Eelgrasscleat
{

class JobRouterTest : public JobRouterFixture
{
    CPPUNIT_TEST_SUITE(JobRouterTest);
    CPPUNIT_TEST(submit_noDispatcher_refusedAtOnce);
    CPPUNIT_TEST(submit_capacityInBothZones_ownZonePreferred);
    CPPUNIT_TEST(submit_ownZoneFull_otherZoneChosen);
    CPPUNIT_TEST(submit_manyBetweenReports_spreadByDemand);
    CPPUNIT_TEST(submit_dispatcherDraining_skipped);
    CPPUNIT_TEST(submit_dispatcherDraining_onlyShortJobsAccepted);
    CPPUNIT_TEST(refusal_otherDispatcherAvailable_retriedThere);
    CPPUNIT_TEST(refusal_byAllDispatchers_answeredRefused);
    CPPUNIT_TEST(dispatcher_lost_jobAbandonedAndWithdrawn);
    CPPUNIT_TEST(dispatcher_silent_jobAbandoned);
    CPPUNIT_TEST(jobEnd_fromOtherDispatcher_ignored);
    CPPUNIT_TEST(deadline_passed_answeredExpired);
    CPPUNIT_TEST(caller_gone_jobWithdrawnWithoutAnswer);
    CPPUNIT_TEST(evacuation_ownZone_otherZoneChosen);
    CPPUNIT_TEST(evacuation_allZones_refusedWithReason);
    CPPUNIT_TEST(evacuation_refusedByOwner_routedAgainWithoutLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void submit_noDispatcher_refusedAtOnce()
    {
        submit(1);
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_answers.at(1).reason == JobEndReason::NoDispatcher);
        CPPUNIT_ASSERT(m_answers.at(1).retryAfter > Duration::zero());
    }

    void submit_capacityInBothZones_ownZonePreferred()
    {
        report("near", "zone", 100000);
        report("far", "other", 400000);
        submit(1);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), m_routed.back().first.value);
    }

    void submit_ownZoneFull_otherZoneChosen()
    {
        report("near", "zone", 0);
        report("far", "other", 400000);
        submit(1, 8);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), m_routed.back().first.value);
    }

    void submit_manyBetweenReports_spreadByDemand()
    {
        report("near", "zone", 200000);
        report("far", "other", 200000);
        std::map<std::string, int> counts;
        for (std::uint64_t i = 1; i <= 8; ++i) {
            submit(i, 4);
            ++counts[m_routed.back().first.value];
        }
        CPPUNIT_ASSERT_MESSAGE("demand routed since the last report must count as used", counts["far"] >= 2);
        CPPUNIT_ASSERT(counts["near"] >= 3);
    }

    void submit_dispatcherDraining_skipped()
    {
        report("near", "zone", 400000, true);
        report("far", "other", 100000);
        submit(1);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), m_routed.back().first.value);
    }

    void submit_dispatcherDraining_onlyShortJobsAccepted()
    {
        report("a", "zone", 512000, true);
        submit(1, 1, std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
        submit(2, 1, std::chrono::milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
        CPPUNIT_ASSERT(m_answers.at(2).reason == JobEndReason::NoDispatcher);
    }

    void refusal_otherDispatcherAvailable_retriedThere()
    {
        report("near", "zone", 400000);
        report("far", "other", 400000);
        submit(1);
        refuse("near");
        CPPUNIT_ASSERT_EQUAL(std::string("far"), m_routed.back().first.value);
        CPPUNIT_ASSERT(m_answers.empty());
    }

    void refusal_byAllDispatchers_answeredRefused()
    {
        report("near", "zone", 400000);
        report("far", "other", 400000);
        submit(1);
        refuse("near");
        refuse("far");
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Refused);
    }

    void dispatcher_lost_jobAbandonedAndWithdrawn()
    {
        report("near", "zone", 400000);
        submit(1);
        m_router->dispatcherLost(InstanceName("near"));
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Abandoned);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_withdrawn.size());
    }

    void dispatcher_silent_jobAbandoned()
    {
        report("near", "zone", 400000);
        submit(1);
        m_now += std::chrono::milliseconds(601);
        m_router->advance(m_now);
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Abandoned);
    }

    void jobEnd_fromOtherDispatcher_ignored()
    {
        report("near", "zone", 400000);
        submit(1);
        JobEnd end { JobId("job1"), m_routed.back().second, JobOutcome::Complete, JobEndReason::None, {} };
        m_router->jobEnded(InstanceName("far"), end, m_now);
        CPPUNIT_ASSERT(m_answers.empty());
        m_router->jobEnded(InstanceName("near"), end, m_now);
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Complete);
    }

    void deadline_passed_answeredExpired()
    {
        report("near", "zone", 400000);
        submit(1);
        for (int i = 0; i < 30; ++i) {
            m_now += std::chrono::milliseconds(100);
            report("near", "zone", 400000);
            m_router->advance(m_now);
        }
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Expired);
    }

    void caller_gone_jobWithdrawnWithoutAnswer()
    {
        report("near", "zone", 400000);
        submit(1);
        m_router->callerGone(CallerId(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_withdrawn.size());
        CPPUNIT_ASSERT(m_answers.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_router->openJobs());
    }

    void evacuation_ownZone_otherZoneChosen()
    {
        report("near", "zone", 400000);
        report("far", "other", 0);
        m_router->setEvacuatedZones({ ZoneName("zone") });
        submit(1);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), m_routed.back().first.value);
        m_router->setEvacuatedZones({});
        submit(2);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), m_routed.back().first.value);
    }

    void evacuation_allZones_refusedWithReason()
    {
        report("near", "zone", 400000);
        m_router->setEvacuatedZones({ ZoneName("zone") });
        submit(1);
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_answers.at(1).reason == JobEndReason::ZoneEvacuated);
        CPPUNIT_ASSERT(m_answers.at(1).retryAfter >= std::chrono::seconds(1));
        // The instance can still refuse truthfully, so the balancer may send it connections.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_router->dispatcherCount());
    }

    void evacuation_refusedByOwner_routedAgainWithoutLimit()
    {
        // Owners learn of an evacuation before this instance does.
        for (const char *it : { "a", "b", "c", "d" }) {
            report(it, "zone", 400000);
        }
        report("far", "other", 400000);
        submit(1);
        for (int i = 0; i < 4; ++i) {
            refuse(m_routed.back().first.value, JobEndReason::ZoneEvacuated);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("far"), m_routed.back().first.value);
        CPPUNIT_ASSERT(m_answers.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRouterTest);

} // namespace Eelgrasscleat
