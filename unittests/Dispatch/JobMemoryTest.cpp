/// @file
/// The jobs of a dispatcher hold a bounded memory, whoever submits them.
#include "JobEndObserver.h"
#include "RecordingCommands.h"

#include <eelgrasscleat/Dispatch/JobRouter.h>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

class JobMemoryTest : public CppUnit::TestFixture, public JobEndObserver
{
    CPPUNIT_TEST_SUITE(JobMemoryTest);
    CPPUNIT_TEST(submit_memoryUsedUp_refusedAsNotRun);
    CPPUNIT_TEST(submit_earlierJobsEnded_acceptedAgain);
    CPPUNIT_TEST(heldBytes_longPayloadManyTasks_countsBoth);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_commands = {};
        m_ends.clear();
        DispatcherPolicy policy;
        policy.maxJobBytes = kMaxJobBytes;
        m_dispatcher = std::make_unique<Dispatcher>(policy, m_commands, *this);
        DispatchTarget target;
        target.name = TargetName("target");
        target.service = ServiceName("service");
        target.capacity = { 32000, 65536, 0 };
        target.incarnation = 1;
        m_dispatcher->targetOwned(target, FencingToken(1), m_now);
        TargetReport report;
        report.incarnation = 1;
        m_dispatcher->inspected(target.name,
                                m_commands.inspections.back().number,
                                report,
                                { CommandStatus::Accepted, TargetTime(1), true },
                                m_now);
    }

    void submit_memoryUsedUp_refusedAsNotRun()
    {
        for (std::uint64_t i = 1; i <= 4; ++i) {
            submit(i);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_ends.size());
        CPPUNIT_ASSERT(m_ends.front().outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_ends.front().reason == JobEndReason::QueueFull);
        CPPUNIT_ASSERT_EQUAL(std::string("job4"), m_ends.front().id.value);
    }

    void submit_earlierJobsEnded_acceptedAgain()
    {
        for (std::uint64_t i = 1; i <= 3; ++i) {
            submit(i);
        }
        m_dispatcher->cancel({ InstanceName("home"), 1 }, m_now);
        m_ends.clear();
        submit(4);
        CPPUNIT_ASSERT(m_ends.empty());
    }

    void heldBytes_longPayloadManyTasks_countsBoth()
    {
        JobRequest request = job(1);
        request.steps.front().tasks = 500;
        CPPUNIT_ASSERT(heldBytes(request) > kPayloadBytes + 500 * 64);
        CPPUNIT_ASSERT(openJobBytes(request) >= 2 * heldBytes(request));
    }

private:
    static constexpr std::size_t kPayloadBytes = 30000;
    static constexpr std::size_t kMaxJobBytes = 100000;

    void jobEnded(const InstanceName &, const JobEnd &end) override
    {
        m_ends.push_back(end);
    }

    [[nodiscard]] JobRequest job(std::uint64_t number) const
    {
        JobRequest request;
        request.id = JobId("job" + std::to_string(number));
        request.service = ServiceName("service");
        request.attempts = 2;
        request.stretch = 100;
        request.submitted = m_now;
        request.deadline = m_now + std::chrono::seconds(60);
        request.payload = std::string(kPayloadBytes, 'x');
        JobStep step;
        step.demand = { 14000, 64, 0 };
        step.estimate = std::chrono::milliseconds(500);
        request.steps.push_back(step);
        return request;
    }

    void submit(std::uint64_t number)
    {
        m_dispatcher->homeContacted(InstanceName("home"), m_now);
        m_dispatcher->submit({ InstanceName("home"), number }, job(number), m_now);
    }

    RecordingCommands m_commands;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::vector<JobEnd> m_ends;
    Instant m_now { std::chrono::seconds(1000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobMemoryTest);

} // namespace Eelgrasscleat
