/// @file
/// Which dispatcher gets a job that none is expected to run in time. Guards against jobs that were late, or refused, at
/// the dispatcher that happened to be asked last while another would have run them earlier.
#include "DividedFleet.h"
#include "JobEndObserver.h"
#include "JobRouterFixture.h"
#include "LoadedZone.h"

#include <eelgrasscleat/Dispatch/LateOffers.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class LateOffersTest : public JobRouterFixture
{
    CPPUNIT_TEST_SUITE(LateOffersTest);
    CPPUNIT_TEST(takeBest_severalOffers_earliestEndFirst);
    CPPUNIT_TEST(route_allRefuseAsLate_earliestEndAsked);
    CPPUNIT_TEST(route_bestOfferRefused_nextOneAsked);
    CPPUNIT_TEST(route_bestOfferLost_nextOneAsked);
    CPPUNIT_TEST(route_noDispatcherUseful_refusedAtOnce);
    CPPUNIT_TEST(submit_onlyInTimeBehindQueue_refusedWithExpectedEnd);
    CPPUNIT_TEST(submit_onlyInTimeBehindLongQueue_refusedWithoutOffer);
    CPPUNIT_TEST(submit_objectiveWithoutMargin_letInByIdleTargets);
    CPPUNIT_TEST(normalLoad_mixedTargets_closeToOnePool);
    CPPUNIT_TEST_SUITE_END();

public:
    void takeBest_severalOffers_earliestEndFirst()
    {
        LateOffers offers;
        offers.add(InstanceName("a"), m_now + std::chrono::milliseconds(300));
        offers.add(InstanceName("b"), m_now + std::chrono::milliseconds(100));
        offers.add(InstanceName("c"), m_now + std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), offers.takeBest()->value);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), offers.takeBest()->value);
        CPPUNIT_ASSERT(!offers.isEmpty());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), offers.takeBest()->value);
        CPPUNIT_ASSERT(!offers.takeBest().has_value());
    }

    void route_allRefuseAsLate_earliestEndAsked()
    {
        submitToThree();
        refuseLast(std::chrono::milliseconds(700));
        refuseLast(std::chrono::milliseconds(400));
        const InstanceName best = m_routed.at(1).first;
        CPPUNIT_ASSERT(m_requests.back().onlyInTime);
        refuseLast(std::chrono::milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, m_routed.size());
        CPPUNIT_ASSERT_EQUAL(best.value, m_routed.back().first.value);
        CPPUNIT_ASSERT(!m_requests.back().onlyInTime);
    }

    void route_bestOfferRefused_nextOneAsked()
    {
        submitToThree();
        refuseLast(std::chrono::milliseconds(700));
        refuseLast(std::chrono::milliseconds(400));
        refuseLast(std::chrono::milliseconds(900));
        refuseLast({});
        CPPUNIT_ASSERT_EQUAL(m_routed.at(0).first.value, m_routed.back().first.value);
        refuseLast({});
        CPPUNIT_ASSERT_EQUAL(m_routed.at(2).first.value, m_routed.back().first.value);
        refuseLast({});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, m_routed.size());
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Refused);
    }

    void route_bestOfferLost_nextOneAsked()
    {
        submitToThree();
        refuseLast(std::chrono::milliseconds(700));
        refuseLast(std::chrono::milliseconds(400));
        m_router->dispatcherLost(m_routed.at(1).first);
        refuseLast(std::chrono::milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(m_routed.at(0).first.value, m_routed.back().first.value);
    }

    void route_noDispatcherUseful_refusedAtOnce()
    {
        submitToThree();
        refuseLast({});
        refuseLast({});
        // Without an offer, the last dispatcher is asked as before: it may have become useful since its report.
        CPPUNIT_ASSERT(!m_requests.back().onlyInTime);
        refuseLast({});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, m_routed.size());
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Refused);
    }

    void submit_onlyInTimeBehindQueue_refusedWithExpectedEnd()
    {
        SingleOwner owner;
        // Two rounds of tasks on the targets' eight places: late, but still of use.
        owner.submit(16, false);
        owner.submit(1, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, owner.ends.size());
        CPPUNIT_ASSERT(owner.ends.front().reason == JobEndReason::TooLate);
        CPPUNIT_ASSERT(owner.ends.front().lateEnd > Duration::zero());
    }

    void submit_onlyInTimeBehindLongQueue_refusedWithoutOffer()
    {
        SingleOwner owner;
        owner.submit(64, false);
        owner.submit(1, true);
        CPPUNIT_ASSERT(owner.ends.front().reason == JobEndReason::TooLate);
        CPPUNIT_ASSERT(owner.ends.front().lateEnd == Duration::zero());
    }

    void submit_objectiveWithoutMargin_letInByIdleTargets()
    {
        SingleOwner owner;
        owner.stretch = 1.1;
        owner.submit(1, true);
        CPPUNIT_ASSERT(owner.ends.empty());
    }

    void normalLoad_mixedTargets_closeToOnePool()
    {
        constexpr std::size_t kOwners = 3;
        constexpr double kJobsPerSecond = 800;
        // Aim for loads that the fleet can carry.
        constexpr double kMostLost = 0.03;
        const double pool = earnedShare(1, 1, kJobsPerSecond, TargetDeal::Shuffled);
        const double divided = earnedShare(kOwners, DivisionPolicy().maxParts, kJobsPerSecond, TargetDeal::Shuffled);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(divided) + " by three owners, " + std::to_string(pool) + " by one",
                               divided >= pool - kMostLost);
    }

private:
    /// One owner of four targets, two tasks each.
    struct SingleOwner : JobEndObserver
    {
        SingleOwner()
            : fleet(queue, 1)
            , commands(fleet, queue)
            , dispatcher(DispatcherPolicy(), commands, *this)
        {
            commands.dispatcher = &dispatcher;
            fleet.addTargets(4, { { 1.0 }, { 16000 } });
            for (const FakeTarget &it : fleet.targets) {
                dispatcher.targetOwned(it.description, FencingToken(1), queue.now());
            }
            dispatcher.homeContacted(InstanceName("home"), queue.now());
            queue.runUntil(queue.now() + std::chrono::milliseconds(100));
        }
        void submit(std::uint32_t tasks, bool onlyInTime)
        {
            JobRequest request;
            request.id = JobId("job" + std::to_string(++lastTicket));
            request.service = ServiceName("service");
            request.stretch = stretch;
            request.latencyTarget = std::chrono::milliseconds(20);
            request.submitted = queue.now();
            request.deadline = queue.now() + std::chrono::seconds(60);
            request.onlyInTime = onlyInTime;
            JobStep step;
            step.tasks = tasks;
            step.demand = { 8000, 64, 0 };
            step.estimate = std::chrono::milliseconds(200);
            request.steps.push_back(step);
            for (std::uint32_t i = 0; i < tasks; ++i) {
                fleet.registerTask({ request.id, 0, i }, step.demand, step.estimate);
            }
            // A large job needs a long objective not to be refused itself.
            request.stretch *= tasks;
            dispatcher.homeContacted(InstanceName("home"), queue.now());
            dispatcher.submit({ InstanceName("home"), lastTicket }, std::move(request), queue.now());
        }
        void jobEnded(const InstanceName &, const JobEnd &end) override
        {
            ends.push_back(end);
        }

        EventQueue queue;
        FakeFleet fleet;
        FakeTargetCommands commands;
        Dispatcher dispatcher;
        double stretch = 1.6;
        std::uint64_t lastTicket = 0;
        std::vector<JobEnd> ends;
    };

    void submitToThree()
    {
        for (const char *it : { "a", "b", "c" }) {
            report(it, "zone", 32000 * 8);
        }
        submit(1);
        CPPUNIT_ASSERT(m_requests.back().onlyInTime);
    }

    /// The dispatcher that was asked last refuses the job as late.
    void refuseLast(Duration lateEnd)
    {
        JobEnd end { JobId("job1"), m_routed.back().second, JobOutcome::Refused, JobEndReason::TooLate, {}, lateEnd };
        m_router->jobEnded(m_routed.back().first, end, m_now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateOffersTest);

} // namespace Eelgrasscleat
