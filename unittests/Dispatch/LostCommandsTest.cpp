/// @file
/// Step-by-step tests of commands whose results are lost, late or out of order.
#include "RecordingCommands.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace Eelgrasscleat
{

class LostCommandsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LostCommandsTest);
    CPPUNIT_TEST(start_unanswered_resentOnceWithSameRunNumber);
    CPPUNIT_TEST(start_resendAcceptedAndFirstTimesOut_runContinues);
    CPPUNIT_TEST(start_oneTimesOutAndOneIsRejected_stoppedBeforeRestart);
    CPPUNIT_TEST(start_resendRejectedAsStale_endStillProcessed);
    CPPUNIT_TEST(inspection_overdue_secondInspectionSent);
    CPPUNIT_TEST(inspection_outdatedReport_dropped);
    CPPUNIT_TEST(inspection_answeredWithoutClock_reportApplied);
    CPPUNIT_TEST(inspection_ofEarlierOwnership_ignored);
    CPPUNIT_TEST(inspection_unansweredTwiceWhileAnotherIsInFlight_targetUnreachable);
    CPPUNIT_TEST(inspection_previousUnanswered_leaseNotRenewed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_commands = {};
        m_observer = {};
        m_now = Instant(std::chrono::seconds(1000));
        m_dispatcher = std::make_unique<Dispatcher>(DispatcherPolicy(), m_commands, m_observer);
        m_target.name = TargetName("target");
        m_target.service = ServiceName("service");
        m_target.capacity = { 32000, 65536, 0 };
        m_target.incarnation = 1;
        m_dispatcher->targetOwned(m_target, FencingToken(1), m_now);
        report(m_commands.inspections.back().number, 1);
        submit();
    }

    void start_unanswered_resentOnceWithSameRunNumber()
    {
        advanceTime(std::chrono::milliseconds(14));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_commands.starts.size());
        advanceTime(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_commands.starts.size());
        CPPUNIT_ASSERT(m_commands.starts[0].run == m_commands.starts[1].run);
        advanceTime(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("must be resent only once", std::size_t { 2 }, m_commands.starts.size());
    }

    void start_resendAcceptedAndFirstTimesOut_runContinues()
    {
        advanceTime(std::chrono::milliseconds(30));
        answerStart(CommandStatus::Accepted);
        answerStart(CommandStatus::NoResponse);
        advanceTime(std::chrono::milliseconds(40));
        CPPUNIT_ASSERT(m_commands.stops.empty());
        reportEnd(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_observer.ends.size());
        CPPUNIT_ASSERT(m_observer.ends[0].outcome == JobOutcome::Complete);
    }

    void start_oneTimesOutAndOneIsRejected_stoppedBeforeRestart()
    {
        advanceTime(std::chrono::milliseconds(30));
        answerStart(CommandStatus::Rejected);
        CPPUNIT_ASSERT_MESSAGE("the other start may have been executed", m_commands.stops.empty());
        answerStart(CommandStatus::NoResponse);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_commands.stops.size());
        m_dispatcher->stopAnswered(m_target.name, run(), accepted(5), m_now);
        advanceTime(std::chrono::milliseconds(400));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no report has confirmed the stop", std::size_t { 2 }, m_commands.starts.size());
        report(m_commands.inspections.back().number, 6);
        advanceTime(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, m_commands.starts.size());
        CPPUNIT_ASSERT(m_commands.starts.back().run.run > run().run);
    }

    void start_resendRejectedAsStale_endStillProcessed()
    {
        advanceTime(std::chrono::milliseconds(30));
        answerStart(CommandStatus::StaleRun);
        reportEnd(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_observer.ends.size());
        CPPUNIT_ASSERT(m_observer.ends[0].outcome == JobOutcome::Complete);
    }

    void inspection_overdue_secondInspectionSent()
    {
        answerStart(CommandStatus::Accepted);
        const std::size_t before = m_commands.inspections.size();
        advanceTime(m_commands.inspections.back().wait + std::chrono::milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(before + 1, m_commands.inspections.size());
        advanceTime(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("at most two in flight", before + 1, m_commands.inspections.size());
        reportEnd(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_observer.ends.size());
    }

    void inspection_outdatedReport_dropped()
    {
        answerStart(CommandStatus::Accepted);
        const std::uint64_t first = m_commands.inspections.back().number;
        advanceTime(m_commands.inspections.back().wait + std::chrono::milliseconds(40));
        reportEnd(9);
        // Older report of the target: the run is still running.
        TargetReport earlier;
        earlier.incarnation = 1;
        earlier.running.push_back({ run(), 40 });
        m_dispatcher->inspected(m_target.name, first, earlier, accepted(8), m_now);
        CPPUNIT_ASSERT_MESSAGE("the run must not be treated as unknown", m_commands.stops.empty());
        CPPUNIT_ASSERT(m_dispatcher->isIdle(m_target.name));
    }

    void inspection_answeredWithoutClock_reportApplied()
    {
        answerStart(CommandStatus::Accepted);
        TargetReport done;
        done.incarnation = 1;
        done.ended.push_back({ 1, run(), RunEndKind::Done });
        const CommandResult noClock { CommandStatus::Accepted, TargetTime(0), false };
        m_dispatcher->inspected(m_target.name, m_commands.inspections.back().number, done, noClock, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_observer.ends.size());
    }

    void inspection_ofEarlierOwnership_ignored()
    {
        const std::uint64_t first = m_commands.inspections.back().number;
        m_dispatcher->targetReleased(m_target.name, m_now);
        m_dispatcher->targetOwned(m_target, FencingToken(2), m_now);
        report(first, 3);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, m_dispatcher->load().targets);
        report(m_commands.inspections.back().number, 4);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, m_dispatcher->load().targets);
    }

    void inspection_unansweredTwiceWhileAnotherIsInFlight_targetUnreachable()
    {
        answerStart(CommandStatus::Accepted);
        const std::size_t first = m_commands.inspections.size() - 1;
        advanceTime(m_commands.inspections[first].wait + std::chrono::milliseconds(40));
        failInspection(first);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one response may be lost", std::uint32_t { 1 }, m_dispatcher->load().targets);
        advanceTime(std::chrono::milliseconds(40));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("another is in flight", first + 3, m_commands.inspections.size());
        failInspection(first + 1);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, m_dispatcher->load().targets);
    }

    void inspection_previousUnanswered_leaseNotRenewed()
    {
        answerStart(CommandStatus::Accepted);
        const std::size_t first = m_commands.inspections.size() - 1;
        CPPUNIT_ASSERT(m_commands.inspections[first].renew);
        advanceTime(m_commands.inspections[first].wait + std::chrono::milliseconds(40));
        CPPUNIT_ASSERT_MESSAGE("overdue", !m_commands.inspections[first + 1].renew);
        failInspection(first);
        failInspection(first + 1);
        advanceTime(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_GREATER(first + 2, m_commands.inspections.size());
        CPPUNIT_ASSERT_MESSAGE("unreachable", !m_commands.inspections.back().renew);
        TargetReport running;
        running.incarnation = 1;
        running.running.push_back({ run(), 40 });
        m_dispatcher->inspected(m_target.name, m_commands.inspections.back().number, running, accepted(400), m_now);
        CPPUNIT_ASSERT_MESSAGE("reachable again", m_commands.inspections.back().renew);
    }

private:
    void failInspection(std::size_t index)
    {
        m_dispatcher->inspectionFailed(m_target.name, m_commands.inspections[index].number, {}, m_now);
    }

    static CommandResult accepted(TargetTime::rep clock)
    {
        return { CommandStatus::Accepted, TargetTime(clock), true };
    }

    [[nodiscard]] const RunName &run() const
    {
        return m_commands.starts.front().run;
    }

    /// Advances the time in steps of 10 ms, each with a message from the home instance and a call of advance().
    void advanceTime(Duration time)
    {
        const Instant end = m_now + time;
        while (m_now < end) {
            m_now = std::min(end, m_now + std::chrono::milliseconds(10));
            m_dispatcher->homeContacted(InstanceName("home"), m_now);
            m_dispatcher->advance(m_now);
        }
    }

    void submit()
    {
        JobRequest request;
        request.id = JobId("job");
        request.service = m_target.service;
        request.attempts = 2;
        request.stretch = 100;
        request.submitted = m_now;
        request.deadline = m_now + std::chrono::seconds(10);
        JobStep step;
        step.demand = { 14000, 64, 0 };
        step.estimate = std::chrono::milliseconds(500);
        request.steps.push_back(step);
        m_dispatcher->homeContacted(InstanceName("home"), m_now);
        m_dispatcher->submit({ InstanceName("home"), 1 }, request, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_commands.starts.size());
    }

    void answerStart(CommandStatus status)
    {
        m_dispatcher->startAnswered(m_target.name, run(), { status, TargetTime(2), true }, m_now);
    }

    void report(std::uint64_t number, TargetTime::rep clock)
    {
        TargetReport empty;
        empty.incarnation = 1;
        m_dispatcher->inspected(m_target.name, number, empty, accepted(clock), m_now);
    }

    /// Answers the latest inspection with a report that the run is done.
    void reportEnd(TargetTime::rep clock)
    {
        TargetReport done;
        done.incarnation = 1;
        done.ended.push_back({ 1, run(), RunEndKind::Done });
        m_dispatcher->inspected(m_target.name, m_commands.inspections.back().number, done, accepted(clock), m_now);
    }

    RecordingCommands m_commands;
    RecordingObserver m_observer;
    DispatchTarget m_target;
    Instant m_now {};
    std::unique_ptr<Dispatcher> m_dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostCommandsTest);

} // namespace Eelgrasscleat
