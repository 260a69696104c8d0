/// @file
/// Who may refuse a job as late: the first dispatchers asked do so at once, and none does once another part of the job
/// was accepted. Guards against jobs of which one part had begun when another was refused: their callers got an answer
/// that doesn't say whether the job has run.
#include "DividedFleet.h"
#include "JobRouterFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class LateRefusalTest : public JobRouterFixture
{
    CPPUNIT_TEST_SUITE(LateRefusalTest);
    CPPUNIT_TEST(route_otherDispatchersLeft_onlyInTime);
    CPPUNIT_TEST(route_lastDispatcher_mayBeLate);
    CPPUNIT_TEST(partRefused_otherPartAccepted_notRefusedAgain);
    CPPUNIT_TEST(partRefusedByAll_otherPartAccepted_askedAgain);
    CPPUNIT_TEST(partRefusedForEvacuation_otherPartAccepted_notAskedAgain);
    CPPUNIT_TEST(overload_jobsDivided_noneAbandoned);
    CPPUNIT_TEST_SUITE_END();

public:
    void route_otherDispatchersLeft_onlyInTime()
    {
        report("a", "zone", 32000 * 8);
        report("b", "zone", 32000 * 8);
        submit(1);
        CPPUNIT_ASSERT(m_requests.back().onlyInTime);
        refuse(m_routed.back().first.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_requests.size());
        CPPUNIT_ASSERT(!m_requests.back().onlyInTime);
    }

    void route_lastDispatcher_mayBeLate()
    {
        report("a", "zone", 32000 * 8);
        submit(1);
        CPPUNIT_ASSERT(!m_requests.back().onlyInTime);
        CPPUNIT_ASSERT(!m_requests.back().othersAccepted);
    }

    void partRefused_otherPartAccepted_notRefusedAgain()
    {
        submitDivided();
        refusePart(0, JobEndReason::TooLate);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, m_routed.size());
        CPPUNIT_ASSERT(m_requests.back().othersAccepted);
        CPPUNIT_ASSERT(!m_requests.back().onlyInTime);
    }

    void partRefusedByAll_otherPartAccepted_askedAgain()
    {
        submitDivided();
        refusePart(0, JobEndReason::TooLate);
        // The spare dispatcher has the first part now: only those that have refused are left for the second one.
        refusePart(1, JobEndReason::TooLate);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, m_routed.size());
        CPPUNIT_ASSERT(m_routed[3].first.value != m_routed[2].first.value);
        CPPUNIT_ASSERT(m_requests.back().othersAccepted);
        CPPUNIT_ASSERT(m_answers.empty());
    }

    void partRefusedForEvacuation_otherPartAccepted_notAskedAgain()
    {
        submitDivided();
        refusePart(0, JobEndReason::ZoneEvacuated);
        refusePart(2, JobEndReason::ZoneEvacuated);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, m_routed.size());
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Abandoned);
    }

    void overload_jobsDivided_noneAbandoned()
    {
        constexpr std::size_t kOwners = 3;
        constexpr std::size_t kHomes = 8;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            DividedFleet fleet(seed, kOwners, kHomes, DivisionPolicy().maxParts);
            fleet.play(1600, std::chrono::seconds(4));
            CPPUNIT_ASSERT_EQUAL(0, fleet.abandoned);
            CPPUNIT_ASSERT_EQUAL(0, fleet.falseRefusals);
        }
    }

private:
    void refusePart(std::size_t part, JobEndReason reason)
    {
        const JobEnd end { JobId("job1"), m_routed[part].second, JobOutcome::Refused, reason, {} };
        m_router->jobEnded(m_routed[part].first, end, m_now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateRefusalTest);

} // namespace Eelgrasscleat
