/// @file
/// The home: choice of a dispatcher, and one true answer for each job whatever becomes of the dispatcher.
#include <eelgrasscleat/Dispatch/JobRouter.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <vector>

namespace Eelgrasscleat
{

class JobRouterTest : public CppUnit::TestFixture, private JobRouterObserver
{
    CPPUNIT_TEST_SUITE(JobRouterTest);
    CPPUNIT_TEST(submit_noDispatcher_refusedAtOnce);
    CPPUNIT_TEST(submit_roomEverywhere_ownZonePreferred);
    CPPUNIT_TEST(submit_ownZoneFull_otherZoneTaken);
    CPPUNIT_TEST(submit_manyBetweenReports_spreadByDemand);
    CPPUNIT_TEST(submit_dispatcherDraining_passedOver);
    CPPUNIT_TEST(submit_shortJobAndDispatcherDraining_takenWhileItLasts);
    CPPUNIT_TEST(refusal_otherDispatcherThere_triedThere);
    CPPUNIT_TEST(refusal_byAll_answeredRefused);
    CPPUNIT_TEST(dispatcher_lost_jobAbandonedAndWithdrawn);
    CPPUNIT_TEST(dispatcher_silent_jobAbandoned);
    CPPUNIT_TEST(end_ofOtherDispatcher_ignored);
    CPPUNIT_TEST(deadline_passed_answeredExpired);
    CPPUNIT_TEST(caller_gone_jobWithdrawnWithoutAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void submit_noDispatcher_refusedAtOnce()
    {
        submit(1);
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_answers.at(1).reason == JobEndReason::NoDispatcher);
        CPPUNIT_ASSERT(m_answers.at(1).retryAfter > Duration::zero());
    }

    void submit_roomEverywhere_ownZonePreferred()
    {
        see("near", "zone", 100000);
        see("far", "other", 400000);
        submit(1);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), m_routed.back().first.value);
    }

    void submit_ownZoneFull_otherZoneTaken()
    {
        see("near", "zone", 0);
        see("far", "other", 400000);
        submit(1, 8);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), m_routed.back().first.value);
    }

    void submit_manyBetweenReports_spreadByDemand()
    {
        see("near", "zone", 200000);
        see("far", "other", 200000);
        std::map<std::string, int> counts;
        for (std::uint64_t i = 1; i <= 8; ++i) {
            submit(i, 4);
            ++counts[m_routed.back().first.value];
        }
        CPPUNIT_ASSERT_MESSAGE("what was sent since the last report counts as taken", counts["far"] >= 2);
        CPPUNIT_ASSERT(counts["near"] >= 3);
    }

    void submit_dispatcherDraining_passedOver()
    {
        see("near", "zone", 400000, true);
        see("far", "other", 100000);
        submit(1);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), m_routed.back().first.value);
    }

    void submit_shortJobAndDispatcherDraining_takenWhileItLasts()
    {
        see("a", "zone", 512000, true);
        submit(1, 1, std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
        submit(2, 1, std::chrono::milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
        CPPUNIT_ASSERT(m_answers.at(2).reason == JobEndReason::NoDispatcher);
    }

    void refusal_otherDispatcherThere_triedThere()
    {
        see("near", "zone", 400000);
        see("far", "other", 400000);
        submit(1);
        refuse("near");
        CPPUNIT_ASSERT_EQUAL(std::string("far"), m_routed.back().first.value);
        CPPUNIT_ASSERT(m_answers.empty());
    }

    void refusal_byAll_answeredRefused()
    {
        see("near", "zone", 400000);
        see("far", "other", 400000);
        submit(1);
        refuse("near");
        refuse("far");
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Refused);
    }

    void dispatcher_lost_jobAbandonedAndWithdrawn()
    {
        see("near", "zone", 400000);
        submit(1);
        m_home.dispatcherLost(InstanceName("near"));
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Abandoned);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_withdrawn.size());
    }

    void dispatcher_silent_jobAbandoned()
    {
        see("near", "zone", 400000);
        submit(1);
        m_now += std::chrono::milliseconds(601);
        m_home.advance(m_now);
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Abandoned);
    }

    void end_ofOtherDispatcher_ignored()
    {
        see("near", "zone", 400000);
        submit(1);
        JobEnd end { JobId("job1"), m_routed.back().second, JobOutcome::Complete, JobEndReason::None, {} };
        m_home.jobEnded(InstanceName("far"), end, m_now);
        CPPUNIT_ASSERT(m_answers.empty());
        m_home.jobEnded(InstanceName("near"), end, m_now);
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Complete);
    }

    void deadline_passed_answeredExpired()
    {
        see("near", "zone", 400000);
        submit(1);
        for (int i = 0; i < 30; ++i) {
            m_now += std::chrono::milliseconds(100);
            see("near", "zone", 400000);
            m_home.advance(m_now);
        }
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Expired);
    }

    void caller_gone_jobWithdrawnWithoutAnswer()
    {
        see("near", "zone", 400000);
        submit(1);
        m_home.callerGone(CallerId(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_withdrawn.size());
        CPPUNIT_ASSERT(m_answers.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_home.openJobs());
    }

private:
    void jobRouted(const InstanceName &dispatcher, std::uint64_t ticket, const JobRequest &) override
    {
        m_routed.emplace_back(dispatcher, ticket);
    }
    void jobWithdrawn(const InstanceName &, std::uint64_t ticket) override
    {
        m_withdrawn.push_back(ticket);
    }
    void jobAnswered(CallerId caller, const JobEnd &end) override
    {
        m_answers[caller.value] = end;
    }

    void see(const std::string &name, const std::string &zone, std::uint64_t freeMilliCores, bool draining = false)
    {
        DispatcherLoad load;
        load.targets = 16;
        load.totalMilliCores = 512000;
        load.freeMilliCores = freeMilliCores;
        load.largestMilliCores = 32000;
        load.draining = draining;
        load.drainLeft = draining ? std::chrono::milliseconds(1000) : std::chrono::milliseconds(0);
        m_home.dispatcherReported(InstanceName(name), ZoneName(zone), load, m_now);
    }

    void submit(std::uint64_t caller, std::uint32_t tasks = 1, Duration estimate = {})
    {
        JobRequest request;
        request.id = JobId("job" + std::to_string(caller));
        JobStep step;
        step.tasks = tasks;
        step.demand.milliCores = 14000;
        step.estimate = estimate;
        request.steps.push_back(step);
        request.submitted = m_now;
        request.deadline = m_now + std::chrono::seconds(2);
        m_home.submit(CallerId(caller), request);
    }

    void refuse(const std::string &dispatcher)
    {
        JobEnd end { JobId("job1"), m_routed.back().second, JobOutcome::Refused, JobEndReason::TooLate, {} };
        m_home.jobEnded(InstanceName(dispatcher), end, m_now);
    }

    Instant m_now { std::chrono::seconds(1000) };
    JobRouter m_home { JobRouterPolicy(), ZoneName("zone"), *this };
    std::vector<std::pair<InstanceName, std::uint64_t>> m_routed;
    std::vector<std::uint64_t> m_withdrawn;
    std::map<std::uint64_t, JobEnd> m_answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRouterTest);

} // namespace Eelgrasscleat
