/// @file
/// Orders whose answers are lost, late or cross each other, one step at a time.
#include <eelgrasscleat/Dispatch/Dispatcher.h>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace Eelgrasscleat
{

/// Keeps orders; the test answers them.
class RecordingOrders : public TargetCommands
{
public:
    void start(const StartCommand &order) override
    {
        starts.push_back(order);
    }
    void stop(const StopCommand &order) override
    {
        stops.push_back(order);
    }
    void inspect(const InspectCommand &order) override
    {
        inspections.push_back(order);
    }

    std::vector<StartCommand> starts;
    std::vector<StopCommand> stops;
    std::vector<InspectCommand> inspections;
};

/// Keeps ends of jobs.
class RecordingEnds : public DispatcherObserver
{
public:
    void jobEnded(const InstanceName &, const JobEnd &end) override
    {
        ends.push_back(end);
    }
    void jobTooLate(const JobId &, const LatenessEstimate &) override
    {
    }
    void runDecided(std::string_view, const RunName &, const TargetName &, double) override
    {
    }
    void tokenFenced(FencingToken, const TargetName &) override
    {
    }
    void targetChanged(std::string_view, const TargetName &, std::uint64_t) override
    {
    }

    std::vector<JobEnd> ends;
};

class LostOrdersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LostOrdersTest);
    CPPUNIT_TEST(start_unanswered_sentOnceMoreUnderItsNumber);
    CPPUNIT_TEST(start_repeatAcceptedAndFirstTimesOut_runGoesOn);
    CPPUNIT_TEST(start_oneTimesOutAndOneIsRejected_stoppedFirst);
    CPPUNIT_TEST(start_repeatRejectedAsOld_endIsStillTaken);
    CPPUNIT_TEST(inspection_overdue_secondOneSent);
    CPPUNIT_TEST(inspection_overtakenAnswer_dropped);
    CPPUNIT_TEST(inspection_answeredWithoutClock_stillTaken);
    CPPUNIT_TEST(inspection_ofEarlierOwnership_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_orders = {};
        m_observer = {};
        m_now = Instant(std::chrono::seconds(1000));
        m_dispatcher = std::make_unique<Dispatcher>(DispatcherPolicy(), m_orders, m_observer);
        m_target.name = TargetName("target");
        m_target.service = ServiceName("service");
        m_target.capacity = { 32000, 65536, 0 };
        m_target.incarnation = 1;
        m_dispatcher->targetOwned(m_target, FencingToken(1), m_now);
        report(m_orders.inspections.back().number, 1);
        submit();
    }

    void start_unanswered_sentOnceMoreUnderItsNumber()
    {
        pass(std::chrono::milliseconds(29));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_orders.starts.size());
        pass(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_orders.starts.size());
        CPPUNIT_ASSERT(m_orders.starts[0].run == m_orders.starts[1].run);
        pass(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("once", std::size_t { 2 }, m_orders.starts.size());
    }

    void start_repeatAcceptedAndFirstTimesOut_runGoesOn()
    {
        pass(std::chrono::milliseconds(30));
        answerStart(CommandStatus::Accepted);
        answerStart(CommandStatus::NoResponse);
        pass(std::chrono::milliseconds(40));
        CPPUNIT_ASSERT(m_orders.stops.empty());
        reportEnd(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_observer.ends.size());
        CPPUNIT_ASSERT(m_observer.ends[0].outcome == JobOutcome::Complete);
    }

    void start_oneTimesOutAndOneIsRejected_stoppedFirst()
    {
        pass(std::chrono::milliseconds(30));
        answerStart(CommandStatus::Rejected);
        CPPUNIT_ASSERT_MESSAGE("the other may be at work", m_orders.stops.empty());
        answerStart(CommandStatus::NoResponse);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_orders.stops.size());
        m_dispatcher->stopAnswered(m_target.name, run(), accepted(5), m_now);
        pass(std::chrono::milliseconds(400));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no report has proved it", std::size_t { 2 }, m_orders.starts.size());
        report(m_orders.inspections.back().number, 6);
        pass(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, m_orders.starts.size());
        CPPUNIT_ASSERT(m_orders.starts.back().run.run > run().run);
    }

    void start_repeatRejectedAsOld_endIsStillTaken()
    {
        pass(std::chrono::milliseconds(30));
        answerStart(CommandStatus::StaleRun);
        reportEnd(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_observer.ends.size());
        CPPUNIT_ASSERT(m_observer.ends[0].outcome == JobOutcome::Complete);
    }

    void inspection_overdue_secondOneSent()
    {
        answerStart(CommandStatus::Accepted);
        const std::size_t before = m_orders.inspections.size();
        pass(m_orders.inspections.back().wait + std::chrono::milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(before + 1, m_orders.inspections.size());
        pass(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("two at most", before + 1, m_orders.inspections.size());
        reportEnd(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_observer.ends.size());
    }

    void inspection_overtakenAnswer_dropped()
    {
        answerStart(CommandStatus::Accepted);
        const std::uint64_t first = m_orders.inspections.back().number;
        pass(m_orders.inspections.back().wait + std::chrono::milliseconds(40));
        reportEnd(9);
        // What the target said before that: the run is at work.
        TargetReport earlier;
        earlier.incarnation = 1;
        earlier.running.push_back({ run(), 40 });
        m_dispatcher->inspected(m_target.name, first, earlier, accepted(8), m_now);
        CPPUNIT_ASSERT_MESSAGE("no run of somebody else", m_orders.stops.empty());
        CPPUNIT_ASSERT(m_dispatcher->isIdle(m_target.name));
    }

    void inspection_answeredWithoutClock_stillTaken()
    {
        answerStart(CommandStatus::Accepted);
        TargetReport done;
        done.incarnation = 1;
        done.ended.push_back({ 1, run(), RunEndKind::Done });
        const CommandResult noClock { CommandStatus::Accepted, TargetTime(0), false };
        m_dispatcher->inspected(m_target.name, m_orders.inspections.back().number, done, noClock, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_observer.ends.size());
    }

    void inspection_ofEarlierOwnership_ignored()
    {
        const std::uint64_t first = m_orders.inspections.back().number;
        m_dispatcher->targetReleased(m_target.name, m_now);
        m_dispatcher->targetOwned(m_target, FencingToken(2), m_now);
        report(first, 3);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, m_dispatcher->load().targets);
        report(m_orders.inspections.back().number, 4);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, m_dispatcher->load().targets);
    }

private:
    static CommandResult accepted(TargetTime::rep clock)
    {
        return { CommandStatus::Accepted, TargetTime(clock), true };
    }

    [[nodiscard]] const RunName &run() const
    {
        return m_orders.starts.front().run;
    }

    /// Moves time on, with the home heard and advance() called each 10 ms.
    void pass(Duration time)
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
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_orders.starts.size());
    }

    void answerStart(CommandStatus answer)
    {
        m_dispatcher->startAnswered(m_target.name, run(), { answer, TargetTime(2), true }, m_now);
    }

    void report(std::uint64_t number, TargetTime::rep clock)
    {
        TargetReport empty;
        empty.incarnation = 1;
        m_dispatcher->inspected(m_target.name, number, empty, accepted(clock), m_now);
    }

    /// Answers the latest inspection: the run is done.
    void reportEnd(TargetTime::rep clock)
    {
        TargetReport done;
        done.incarnation = 1;
        done.ended.push_back({ 1, run(), RunEndKind::Done });
        m_dispatcher->inspected(m_target.name, m_orders.inspections.back().number, done, accepted(clock), m_now);
    }

    RecordingOrders m_orders;
    RecordingEnds m_observer;
    DispatchTarget m_target;
    Instant m_now {};
    std::unique_ptr<Dispatcher> m_dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostOrdersTest);

} // namespace Eelgrasscleat
