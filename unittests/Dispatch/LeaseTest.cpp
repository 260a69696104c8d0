/// @file
/// Leases of a target with runs that are being stopped while the stop commands go unanswered: none of them outlives the
/// time after which its caller may resubmit the job elsewhere.
#include "RecordingCommands.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

class LeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseTest);
    CPPUNIT_TEST(unknownRun_foundByNewOwner_leaseNotRenewed);
    CPPUNIT_TEST(unknownRun_targetFallsSilent_countsAsActiveForALease);
    CPPUNIT_TEST(runOfLostHome_beingStopped_leaseEndsWithTheHome);
    CPPUNIT_TEST(runOfCanceledJob_beingStopped_leaseEndsWithTheJob);
    CPPUNIT_TEST(runOfCanceledJob_beingStopped_nothingStartedBesideIt);
    CPPUNIT_TEST(stop_confirmed_leaseRenewedAgain);
    CPPUNIT_TEST(stalledRunOfOpenJob_beingStopped_leaseRenewed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_commands = {};
        m_observer = {};
        m_now = Instant(std::chrono::seconds(1000));
        m_silentHomes.clear();
        m_dispatcher = std::make_unique<Dispatcher>(DispatcherPolicy(), m_commands, m_observer);
        m_target.name = TargetName("target");
        m_target.service = ServiceName("service");
        m_target.capacity = { 32000, 65536, 0 };
        m_target.incarnation = 1;
        m_running.clear();
        m_reported = 0;
    }

    void unknownRun_foundByNewOwner_leaseNotRenewed()
    {
        m_running.push_back({ { { JobId("earlier"), 0, 0 }, 3 }, 40 });
        own();
        pass(std::chrono::seconds(2));
        CPPUNIT_ASSERT_MESSAGE("stopped until it is gone", !m_commands.stops.empty());
        for (const InspectCommand &it : m_commands.inspections) {
            CPPUNIT_ASSERT_MESSAGE("its owner's lease must end", !it.renew);
        }
        const std::size_t n = m_commands.inspections.size();
        CPPUNIT_ASSERT_MESSAGE("inspections still wait for the end", n < 120);
    }

    void unknownRun_targetFallsSilent_countsAsActiveForALease()
    {
        m_running.push_back({ { { JobId("job"), 0, 0 }, 3 }, 40 });
        own();
        m_isSilent = true;
        pass(std::chrono::milliseconds(900));
        CPPUNIT_ASSERT(!m_dispatcher->isIdle(m_target.name));
        pass(std::chrono::milliseconds(400));
        CPPUNIT_ASSERT(m_dispatcher->isIdle(m_target.name));
    }

    void runOfLostHome_beingStopped_leaseEndsWithTheHome()
    {
        own();
        submit("a", "home-a");
        submit("b", "home-b");
        const Instant lastContact = m_now;
        m_silentHomes.insert(InstanceName("home-a"));
        pass(std::chrono::seconds(2));
        CPPUNIT_ASSERT_MESSAGE("the run is being stopped", !m_commands.stops.empty());
        assertLeasesEndBy(lastContact + kLease);
    }

    void runOfCanceledJob_beingStopped_leaseEndsWithTheJob()
    {
        own();
        submit("a", "home-a");
        submit("b", "home-b");
        pass(std::chrono::milliseconds(500));
        m_dispatcher->cancel({ InstanceName("home-a"), 1 }, m_now);
        const Instant canceledAt = m_now;
        pass(std::chrono::seconds(2));
        CPPUNIT_ASSERT(!m_commands.stops.empty());
        assertLeasesEndBy(canceledAt + kLease);
    }

    void runOfCanceledJob_beingStopped_nothingStartedBesideIt()
    {
        own();
        submit("a", "home-a");
        m_dispatcher->cancel({ InstanceName("home-a"), 1 }, m_now);
        pass(std::chrono::milliseconds(300));
        const std::size_t starts = m_commands.starts.size();
        submit("b", "home-b");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("its lease would end too soon", starts, m_commands.starts.size());
        confirmStop();
        pass(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(m_commands.starts.size() > starts);
    }

    void stop_confirmed_leaseRenewedAgain()
    {
        own();
        submit("a", "home-a");
        submit("b", "home-b");
        m_dispatcher->cancel({ InstanceName("home-a"), 1 }, m_now);
        pass(std::chrono::milliseconds(600));
        confirmStop();
        pass(std::chrono::seconds(1));
        CPPUNIT_ASSERT(leaseEnd() > targetTime(m_now) + std::chrono::milliseconds(600));
    }

    void stalledRunOfOpenJob_beingStopped_leaseRenewed()
    {
        own();
        submit("a", "home-a");
        pass(std::chrono::seconds(3));
        CPPUNIT_ASSERT_MESSAGE("no progress", !m_commands.stops.empty());
        CPPUNIT_ASSERT_MESSAGE("its task is started again only once it has ended",
                               leaseEnd() > targetTime(m_now) + std::chrono::milliseconds(600));
    }

private:
    static constexpr Duration kLease = std::chrono::milliseconds(1000);

    /// The target's clock shows the time since the test's first instant.
    [[nodiscard]] static TargetTime targetTime(Instant when)
    {
        return std::chrono::duration_cast<TargetTime>(when - Instant(std::chrono::seconds(1000)))
            + std::chrono::milliseconds(1);
    }

    void own()
    {
        m_dispatcher->targetOwned(m_target, FencingToken(1), m_now);
        answerInspections();
    }

    void submit(const std::string &id, const std::string &home)
    {
        JobRequest request;
        request.id = JobId(id);
        request.service = m_target.service;
        request.attempts = 2;
        request.stretch = 100;
        request.submitted = m_now;
        request.deadline = m_now + std::chrono::seconds(60);
        JobStep step;
        step.demand = { 14000, 64, 0 };
        step.estimate = std::chrono::milliseconds(500);
        request.steps.push_back(step);
        const std::size_t before = m_commands.starts.size();
        m_homes.insert(InstanceName(home));
        m_dispatcher->homeContacted(InstanceName(home), m_now);
        m_dispatcher->submit({ InstanceName(home), 1 }, request, m_now);
        if (m_commands.starts.size() > before) {
            const RunName run = m_commands.starts.back().run;
            m_running.push_back({ run, 10 });
            m_dispatcher->startAnswered(m_target.name, run, accepted(), m_now);
        }
    }

    [[nodiscard]] CommandResult accepted() const
    {
        return { CommandStatus::Accepted, targetTime(m_now), true };
    }

    /// Inspections are answered at once, stops never. Homes but the silent ones are in contact.
    void pass(Duration time)
    {
        const Instant end = m_now + time;
        while (m_now < end) {
            m_now += std::chrono::milliseconds(20);
            for (const InstanceName &it : m_homes) {
                if (m_silentHomes.count(it) == 0) {
                    m_dispatcher->homeContacted(it, m_now);
                }
            }
            answerInspections();
            m_dispatcher->advance(m_now);
        }
    }

    void answerInspections()
    {
        const std::size_t n = m_commands.inspections.size();
        for (; m_reported < n; ++m_reported) {
            const std::uint64_t number = m_commands.inspections[m_reported].number;
            if (m_isSilent) {
                m_dispatcher->inspectionFailed(m_target.name, number, {}, m_now);
                continue;
            }
            TargetReport report;
            report.incarnation = 1;
            report.running = m_running;
            m_dispatcher->inspected(m_target.name, number, report, accepted(), m_now);
        }
    }

    /// The target has carried out the stop of the first run.
    void confirmStop()
    {
        const RunName run = m_running.front().run;
        m_running.erase(m_running.begin());
        m_dispatcher->stopAnswered(m_target.name, run, accepted(), m_now);
        answerInspections();
    }

    [[nodiscard]] TargetTime leaseEnd() const
    {
        TargetTime end { 0 };
        for (const InspectCommand &it : m_commands.inspections) {
            end = std::max(end, it.renew ? it.leaseEnd : TargetTime(0));
        }
        for (const StartCommand &it : m_commands.starts) {
            end = std::max(end, it.leaseEnd);
        }
        return end;
    }

    void assertLeasesEndBy(Instant end)
    {
        const std::string text = std::to_string(leaseEnd().count()) + " of " + std::to_string(targetTime(end).count());
        CPPUNIT_ASSERT_MESSAGE(text, leaseEnd() <= targetTime(end));
    }

    RecordingCommands m_commands;
    RecordingObserver m_observer;
    DispatchTarget m_target;
    Instant m_now {};
    std::set<InstanceName> m_homes;
    std::set<InstanceName> m_silentHomes;
    std::vector<ReportedRun> m_running;
    bool m_isSilent = false;
    std::size_t m_reported = 0; ///< Inspections answered.
    std::unique_ptr<Dispatcher> m_dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

} // namespace Eelgrasscleat
