/// @file
/// A router with dispatchers that report their loads, and a record of what it does.
#pragma once

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

class JobRouterFixture : public CppUnit::TestFixture, protected JobRouterObserver
{
public:
    void setUp() override
    {
        JobRouterObserver &observer = *this;
        JobRouterPolicy policy;
        policy.division.minGainMs = 0; // The schedules divide jobs that wait for little.
        m_router.emplace(policy, ZoneName("zone"), observer);
        m_requests.clear();
        m_routed.clear();
        m_withdrawn.clear();
        m_answers.clear();
        m_priority = 0;
        m_hadComplete = false;
    }

protected:
    void jobRouted(const InstanceName &dispatcher, std::uint64_t ticket, const JobRequest &request) override
    {
        m_routed.emplace_back(dispatcher, ticket);
        m_requests.push_back(request);
    }
    void jobWaits(const JobRequest &, Instant) override
    {
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
        request.priority = m_priority;
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
    std::uint32_t m_priority = 0; ///< Of the jobs that are submitted.
    bool m_hadComplete = false;
    std::vector<std::pair<InstanceName, std::uint64_t>> m_routed;
    std::vector<std::uint64_t> m_withdrawn;
    std::map<std::uint64_t, JobEnd> m_answers;
};

} // namespace Eelgrasscleat
