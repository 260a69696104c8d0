/// @file
/// Tests one instance with fake callers, store and targets: it owns its zone, serves jobs, and answers every caller
/// before a graceful shutdown completes.
#include "NodeFakes.h"

#include "../Wire/EventLoop.h"

#include <eelgrasscleat/Node/DispatchNode.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>

namespace Eelgrasscleat
{

class DispatchNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchNodeTest);
    CPPUNIT_TEST(job_lastRunEnds_callerAnswered);
    CPPUNIT_TEST(job_beforeConfiguration_servedAfterIt);
    CPPUNIT_TEST(job_configurationOverdue_refused);
    CPPUNIT_TEST(job_beforeConfigurationCallerGone_notRun);
    CPPUNIT_TEST(job_unknownRoute_refusedWithReason);
    CPPUNIT_TEST(job_oddId_refusedAsMalformed);
    CPPUNIT_TEST(job_routeNeedsStartTickets_refusedAsUnsupported);
    CPPUNIT_TEST(job_payloadTooLong_refusedAsMalformed);
    CPPUNIT_TEST(request_beforeConfiguration_refusedWithNoConfiguration);
    CPPUNIT_TEST(evacuation_ownZone_jobsRefusedAndStartsEnd);
    CPPUNIT_TEST(evacuation_takenBack_jobsServedAgain);
    CPPUNIT_TEST(crash_ofOwnedTarget_published);
    CPPUNIT_TEST(crashes_publishedByOtherOwners_jobFails);
    CPPUNIT_TEST(stop_jobOpen_callerAnsweredBeforeExit);
    CPPUNIT_TEST(stop_jobReceivedDuringShutdown_answeredBeforeExit);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        EventLoop::prepare();
        NodeSettings settings;
        settings.self = { InstanceName("front-1"), ZoneName("zone"), "127.0.0.1", 0 };
        settings.shards = 1;
        settings.ownership.takeoverDelay = std::chrono::milliseconds(50);
        settings.balancerRemovalTime = std::chrono::milliseconds(100);
        settings.answerDeadline = std::chrono::milliseconds(400);
        settings.exitDeadline = std::chrono::milliseconds(800);
        m_targets = FakeTargets();
        m_callers = RecordingCallerFrontend();
        m_node = std::make_unique<DispatchNode>(settings, m_targets, m_metrics, 1);
        m_targets.events = &m_node->commandResultHandler();
        CPPUNIT_ASSERT(isOk(m_node->start(m_callers, m_store)));
    }

    void tearDown() override
    {
        m_node.reset();
    }

    void job_lastRunEnds_callerAnswered()
    {
        waitUntilReady();
        submit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_targets.started.size());
        CPPUNIT_ASSERT_EQUAL(std::string("job1"), m_targets.started[0].task.job.value);
        TargetReport report;
        report.ended.push_back({ 1, m_targets.started[0], RunEndKind::Done });
        m_targets.report(report);
        CPPUNIT_ASSERT(m_callers.ends.at(1).outcome == JobOutcome::Complete);
    }

    void job_beforeConfiguration_servedAfterIt()
    {
        submit(1);
        CPPUNIT_ASSERT(m_callers.ends.empty());
        CPPUNIT_ASSERT(!m_callers.ready);
        waitUntilReady();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_targets.started.size());
        CPPUNIT_ASSERT_EQUAL(std::string("job1"), m_targets.started[0].task.job.value);
    }

    void job_configurationOverdue_refused()
    {
        submit(1);
        EventLoop::waitFor([this] { return m_callers.ends.count(1) == 1; });
        CPPUNIT_ASSERT(m_callers.ends.at(1).outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_callers.ends.at(1).reason == JobEndReason::NoConfiguration);
        submit(2);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("refused at once", std::size_t { 1 }, m_callers.ends.count(2));
        CPPUNIT_ASSERT(m_callers.ends.at(2).reason == JobEndReason::NoConfiguration);
        waitUntilReady();
        CPPUNIT_ASSERT(m_targets.started.empty());
    }

    void job_beforeConfigurationCallerGone_notRun()
    {
        submit(1);
        m_node->callerEvents().callerDisconnected(CallerId(1));
        waitUntilReady();
        CPPUNIT_ASSERT(m_targets.started.empty());
        CPPUNIT_ASSERT(m_callers.ends.empty());
    }

    void job_unknownRoute_refusedWithReason()
    {
        waitUntilReady();
        submit(1, "elsewhere");
        CPPUNIT_ASSERT(m_callers.ends.at(1).reason == JobEndReason::UnknownRoute);
    }

    void job_oddId_refusedAsMalformed()
    {
        waitUntilReady();
        std::uint64_t caller = 0;
        for (const std::string &it :
             { std::string("\xff"), std::string("a\nb"), std::string(300, 'x'), std::string() }) {
            submitAs(++caller, "host", it);
            CPPUNIT_ASSERT(m_callers.ends.at(caller).reason == JobEndReason::Malformed);
        }
        CPPUNIT_ASSERT(m_targets.started.empty());
    }

    /// Guards against starts that targets turn down for want of a ticket until the job's deadline.
    void job_routeNeedsStartTickets_refusedAsUnsupported()
    {
        waitUntilReady();
        FleetConfiguration configuration = singleRoute();
        configuration.version = ConfigVersion(2);
        configuration.routes[0].needsStartTickets = true;
        m_node->storeEvents().configurationReceived(configuration);
        submitAs(1, "host", "job");
        CPPUNIT_ASSERT(m_callers.ends.at(1).outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_callers.ends.at(1).reason == JobEndReason::Unsupported);
        CPPUNIT_ASSERT(m_callers.ends.at(1).retryAfter == Duration::zero());
        CPPUNIT_ASSERT(m_targets.started.empty());
    }

    void job_payloadTooLong_refusedAsMalformed()
    {
        waitUntilReady();
        CallerRequest request = submission(1, "job", 1000);
        request.host = "host";
        std::get<JobRequest>(request.job).payload = std::string(NodeSettings().maxPayloadBytes + 1, 'x');
        m_node->callerEvents().requestReceived(request);
        CPPUNIT_ASSERT(m_callers.ends.at(1).outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_callers.ends.at(1).reason == JobEndReason::Malformed);
        std::get<JobRequest>(request.job).payload.pop_back();
        request.caller = CallerId(2);
        m_node->callerEvents().requestReceived(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_callers.ends.count(2));
    }

    void request_beforeConfiguration_refusedWithNoConfiguration()
    {
        std::uint64_t caller = 0;
        for (const JobAction it : { JobAction::CountPending, JobAction::ReadState, JobAction::Cancel }) {
            CallerRequest request;
            request.caller = CallerId(++caller);
            request.action = it;
            request.host = "host";
            request.path = "/jobs/";
            m_node->callerEvents().requestReceived(request);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_callers.ends.count(caller));
            CPPUNIT_ASSERT(m_callers.ends.at(caller).reason == JobEndReason::NoConfiguration);
        }
    }

    void evacuation_ownZone_jobsRefusedAndStartsEnd()
    {
        waitUntilReady();
        submit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_targets.started.size());
        m_node->storeEvents().evacuationChanged(ZoneName("zone"), true, 3);
        submit(2);
        CPPUNIT_ASSERT(m_callers.ends.at(2).outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_callers.ends.at(2).reason == JobEndReason::ZoneEvacuated);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_targets.started.size());
        TargetReport report;
        report.ended.push_back({ 1, m_targets.started[0], RunEndKind::Done });
        m_targets.report(report);
        CPPUNIT_ASSERT_MESSAGE("a job that runs ends well", m_callers.ends.at(1).outcome == JobOutcome::Complete);
    }

    void evacuation_takenBack_jobsServedAgain()
    {
        waitUntilReady();
        m_node->storeEvents().evacuationsListed({ 3, { ZoneName("zone") } });
        submit(1);
        CPPUNIT_ASSERT(m_targets.started.empty());
        m_node->storeEvents().evacuationChanged(ZoneName("zone"), false, 4);
        // A list that was read before the zone was taken back.
        m_node->storeEvents().evacuationsListed({ 3, { ZoneName("zone") } });
        EventLoop::waitFor([this, caller = std::uint64_t { 2 }]() mutable {
            submit(caller++);
            return !m_targets.started.empty();
        });
    }

    void crash_ofOwnedTarget_published()
    {
        waitUntilReady();
        submit(1);
        TargetReport restarted;
        restarted.incarnation = 5;
        m_targets.report(restarted);
        EventLoop::waitFor([this] { return !m_targets.inspections.empty(); });
        restarted.incarnation = 6;
        m_targets.report(restarted);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_store.published.size());
        CPPUNIT_ASSERT(m_store.published[0].suspects.at(0).task == m_targets.started[0].task);
    }

    void crashes_publishedByOtherOwners_jobFails()
    {
        waitUntilReady();
        submit(1);
        const TaskName task = m_targets.started.at(0).task;
        for (const char *it : { "other-1", "other-2" }) {
            m_node->storeEvents().crashPublished({ { TargetName(it), 1 }, { { task, true, true } } });
        }
        CPPUNIT_ASSERT(m_callers.ends.at(1).outcome == JobOutcome::Failed);
        CPPUNIT_ASSERT(m_callers.ends.at(1).reason == JobEndReason::TargetsCrashed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("its run is stopped", std::size_t { 1 }, m_targets.stopped.size());
        m_node->callerEvents().callerDisconnected(CallerId(1));
        submit(1);
        CPPUNIT_ASSERT_MESSAGE("resubmitted", m_callers.ends.at(1).outcome == JobOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_targets.started.size());
    }

    void stop_jobOpen_callerAnsweredBeforeExit()
    {
        waitUntilReady();
        submit(1);
        stopAndWait();
        CPPUNIT_ASSERT_MESSAGE("an open job is answered before the process exits", m_answeredBeforeStop.count(1) == 1);
        CPPUNIT_ASSERT(m_callers.ends.at(1).outcome != JobOutcome::Refused);
    }

    void stop_jobReceivedDuringShutdown_answeredBeforeExit()
    {
        waitUntilReady();
        submit(1);
        bool isStopped = false;
        m_node->beginStop([this, &isStopped] {
            isStopped = true;
            m_answeredBeforeStop = m_callers.ends;
        });
        EventLoop::waitFor([this] { return m_callers.closing; });
        CPPUNIT_ASSERT_MESSAGE("the open job delays the shutdown", !isStopped);
        submit(2);
        EventLoop::waitFor([&isStopped] { return isStopped; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_answeredBeforeStop.count(2));
    }

private:
    void waitUntilReady()
    {
        m_node->storeEvents().configurationReceived(singleRoute());
        const DispatchTarget target = singleTarget();
        EventLoop::waitFor([&] {
            m_node->storeEvents().targetUpdated(target, ++m_listVersion);
            if (!m_targets.inspections.empty() && !m_reported) {
                m_reported = true;
                m_targets.report(TargetReport());
            }
            return m_callers.ready;
        });
    }

    void submit(std::uint64_t caller, const std::string &host = "host")
    {
        submitAs(caller, host, "job" + std::to_string(caller));
    }

    void submitAs(std::uint64_t caller, const std::string &host, const std::string &id)
    {
        CallerRequest request = submission(caller, id, 1000);
        request.host = host;
        m_node->callerEvents().requestReceived(request);
    }

    void stopAndWait()
    {
        bool isStopped = false;
        m_node->beginStop([this, &isStopped] {
            isStopped = true;
            m_answeredBeforeStop = m_callers.ends;
        });
        EventLoop::waitFor([&isStopped] { return isStopped; });
    }

    Metrics m_metrics;
    FakeTargets m_targets;
    RecordingCallerFrontend m_callers;
    SoleMemberStore m_store;
    std::unique_ptr<DispatchNode> m_node;
    std::map<std::uint64_t, JobEnd> m_answeredBeforeStop;
    std::uint64_t m_listVersion = 0;
    bool m_reported = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchNodeTest);

} // namespace Eelgrasscleat
