/// @file
/// Attribution of lost targets to tasks, and what follows for the next start.
#include <eelgrasscleat/Dispatch/CrashHistory.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class CrashHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashHistoryTest);
    CPPUNIT_TEST(advice_targetsCrashTwiceRightAfterStart_givesUp);
    CPPUNIT_TEST(advice_bystanderOfTwoCrashes_mayStart);
    CPPUNIT_TEST(advice_bystanderOfThreeCrashes_givesUp);
    CPPUNIT_TEST(advice_targetsFellSilent_givesUpAfterThree);
    CPPUNIT_TEST(advice_causesOfTwoLossesUnknown_waitsUntilResolved);
    CPPUNIT_TEST(advice_fourLossesOfUnknownCause_neverStartsAgain);
    CPPUNIT_TEST(advice_anotherTaskHasLostTwoTargets_waitsForCause);
    CPPUNIT_TEST(targetAnswered_sameLifeAfterPartition_lossForgotten);
    CPPUNIT_TEST(targetAnswered_otherLife_isCrash);
    CPPUNIT_TEST(targetListed_laterLifeAtAddress_isCrash);
    CPPUNIT_TEST(targetListed_earlierLifeAtAddress_ignored);
    CPPUNIT_TEST(targetReplaced_atAddress_isCrash);
    CPPUNIT_TEST(confirm_rackLostTogether_notAttributed);
    CPPUNIT_TEST(confirm_manyTargetsLostTogether_notAttributed);
    CPPUNIT_TEST(confirm_rackLostByTasksOfOneJob_attributed);
    CPPUNIT_TEST(confirm_sameRackAtDifferentTimes_attributed);
    CPPUNIT_TEST(confirm_fewTargetsOfBusyRack_attributed);
    CPPUNIT_TEST(learn_crashesOfOtherInstances_count);
    CPPUNIT_TEST(learn_crashAlreadyKnown_countsOnce);
    CPPUNIT_TEST(advance_afterRetention_forgets);
    CPPUNIT_TEST(advance_learnedCrash_keptTwiceAsLong);
    CPPUNIT_TEST(forget_withdrawnCrash_notReportedAgain);
    CPPUNIT_TEST(targetLost_aboveMaximum_oldestForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_history = CrashHistory(CrashPolicy());
        m_now = Instant(std::chrono::seconds(1000));
        m_rack.clear();
        m_busyRackTargets = 3;
        m_closedConnections = true;
    }

    void advice_targetsCrashTwiceRightAfterStart_givesUp()
    {
        crash("a", { kTask });
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::Isolate);
        crash("b", { kTask });
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::GiveUp);
        CPPUNIT_ASSERT_EQUAL(2U, m_history.crashes(kTask));
    }

    void advice_bystanderOfTwoCrashes_mayStart()
    {
        crashWithBystander("a");
        crashWithBystander("b");
        CPPUNIT_ASSERT(advice(kBystander) == StartAdvice::Start);
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::GiveUp);
    }

    void advice_bystanderOfThreeCrashes_givesUp()
    {
        crashWithBystander("a");
        crashWithBystander("b");
        crashWithBystander("c");
        CPPUNIT_ASSERT(advice(kBystander) == StartAdvice::GiveUp);
    }

    void advice_targetsFellSilent_givesUpAfterThree()
    {
        m_closedConnections = false;
        crash("a", { kTask });
        crash("b", { kTask });
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::Isolate);
        lose("c", { kTask });
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::Wait);
        m_history.targetAnswered(TargetName("c"), 2, m_now);
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::GiveUp);
    }

    void advice_causesOfTwoLossesUnknown_waitsUntilResolved()
    {
        lose("a", { kTask });
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::Isolate);
        lose("b", { kTask });
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::Wait);
        m_now += CrashPolicy().resolveTime;
        CPPUNIT_ASSERT_MESSAGE("targets that don't return were cut off", advice(kTask) == StartAdvice::Isolate);
        CPPUNIT_ASSERT(m_history.targetAnswered(TargetName("a"), 2, m_now));
        CPPUNIT_ASSERT(m_history.targetAnswered(TargetName("b"), 2, m_now));
        CPPUNIT_ASSERT_MESSAGE("they have crashed after all", advice(kTask) == StartAdvice::GiveUp);
    }

    void advice_fourLossesOfUnknownCause_neverStartsAgain()
    {
        for (const char *it : { "a", "b", "c", "d" }) {
            lose(it, { kTask });
            m_now += CrashPolicy().resolveTime;
        }
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::Wait);
    }

    void advice_anotherTaskHasLostTwoTargets_waitsForCause()
    {
        const TaskName later { JobId("later"), 0, 0 };
        lose("a", { kTask });
        lose("b", { kTask });
        lose("c", { later });
        CPPUNIT_ASSERT(advice(later) == StartAdvice::Wait);
        m_history.targetAnswered(TargetName("c"), 2, m_now);
        CPPUNIT_ASSERT_MESSAGE("one crash is known", advice(later) == StartAdvice::Isolate);
        m_now += CrashPolicy().cautionTime;
        lose("d", { TaskName { JobId("last"), 0, 0 } });
        CPPUNIT_ASSERT(advice({ JobId("last"), 0, 0 }) == StartAdvice::Isolate);
    }

    void targetAnswered_sameLifeAfterPartition_lossForgotten()
    {
        lose("a", { kTask });
        lose("b", { kTask });
        CPPUNIT_ASSERT(!m_history.targetAnswered(TargetName("a"), 1, m_now));
        CPPUNIT_ASSERT(!m_history.targetAnswered(TargetName("b"), 1, m_now));
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::Start);
    }

    void targetAnswered_otherLife_isCrash()
    {
        lose("a", { kTask, kBystander });
        const auto crash = m_history.targetAnswered(TargetName("a"), 2, m_now);
        CPPUNIT_ASSERT(crash);
        CPPUNIT_ASSERT(crash->target == (TargetLife { TargetName("a"), 1 }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, crash->suspects.size());
        CPPUNIT_ASSERT_MESSAGE("reported once", !m_history.targetAnswered(TargetName("a"), 2, m_now));
    }

    void targetListed_laterLifeAtAddress_isCrash()
    {
        lose("a", { kTask });
        DispatchTarget successor = target("other-name", 2);
        successor.address = target("a").address;
        CPPUNIT_ASSERT(m_history.targetListed(successor, m_now));
        CPPUNIT_ASSERT_EQUAL(1U, m_history.crashes(kTask));
    }

    void targetListed_earlierLifeAtAddress_ignored()
    {
        lose("a", { kTask });
        CPPUNIT_ASSERT_MESSAGE("the entry of the lost life", !m_history.targetListed(target("a"), m_now));
        DispatchTarget predecessor = target("other-name", 0);
        predecessor.address = target("a").address;
        CPPUNIT_ASSERT(!m_history.targetListed(predecessor, m_now));
        CPPUNIT_ASSERT_MESSAGE("another address", !m_history.targetListed(target("b", 2), m_now));
    }

    void targetReplaced_atAddress_isCrash()
    {
        lose("a", { kTask });
        CPPUNIT_ASSERT(m_history.targetReplaced(TargetName("a"), m_now));
        CPPUNIT_ASSERT(!m_history.targetReplaced(TargetName("b"), m_now));
    }

    void confirm_rackLostTogether_notAttributed()
    {
        m_rack = "rack";
        for (const char *it : { "a", "b", "c" }) {
            lose(it, { TaskName { JobId(it), 0, 0 } });
        }
        for (const char *it : { "a", "b", "c" }) {
            CPPUNIT_ASSERT(m_history.targetAnswered(TargetName(it), 2, m_now)->commonCause);
            CPPUNIT_ASSERT_EQUAL(0U, m_history.crashes({ JobId(it), 0, 0 }));
        }
    }

    void confirm_manyTargetsLostTogether_notAttributed()
    {
        const char *const names[] = { "a", "b", "c", "d", "e", "f" };
        for (const char *it : names) {
            m_rack = std::string("rack of ") + it;
            lose(it, { TaskName { JobId(it), 0, 0 } });
        }
        for (const char *it : names) {
            CPPUNIT_ASSERT(m_history.targetAnswered(TargetName(it), 2, m_now)->commonCause);
        }
    }

    void confirm_rackLostByTasksOfOneJob_attributed()
    {
        m_rack = "rack";
        std::uint32_t index = 0;
        for (const char *it : { "a", "b", "c" }) {
            lose(it, { TaskName { JobId("job"), 0, index++ }, TaskName { JobId(it), 0, 0 } });
        }
        CPPUNIT_ASSERT(m_history.targetAnswered(TargetName("b"), 2, m_now));
        CPPUNIT_ASSERT_EQUAL(1U, m_history.crashes({ JobId("job"), 0, 1 }));
    }

    void confirm_sameRackAtDifferentTimes_attributed()
    {
        m_rack = "rack";
        for (const char *it : { "a", "b", "c" }) {
            lose(it, { TaskName { JobId(it), 0, 0 } });
            m_now += std::chrono::milliseconds(250);
        }
        CPPUNIT_ASSERT(!m_history.targetAnswered(TargetName("b"), 2, m_now)->commonCause);
    }

    void confirm_fewTargetsOfBusyRack_attributed()
    {
        m_rack = "rack";
        m_busyRackTargets = 8;
        for (const char *it : { "a", "b", "c" }) {
            lose(it, { TaskName { JobId(it), 0, 0 } });
        }
        CPPUNIT_ASSERT(!m_history.targetAnswered(TargetName("b"), 2, m_now)->commonCause);
    }

    void learn_crashesOfOtherInstances_count()
    {
        CPPUNIT_ASSERT(m_history.learn({ { TargetName("a"), 1 }, { { kTask, true, true } } }, m_now));
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::Isolate);
        crash("b", { kTask });
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::GiveUp);
    }

    void learn_crashAlreadyKnown_countsOnce()
    {
        const TargetCrash known = crash("a", { kTask });
        CPPUNIT_ASSERT(!m_history.learn(known, m_now));
        CPPUNIT_ASSERT_EQUAL(1U, m_history.crashes(kTask));
        lose("b", { kTask });
        CPPUNIT_ASSERT_MESSAGE("another instance has found out the cause of an open loss",
                               m_history.learn({ { TargetName("b"), 1 }, { { kTask, true, true } } }, m_now));
        CPPUNIT_ASSERT_EQUAL(2U, m_history.crashes(kTask));
    }

    void advance_afterRetention_forgets()
    {
        crash("a", { kTask });
        lose("b", { kTask });
        CPPUNIT_ASSERT(m_history.advance(m_now).empty());
        m_now += CrashPolicy().retention;
        const auto forgotten = m_history.advance(m_now);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("only crashes were published", std::size_t { 1 }, forgotten.size());
        CPPUNIT_ASSERT(forgotten[0] == (TargetLife { TargetName("a"), 1 }));
        CPPUNIT_ASSERT(advice(kTask) == StartAdvice::Start);
    }

    void advance_learnedCrash_keptTwiceAsLong()
    {
        m_history.learn({ { TargetName("a"), 1 }, { { kTask, true, true } } }, m_now);
        m_now += CrashPolicy().retention;
        CPPUNIT_ASSERT(m_history.advance(m_now).empty());
        CPPUNIT_ASSERT_EQUAL(1U, m_history.crashes(kTask));
        m_now += CrashPolicy().retention;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_history.advance(m_now).size());
    }

    void forget_withdrawnCrash_notReportedAgain()
    {
        crash("a", { kTask });
        m_history.forget({ TargetName("a"), 1 });
        CPPUNIT_ASSERT_EQUAL(0U, m_history.crashes(kTask));
        CPPUNIT_ASSERT(m_history.advance(m_now + CrashPolicy().retention).empty());
    }

    void targetLost_aboveMaximum_oldestForgotten()
    {
        CrashPolicy policy;
        policy.maxRemembered = 2;
        m_history = CrashHistory(policy);
        for (const char *it : { "a", "b", "c" }) {
            lose(it, { TaskName { JobId(it), 0, 0 } });
            m_now += std::chrono::seconds(1);
        }
        CPPUNIT_ASSERT(advice({ JobId("a"), 0, 0 }) == StartAdvice::Start);
        CPPUNIT_ASSERT(advice({ JobId("c"), 0, 0 }) == StartAdvice::Isolate);
    }

private:
    inline static const TaskName kTask { JobId("crashing"), 0, 3 };
    inline static const TaskName kBystander { JobId("harmless"), 0, 0 };

    [[nodiscard]] DispatchTarget target(const std::string &name, std::uint64_t incarnation = 1) const
    {
        DispatchTarget described;
        described.name = TargetName(name);
        described.address = name + ":80";
        described.rack = m_rack;
        described.incarnation = incarnation;
        return described;
    }

    [[nodiscard]] CrashHistory::LostTarget lostTarget(const std::string &name) const
    {
        CrashHistory::LostTarget lost;
        lost.life = { TargetName(name), 1 };
        lost.address = target(name).address;
        lost.rack = m_rack;
        lost.busyRackTargets = m_busyRackTargets;
        lost.lastAnsweredAt = m_now - std::chrono::milliseconds(200);
        lost.closedConnections = m_closedConnections;
        return lost;
    }

    /// All @p tasks were started at the same time.
    void lose(const std::string &name, const std::vector<TaskName> &tasks)
    {
        CrashHistory::LostTarget lost = lostTarget(name);
        for (const TaskName &it : tasks) {
            lost.runs.push_back({ it, m_now, true });
        }
        m_history.targetLost(lost, m_now);
    }

    TargetCrash crash(const std::string &name, const std::vector<TaskName> &tasks)
    {
        lose(name, tasks);
        const auto crash = m_history.targetAnswered(TargetName(name), 2, m_now);
        CPPUNIT_ASSERT(crash);
        return *crash;
    }

    /// kBystander has been at work for a second when kTask starts.
    void crashWithBystander(const std::string &name)
    {
        CrashHistory::LostTarget lost = lostTarget(name);
        lost.runs = { { kBystander, m_now - std::chrono::seconds(1), true }, { kTask, m_now, true } };
        m_history.targetLost(lost, m_now);
        CPPUNIT_ASSERT(m_history.targetAnswered(TargetName(name), 2, m_now));
    }

    [[nodiscard]] StartAdvice advice(const TaskName &task) const
    {
        return m_history.advice(task, m_now);
    }

    CrashHistory m_history;
    Instant m_now {};
    std::string m_rack;
    std::size_t m_busyRackTargets = 3;
    bool m_closedConnections = true;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashHistoryTest);

} // namespace Eelgrasscleat
