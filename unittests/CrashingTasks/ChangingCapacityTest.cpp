/// @file
/// Targets whose capacity changes while they run tasks, or that return with another one after a restart.
#include "CrashingFleet.h"

namespace Eelgrasscleat
{

class ChangingCapacityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChangingCapacityTest);
    CPPUNIT_TEST(capacity_shrinksWhileTasksRun_nothingStartedOverIt);
    CPPUNIT_TEST(capacity_growsAgain_used);
    CPPUNIT_TEST(capacity_shrinksToNothing_tasksRunElsewhere);
    CPPUNIT_TEST(capacity_smallerAfterRestart_notUsedBeforeItIsListed);
    CPPUNIT_TEST(job_fitsNoTargetAnyMore_refusedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<CrashingFleet>(1, kTargets);
        m_fleet->work = std::chrono::milliseconds(300);
    }

    void capacity_shrinksWhileTasksRun_nothingStartedOverIt()
    {
        submit(20);
        m_fleet->run(std::chrono::milliseconds(100));
        setCapacity(0, 12000);
        setCapacity(1, 25000);
        assertAllComplete();
    }

    void capacity_growsAgain_used()
    {
        for (std::size_t i = 0; i < kTargets; ++i) {
            setCapacity(i, 10000);
        }
        submit(20);
        m_fleet->run(std::chrono::milliseconds(100));
        for (std::size_t i = 0; i < kTargets; ++i) {
            setCapacity(i, 32000);
        }
        m_fleet->run(std::chrono::milliseconds(50));
        std::size_t running = 0;
        for (const FakeTarget &it : m_fleet->fleet.targets) {
            running += it.running.size();
        }
        CPPUNIT_ASSERT_GREATER(kTargets, running);
        assertAllComplete();
    }

    void capacity_shrinksToNothing_tasksRunElsewhere()
    {
        setCapacity(0, 0);
        setCapacity(1, 0);
        submit(20);
        assertAllComplete();
    }

    void capacity_smallerAfterRestart_notUsedBeforeItIsListed()
    {
        submit(60);
        m_fleet->run(std::chrono::milliseconds(100));
        FakeTarget &target = m_fleet->fleet.targets[0];
        target.restart(m_fleet->queue.now());
        target.description.capacity.milliCores = 10000;
        m_fleet->run(std::chrono::milliseconds(700));
        CPPUNIT_ASSERT_MESSAGE("its capacity is unknown", target.running.empty());
        m_fleet->dispatcher().targetOwned(target.description, FencingToken(1), m_fleet->queue.now());
        submit(20);
        assertAllComplete();
    }

    void job_fitsNoTargetAnyMore_refusedAtOnce()
    {
        for (std::size_t i = 0; i < kTargets; ++i) {
            setCapacity(i, 15000);
        }
        submit(static_cast<std::uint32_t>(kTargets));
        const std::string waiting = submit(4);
        m_fleet->run(std::chrono::milliseconds(20));
        for (std::size_t i = 0; i < kTargets; ++i) {
            setCapacity(i, 9000);
        }
        const JobEnd end = m_fleet->awaitEnd(waiting, std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(end.outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(end.reason == JobEndReason::NoSuitableTarget);
    }

private:
    static constexpr std::size_t kTargets = 6;

    std::string submit(std::uint32_t tasks)
    {
        const std::string id = "job" + std::to_string(m_jobs++);
        m_fleet->submit(m_fleet->job(id, tasks));
        return id;
    }

    /// The target changes its capacity, and its list entry tells.
    void setCapacity(std::size_t index, std::uint32_t milliCores)
    {
        DispatchTarget &target = m_fleet->fleet.targets[index].description;
        target.capacity.milliCores = milliCores;
        m_fleet->dispatcher().targetOwned(target, FencingToken(1), m_fleet->queue.now());
    }

    void assertAllComplete()
    {
        m_fleet->run(std::chrono::seconds(8));
        const auto &violations = m_fleet->fleet.violations();
        CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front(), violations.empty());
        for (int i = 0; i < m_jobs; ++i) {
            CPPUNIT_ASSERT(m_fleet->ends.at(JobId("job" + std::to_string(i))).outcome == JobOutcome::Complete);
        }
    }

    std::unique_ptr<CrashingFleet> m_fleet;
    int m_jobs = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangingCapacityTest);

} // namespace Eelgrasscleat
