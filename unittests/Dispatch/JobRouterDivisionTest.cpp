/// @file
/// Jobs divided among dispatchers: each task in one part, one true answer whatever becomes of the parts.
#include "JobRouterFixture.h"

namespace Eelgrasscleat
{

class JobRouterDivisionTest : public JobRouterFixture
{
    CPPUNIT_TEST_SUITE(JobRouterDivisionTest);
    CPPUNIT_TEST(division_placesAtNone_tasksDivided);
    CPPUNIT_TEST(division_placesAtOne_jobWhole);
    CPPUNIT_TEST(division_limitPerTarget_jobWhole);
    CPPUNIT_TEST(division_jobWhole_bestForAllTasksChosen);
    CPPUNIT_TEST(division_twoDispatchers_oneLeftForRefusals);
    CPPUNIT_TEST(division_dispatcherOfEarlierVersion_jobWhole);
    CPPUNIT_TEST(division_partRefused_notRoutedToEarlierVersion);
    CPPUNIT_TEST(division_partRefusedDuringStop_deadlineShortened);
    CPPUNIT_TEST(division_allPartsComplete_answeredOnce);
    CPPUNIT_TEST(division_partFails_othersWithdrawn);
    CPPUNIT_TEST(division_partRefused_routedToThirdDispatcher);
    CPPUNIT_TEST(division_partRefusedByAll_neverAnsweredAsNotRun);
    CPPUNIT_TEST(division_dispatcherOfPartLost_abandonedAndOthersWithdrawn);
    CPPUNIT_TEST(division_callerGone_allPartsWithdrawn);
    CPPUNIT_TEST(division_anyOrderOfEnds_oneTrueAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void division_placesAtNone_tasksDivided()
    {
        submitDivided();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_routed.size());
        CPPUNIT_ASSERT(m_routed[0].first != m_routed[1].first);
        // Each task is in exactly one part.
        std::set<std::uint32_t> indexes;
        for (const JobRequest &it : m_requests) {
            CPPUNIT_ASSERT_EQUAL(std::string("job1"), it.id.value);
            for (std::uint32_t i = 0; i < it.steps[0].tasks; ++i) {
                CPPUNIT_ASSERT(indexes.insert(it.steps[0].firstTask + i).second);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 8 }, indexes.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 7 }, *indexes.rbegin());
    }

    void division_placesAtOne_jobWhole()
    {
        report("near", "zone", 32000 * 2);
        report("far", "other", 32000 * 16);
        submit(1, 16);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("far"), m_routed[0].first.value);
    }

    void division_limitPerTarget_jobWhole()
    {
        reportTwoHalves();
        submit(1, 8, {}, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
    }

    void division_jobWhole_bestForAllTasksChosen()
    {
        // The first task would start at once in this zone, the last one much later.
        report("near", "zone", 32000, false, 900000);
        report("far", "other", 32000 * 16);
        submit(1, 16, {}, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("far"), m_routed[0].first.value);
    }

    void division_twoDispatchers_oneLeftForRefusals()
    {
        report("a", "zone", 32000 * 2);
        report("b", "zone", 32000 * 2);
        submit(1, 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
    }

    void division_dispatcherOfEarlierVersion_jobWhole()
    {
        // It ignores the index of a part's first task, so two dispatchers would run the same tasks.
        reportTwoHalves();
        reportEarlierVersion();
        submit(1, 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_routed.size());
    }

    void division_partRefused_notRoutedToEarlierVersion()
    {
        submitDivided();
        reportEarlierVersion();
        endPart(1, JobOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(std::string("spare"), m_routed.back().first.value);
        endPart(2, JobOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, m_routed.size());
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Abandoned);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_withdrawn.size());
    }

    void division_partRefusedDuringStop_deadlineShortened()
    {
        submitDivided();
        const Instant latest = m_now + std::chrono::milliseconds(300);
        m_router->shortenDeadlines(latest);
        endPart(1, JobOutcome::Refused);
        CPPUNIT_ASSERT(m_requests.back().deadline == latest);
    }

    void division_allPartsComplete_answeredOnce()
    {
        submitDivided();
        endPart(0, JobOutcome::Complete);
        CPPUNIT_ASSERT(m_answers.empty());
        endPart(0, JobOutcome::Complete);
        CPPUNIT_ASSERT_MESSAGE("a repeated end counts once", m_answers.empty());
        endPart(1, JobOutcome::Complete);
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_router->openJobs());
        CPPUNIT_ASSERT(m_withdrawn.empty());
    }

    void division_partFails_othersWithdrawn()
    {
        submitDivided();
        endPart(1, JobOutcome::Failed);
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_withdrawn.size());
        CPPUNIT_ASSERT_EQUAL(m_routed[0].second, m_withdrawn[0]);
        endPart(0, JobOutcome::Complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_answers.size());
    }

    void division_partRefused_routedToThirdDispatcher()
    {
        submitDivided();
        report("third", "zone", 32000 * 16);
        endPart(1, JobOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, m_routed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("third"), m_routed[2].first.value);
        CPPUNIT_ASSERT_EQUAL(m_requests[1].steps[0].firstTask, m_requests[2].steps[0].firstTask);
        CPPUNIT_ASSERT_EQUAL(m_requests[1].steps[0].tasks, m_requests[2].steps[0].tasks);
        CPPUNIT_ASSERT(m_answers.empty());
    }

    void division_partRefusedByAll_neverAnsweredAsNotRun()
    {
        for (const bool isOtherComplete : { false, true }) {
            setUp();
            submitDivided();
            if (isOtherComplete) {
                endPart(0, JobOutcome::Complete);
            }
            endPart(1, JobOutcome::Refused);
            CPPUNIT_ASSERT_EQUAL(std::string(isOtherComplete ? "a" : "spare"), m_routed.back().first.value);
            endPart(2, JobOutcome::Refused);
            if (isOtherComplete) {
                endPart(3, JobOutcome::Refused);
            }
            CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Abandoned);
            CPPUNIT_ASSERT_EQUAL(std::size_t { isOtherComplete ? 0U : 1U }, m_withdrawn.size());
        }
    }

    void division_dispatcherOfPartLost_abandonedAndOthersWithdrawn()
    {
        submitDivided();
        m_router->dispatcherLost(m_routed[0].first);
        CPPUNIT_ASSERT(m_answers.at(1).outcome == JobOutcome::Abandoned);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_withdrawn.size());
    }

    void division_callerGone_allPartsWithdrawn()
    {
        submitDivided();
        m_router->callerGone(CallerId(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_withdrawn.size());
        CPPUNIT_ASSERT(m_answers.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_router->openJobs());
    }

    void division_anyOrderOfEnds_oneTrueAnswer()
    {
        // Parts end, are refused, are lost and are reported twice in any order.
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            setUp();
            RandomSource random(seed);
            submitDivided();
            std::set<std::uint32_t> completeTasks;
            for (int i = 0; i < 40 && m_answers.empty(); ++i) {
                const std::size_t part = drawBelow(random, m_routed.size());
                switch (drawBelow(random, 6)) {
                case 0:
                    endPart(part, JobOutcome::Refused);
                    break;
                case 1:
                    report("new" + std::to_string(i), "other", 32000 * 4);
                    break;
                case 2:
                    if (drawBelow(random, 4) == 0) {
                        m_router->dispatcherLost(m_routed[part].first);
                    }
                    break;
                default:
                    for (std::uint32_t k = 0; k < m_requests[part].steps[0].tasks; ++k) {
                        completeTasks.insert(m_requests[part].steps[0].firstTask + k);
                    }
                    endPart(part, JobOutcome::Complete);
                    break;
                }
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_answers.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_router->openJobs());
            const std::size_t routed = m_routed.size();
            for (std::size_t i = 0; i < routed; ++i) {
                endPart(i, JobOutcome::Complete);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_answers.size());
            const bool isWhole = m_answers.at(1).outcome == JobOutcome::Complete;
            CPPUNIT_ASSERT(!isWhole || (m_withdrawn.empty() && completeTasks.size() == 8));
            CPPUNIT_ASSERT(m_answers.at(1).outcome != JobOutcome::Refused || !m_hadComplete);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRouterDivisionTest);

} // namespace Eelgrasscleat
