/// @file
/// Choice of a dispatcher, and exactly one correct response for each job even if its dispatcher fails.
#include <eelgrasscleat/Dispatch/JobRouter.h>
#include <eelgrasscleat/Support/Random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Eelgrasscleat
{

class JobRouterTest : public CppUnit::TestFixture, private JobRouterObserver
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
    CPPUNIT_TEST(evacuation_ownZone_otherZoneChosen);
    CPPUNIT_TEST(evacuation_allZones_refusedWithReason);
    CPPUNIT_TEST(evacuation_refusedByOwner_routedAgainWithoutLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        JobRouterObserver &observer = *this;
        m_router.emplace(JobRouterPolicy(), ZoneName("zone"), observer);
        m_requests.clear();
        m_routed.clear();
        m_withdrawn.clear();
        m_answers.clear();
        m_hadComplete = false;
    }

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

private:
    void jobRouted(const InstanceName &dispatcher, std::uint64_t ticket, const JobRequest &request) override
    {
        m_routed.emplace_back(dispatcher, ticket);
        m_requests.push_back(request);
    }
    void jobWithdrawn(const InstanceName &, std::uint64_t ticket) override
    {
        m_withdrawn.push_back(ticket);
    }
    void jobAnswered(CallerId caller, const JobEnd &end) override
    {
        m_answers[caller.value] = end;
    }

    void report(const std::string &name,
                const std::string &zone,
                std::uint64_t freeMilliCores,
                bool draining = false,
                std::uint64_t queuedCoreMillis = 0)
    {
        DispatcherLoad load;
        load.queuedCoreMillis = queuedCoreMillis;
        load.urgentCoreMillis.fill(queuedCoreMillis);
        load.targets = 16;
        load.totalMilliCores = 512000;
        load.freeMilliCores = freeMilliCores;
        load.largestMilliCores = 32000;
        load.places = PlaceTable(load.largestMilliCores);
        for (std::uint64_t left = freeMilliCores; left > 0; left -= std::min<std::uint64_t>(left, 32000)) {
            load.places.add(static_cast<std::uint32_t>(std::min<std::uint64_t>(left, 32000)));
        }
        load.draining = draining;
        load.drainLeft = draining ? std::chrono::milliseconds(1000) : std::chrono::milliseconds(0);
        m_router->dispatcherReported(InstanceName(name), ZoneName(zone), load, m_now);
    }

    /// Two dispatchers with four of the eight places that a job of eight tasks needs, and one without places.
    void reportTwoHalves()
    {
        report("a", "zone", 32000 * 2);
        report("b", "zone", 32000 * 2);
        report("spare", "zone", 0, false, 500000);
    }

    void reportEarlierVersion()
    {
        DispatcherLoad load;
        load.targets = 16;
        load.totalMilliCores = 512000;
        load.freeMilliCores = 512000;
        load.largestMilliCores = 32000;
        m_router->dispatcherReported(InstanceName("old"), ZoneName("zone"), load, m_now);
    }

    void submitDivided()
    {
        reportTwoHalves();
        submit(1, 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_routed.size());
    }

    void endPart(std::size_t part, JobOutcome outcome)
    {
        m_hadComplete = m_hadComplete || outcome == JobOutcome::Complete;
        JobEnd end { JobId("job1"), m_routed[part].second, outcome, JobEndReason::None, {} };
        m_router->jobEnded(m_routed[part].first, end, m_now);
    }

    void submit(std::uint64_t caller, std::uint32_t tasks = 1, Duration estimate = {}, std::uint32_t perTargetLimit = 0)
    {
        JobRequest request;
        request.id = JobId("job" + std::to_string(caller));
        JobStep step;
        step.tasks = tasks;
        step.demand.milliCores = 14000;
        step.estimate = estimate;
        step.perTargetLimit = perTargetLimit;
        request.steps.push_back(step);
        request.submitted = m_now;
        request.deadline = m_now + std::chrono::seconds(2);
        m_router->submit(CallerId(caller), request);
    }

    void refuse(const std::string &dispatcher, JobEndReason reason = JobEndReason::TooLate)
    {
        JobEnd end { JobId("job1"), m_routed.back().second, JobOutcome::Refused, reason, {} };
        m_router->jobEnded(InstanceName(dispatcher), end, m_now);
    }

    Instant m_now { std::chrono::seconds(1000) };
    std::optional<JobRouter> m_router;
    std::vector<JobRequest> m_requests;
    bool m_hadComplete = false;
    std::vector<std::pair<InstanceName, std::uint64_t>> m_routed;
    std::vector<std::uint64_t> m_withdrawn;
    std::map<std::uint64_t, JobEnd> m_answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRouterTest);

} // namespace Eelgrasscleat
