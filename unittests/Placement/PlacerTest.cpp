/// @file
/// The placement policy through its public interface: requirements, leaving targets, health, speeds, shared slots.
#include <eelgrasscleat/Placement/Placer.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace Eelgrasscleat
{

class PlacerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacerTest);
    CPPUNIT_TEST(canEverRun_needsBeyondAllTargets_isFalse);
    CPPUNIT_TEST(canEverRun_onlyTargetLeavingOrBusy_isTrue);
    CPPUNIT_TEST(canEverRun_targetRemovedOrMovedToOtherService_isFalse);
    CPPUNIT_TEST(choose_needsAccelerator_takesTargetThatHasOne);
    CPPUNIT_TEST(choose_noNeedOfAccelerator_sparesTargetThatHasOne);
    CPPUNIT_TEST(choose_targetLeaving_getsNothing);
    CPPUNIT_TEST(choose_targetRefusedAsLeaving_getsNothing);
    CPPUNIT_TEST(choose_slotsTaken_waits);
    CPPUNIT_TEST(choose_fewerConnectionsThanSlots_keepsToConnections);
    CPPUNIT_TEST(choose_allSharesOfInstances_makeUpTheSlots);
    CPPUNIT_TEST(choose_noOwnSlotAnywhere_triesSharedSlot);
    CPPUNIT_TEST(choose_targetRefused_isBlockedForAWhile);
    CPPUNIT_TEST(choose_speedsApart_prefersTheFastest);
    CPPUNIT_TEST(choose_fastFailures_doNotLookFast);
    CPPUNIT_TEST(choose_targetFailsAll_isEjected);
    CPPUNIT_TEST(choose_allTargetsFail_noneIsEjected);
    CPPUNIT_TEST(choose_ejectedTarget_getsExactlyOneProbe);
    CPPUNIT_TEST(choose_probeSucceeds_targetComesBackGradually);
    CPPUNIT_TEST(choose_lastTaskOfJob_isNoProbe);
    CPPUNIT_TEST(choose_twoTargetsOfARackLost_restOfRackGetsNothing);
    CPPUNIT_TEST(choose_fasterSlotFreeSoon_waitsUnlessQueueIsLong);
    CPPUNIT_TEST(choose_patientTask_leavesLastSlotsToUrgentOnes);
    CPPUNIT_TEST(attemptEnded_twice_countsOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_placer = makeAdaptivePlacer(AdaptivePlacerSettings { 1.0 });
        m_now = Instant(std::chrono::hours(1));
        m_request.service = ServiceName("engrave-desk");
        m_request.customer = CustomerName("club");
        m_request.expectedRun = std::chrono::milliseconds(100);
        m_request.urgent = true;
    }

    void canEverRun_needsBeyondAllTargets_isFalse()
    {
        add("a", 8, Requirements { 1, 4, 1000 });
        add("b", 8, Requirements { 0, 64, 8000 });
        m_request.requirements = Requirements { 1, 8, 0 };
        CPPUNIT_ASSERT(!m_placer->canEverRun(m_request));
        m_request.requirements = Requirements { 1, 4, 1000 };
        CPPUNIT_ASSERT(m_placer->canEverRun(m_request));
        m_request.service = ServiceName("roster-desk");
        CPPUNIT_ASSERT(!m_placer->canEverRun(m_request));
    }

    void canEverRun_onlyTargetLeavingOrBusy_isTrue()
    {
        add("a", 1);
        start();
        CPPUNIT_ASSERT(!choose());
        m_placer->setLeaving(TargetName("a"), true, m_now);
        CPPUNIT_ASSERT(m_placer->canEverRun(m_request));
    }

    void canEverRun_targetRemovedOrMovedToOtherService_isFalse()
    {
        add("a", 1);
        m_placer->removeTarget(TargetName("a"));
        CPPUNIT_ASSERT(!m_placer->canEverRun(m_request));
        CPPUNIT_ASSERT(!choose());
        add("a", 1);
        TargetInfo moved = info("a", 1, Requirements());
        moved.service = ServiceName("roster-desk");
        m_placer->setTarget(moved, m_now);
        CPPUNIT_ASSERT(!m_placer->canEverRun(m_request));
        CPPUNIT_ASSERT(!choose());
    }

    void choose_needsAccelerator_takesTargetThatHasOne()
    {
        add("plain", 8);
        add("accelerated", 1, Requirements { 2, 0, 0 });
        m_request.requirements.accelerators = 2;
        CPPUNIT_ASSERT_EQUAL(std::string("accelerated"), start().target.value);
        CPPUNIT_ASSERT(!choose());
    }

    void choose_noNeedOfAccelerator_sparesTargetThatHasOne()
    {
        add("accelerated", 4, Requirements { 2, 0, 0 });
        add("plain", 4);
        for (int n = 0; n < 4; ++n) {
            CPPUNIT_ASSERT_EQUAL(std::string("plain"), start().target.value);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("accelerated"), start().target.value);
    }

    void choose_targetLeaving_getsNothing()
    {
        add("a", 8);
        add("b", 8);
        m_placer->setLeaving(TargetName("a"), true, m_now);
        for (int n = 0; n < 8; ++n) {
            CPPUNIT_ASSERT_EQUAL(std::string("b"), start().target.value);
        }
        CPPUNIT_ASSERT(!choose());
        m_placer->setLeaving(TargetName("a"), false, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), start().target.value);
    }

    void choose_targetRefusedAsLeaving_getsNothing()
    {
        add("a", 8);
        end(start(), PlacementOutcome::Leaving);
        m_now += std::chrono::minutes(5);
        CPPUNIT_ASSERT(!choose());
    }

    void choose_slotsTaken_waits()
    {
        add("a", 2);
        const Placement first = start();
        start();
        CPPUNIT_ASSERT(!choose());
        end(first, PlacementOutcome::Done);
        CPPUNIT_ASSERT(choose());
    }

    void choose_fewerConnectionsThanSlots_keepsToConnections()
    {
        TargetInfo few = info("a", 8, Requirements());
        few.connections = 3;
        m_placer->setTarget(few, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fill().size());
    }

    void choose_allSharesOfInstances_makeUpTheSlots()
    {
        for (const std::uint32_t instances : { 1U, 2U, 3U, 5U, 11U }) {
            std::map<std::string, std::uint32_t> taken;
            for (std::uint32_t rank = 0; rank < instances; ++rank) {
                setUp();
                m_placer->setSlotShare(SlotShare { instances, rank });
                for (const char *name : { "a", "b", "c", "d" }) {
                    add(name, 8);
                }
                for (const Placement &placement : fill()) {
                    ++taken[placement.target.value];
                }
            }
            for (const auto &[name, count] : taken) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 8U, count);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), taken.size());
        }
    }

    void choose_noOwnSlotAnywhere_triesSharedSlot()
    {
        int withoutOwnSlot = 0;
        for (std::uint32_t rank = 0; rank < 3; ++rank) {
            setUp();
            m_placer->setSlotShare(SlotShare { 3, rank });
            add("a", 1);
            const Placement placement = start();
            end(placement, PlacementOutcome::Refused);
            withoutOwnSlot += choose() ? 0 : 1;
            m_now += std::chrono::seconds(1);
            CPPUNIT_ASSERT(choose());
        }
        CPPUNIT_ASSERT_EQUAL(3, withoutOwnSlot);
    }

    void choose_targetRefused_isBlockedForAWhile()
    {
        add("a", 8);
        add("b", 8);
        const Placement refused = start();
        end(refused, PlacementOutcome::Refused);
        for (const Placement &placement : fill()) {
            CPPUNIT_ASSERT(placement.target != refused.target);
        }
        m_now += std::chrono::seconds(1);
        CPPUNIT_ASSERT_EQUAL(refused.target.value, start().target.value);
    }

    void choose_speedsApart_prefersTheFastest()
    {
        addMany(6);
        train(2000, [](const Placement &placement) { return placement.target == TargetName("t3") ? 50 : 100; });
        int fastest = 0;
        for (int n = 0; n < 100; ++n) {
            const Placement placement = start();
            fastest += placement.target == TargetName("t3") ? 1 : 0;
            end(placement, PlacementOutcome::Done, 50);
        }
        CPPUNIT_ASSERT(fastest >= 95);
    }

    void choose_fastFailures_doNotLookFast()
    {
        addMany(6);
        end(startOn("t2"), PlacementOutcome::Failed, 1);
        end(startOn("t2"), PlacementOutcome::Failed, 1);
        int chosen = 0;
        for (int n = 0; n < 60; ++n) {
            chosen += choose()->target == TargetName("t2") ? 1 : 0;
        }
        CPPUNIT_ASSERT(chosen > 0);
        CPPUNIT_ASSERT(chosen < 30);
    }

    void choose_targetFailsAll_isEjected()
    {
        addMany(6);
        int sent = 0;
        for (int n = 0; n < 500; ++n) {
            const Placement placement = start();
            const bool bad = placement.target == TargetName("t0");
            sent += bad ? 1 : 0;
            end(placement, bad ? PlacementOutcome::Failed : PlacementOutcome::Done);
        }
        CPPUNIT_ASSERT_EQUAL(3, sent);
    }

    void choose_allTargetsFail_noneIsEjected()
    {
        addMany(6);
        std::set<std::string> used;
        for (int n = 0; n < 2000; ++n) {
            const Placement placement = start();
            CPPUNIT_ASSERT(!placement.probe);
            if (n >= 1000) {
                used.insert(placement.target.value);
            }
            end(placement, PlacementOutcome::Failed);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), used.size());
    }

    void choose_ejectedTarget_getsExactlyOneProbe()
    {
        addMany(6);
        ejectTarget("t0");
        CPPUNIT_ASSERT_EQUAL(0, countOf("t0", 100));
        m_request.urgent = false;
        m_now += std::chrono::seconds(1);
        const Placement probe = start();
        CPPUNIT_ASSERT(probe.probe);
        CPPUNIT_ASSERT_EQUAL(std::string("t0"), probe.target.value);
        m_now += std::chrono::minutes(5);
        for (const Placement &placement : fill()) {
            CPPUNIT_ASSERT(!placement.probe);
            CPPUNIT_ASSERT(placement.target != probe.target);
        }
    }

    void choose_probeSucceeds_targetComesBackGradually()
    {
        addMany(6);
        ejectTarget("t0");
        m_now += std::chrono::seconds(2);
        Placement probe = start();
        CPPUNIT_ASSERT(probe.probe);
        end(probe, PlacementOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(0, countOf("t0", 100));
        m_now += std::chrono::seconds(3);
        probe = start();
        CPPUNIT_ASSERT(probe.probe);
        end(probe, PlacementOutcome::Done);
        CPPUNIT_ASSERT(countOf("t0", 0) == 0);
        CPPUNIT_ASSERT(slotsOf("t0") < 8);
        for (int n = 0; n < 20; ++n) {
            end(startOn("t0"), PlacementOutcome::Done);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), slotsOf("t0"));
    }

    void choose_lastTaskOfJob_isNoProbe()
    {
        addMany(6);
        ejectTarget("t0");
        m_now += std::chrono::seconds(10);
        m_request.jobTaskCount = 20;
        m_request.remainingTasks = 2;
        CPPUNIT_ASSERT(!choose()->probe);
        m_request.remainingTasks = 15;
        CPPUNIT_ASSERT(choose()->probe);
    }

    void choose_twoTargetsOfARackLost_restOfRackGetsNothing()
    {
        for (int n = 0; n < 16; ++n) {
            TargetInfo target = info("t" + std::to_string(n), 8, Requirements());
            target.rack = "rack" + std::to_string(n / 4);
            m_placer->setTarget(target, m_now);
        }
        const Placement first = startOn("t0");
        const Placement second = startOn("t1");
        end(first, PlacementOutcome::Lost);
        end(second, PlacementOutcome::Lost);
        for (const Placement &placement : fill()) {
            CPPUNIT_ASSERT(std::stoi(placement.target.value.substr(1)) >= 4);
        }
        m_now += std::chrono::seconds(5);
        const Placement probe = start();
        CPPUNIT_ASSERT(probe.probe);
        end(probe, PlacementOutcome::Done);
        std::set<std::string> back;
        for (const Placement &placement : fill()) {
            CPPUNIT_ASSERT(!placement.probe);
            back.insert(placement.target.value);
        }
        CPPUNIT_ASSERT(back.contains("t0") && back.contains("t1") && back.contains("t2") && back.contains("t3"));
    }

    void choose_fasterSlotFreeSoon_waitsUnlessQueueIsLong()
    {
        addMany(6);
        train(3000, [](const Placement &placement) { return placement.target == TargetName("t3") ? 400 : 100; });
        m_placer->setLeaving(TargetName("t3"), true, m_now);
        fill();
        m_placer->setLeaving(TargetName("t3"), false, m_now);
        m_request.queued = 0;
        CPPUNIT_ASSERT(!choose());
        m_request.queued = 1000;
        CPPUNIT_ASSERT_EQUAL(std::string("t3"), choose()->target.value);
        m_request.queued = PlacementRequest::kUnknownQueueLength;
        CPPUNIT_ASSERT_EQUAL(std::string("t3"), choose()->target.value);
    }

    void choose_patientTask_leavesLastSlotsToUrgentOnes()
    {
        addMany(4);
        start();
        m_request.urgent = false;
        const std::size_t patient = fill().size();
        CPPUNIT_ASSERT_EQUAL(std::size_t(29), patient);
        m_request.urgent = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fill().size());
    }

    void attemptEnded_twice_countsOnce()
    {
        add("a", 2);
        const Placement first = start();
        start();
        end(first, PlacementOutcome::Done);
        end(first, PlacementOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fill().size());
    }

private:
    static TargetInfo info(const std::string &name, std::uint32_t slots, const Requirements &capacity)
    {
        return { TargetName(name), ServiceName("engrave-desk"), ZoneName("Regina"), "", slots, 60, capacity };
    }

    void add(const std::string &name, std::uint32_t slots, const Requirements &capacity = Requirements())
    {
        m_placer->setTarget(info(name, slots, capacity), m_now);
    }

    void addMany(int count)
    {
        for (int n = 0; n < count; ++n) {
            add("t" + std::to_string(n), 8);
        }
    }

    std::optional<Placement> choose()
    {
        return m_placer->choose(m_request, m_now, m_random);
    }

    Placement start()
    {
        const auto placement = choose();
        CPPUNIT_ASSERT(placement);
        m_placer->attemptStarted(*placement, m_now);
        return *placement;
    }

    /// Starts on one target by making all others leave meanwhile.
    Placement startOn(const std::string &name)
    {
        for (int n = 0; n < 16; ++n) {
            m_placer->setLeaving(TargetName("t" + std::to_string(n)), "t" + std::to_string(n) != name, m_now);
        }
        const Placement placement = start();
        for (int n = 0; n < 16; ++n) {
            m_placer->setLeaving(TargetName("t" + std::to_string(n)), false, m_now);
        }
        return placement;
    }

    void end(const Placement &placement, PlacementOutcome outcome, int milliseconds = 100)
    {
        m_placer->attemptEnded(placement, m_request, outcome, std::chrono::milliseconds(milliseconds), m_now);
    }

    std::vector<Placement> fill()
    {
        std::vector<Placement> placements;
        while (const auto placement = choose()) {
            m_placer->attemptStarted(*placement, m_now);
            placements.push_back(*placement);
        }
        return placements;
    }

    /// @returns the slots that a target gives now; all are free again afterwards.
    std::size_t slotsOf(const std::string &name)
    {
        std::size_t slots = 0;
        for (const Placement &placement : fill()) {
            slots += placement.target == TargetName(name) ? 1 : 0;
            end(placement, PlacementOutcome::Refused);
        }
        m_now += std::chrono::seconds(1);
        return slots;
    }

    /// @returns how many of so many tasks, one after the other, go to a target.
    int countOf(const std::string &name, int tasks)
    {
        int count = 0;
        for (int n = 0; n < tasks; ++n) {
            const Placement placement = start();
            count += placement.target == TargetName(name) ? 1 : 0;
            end(placement, PlacementOutcome::Done);
        }
        return count;
    }

    void ejectTarget(const std::string &name)
    {
        for (int n = 0; n < 3; ++n) {
            end(startOn(name), PlacementOutcome::Failed);
        }
    }

    /// Runs tasks on all targets, filling every slot in each round.
    template <typename RunTime>
    void train(int tasks, RunTime runTime)
    {
        for (int done = 0; done < tasks;) {
            for (const Placement &placement : fill()) {
                end(placement, PlacementOutcome::Done, runTime(placement));
                ++done;
            }
        }
    }

    std::unique_ptr<Placer> m_placer;
    PlacementRequest m_request;
    RandomSource m_random { 5 };
    Instant m_now {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacerTest);

} // namespace Eelgrasscleat
