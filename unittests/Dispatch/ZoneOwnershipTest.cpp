/// @file
/// Ownership of a zone: takeover, handover, stepping down, and fencing.
#include "ZoneOwnershipFixture.h"

namespace Eelgrasscleat
{

class ZoneOwnershipTest : public ZoneOwnershipFixture
{
    CPPUNIT_TEST_SUITE(ZoneOwnershipTest);
    CPPUNIT_TEST(standby_ownerReachable_neverJoins);
    CPPUNIT_TEST(standby_noOwnerReachable_joinsAfterDelay);
    CPPUNIT_TEST(standby_allPeersReachableAndFirst_joinsAtOnce);
    CPPUNIT_TEST(standby_allPeersReachableButNotFirst_waits);
    CPPUNIT_TEST(standby_zoneNeedsMore_joinsTogetherWithFirst);
    CPPUNIT_TEST(member_firstShards_renewsSoon);
    CPPUNIT_TEST(targetCount_onlyCandidatesWithoutOwner_wanted);
    CPPUNIT_TEST(standby_stopping_isNoCandidate);
    CPPUNIT_TEST(member_withoutShards_renewsSoon);
    CPPUNIT_TEST(member_withoutShards_remainsCandidate);
    CPPUNIT_TEST(member_ownsZone_usesGenerationAsToken);
    CPPUNIT_TEST(owner_zoneReassigned_reportsOldGenerationUntilIdle);
    CPPUNIT_TEST(owner_zoneReassignedAndBusy_releasesAfterHandoverTime);
    CPPUNIT_TEST(owner_renewalsFail_keepsToken);
    CPPUNIT_TEST(owner_fenced_losesTokenUntilNextAnswer);
    CPPUNIT_TEST(owner_isolatedWhileOthersJoin_stepsDown);
    CPPUNIT_TEST(owner_stopping_leavesWhenIdle);
    CPPUNIT_TEST(owner_shardReassigned_keepsOthersAccepting);
    CPPUNIT_TEST(standby_ownersOverloaded_joins);
    CPPUNIT_TEST(standby_enoughPrecedingCandidates_joinsAfterFallbackDelay);
    CPPUNIT_TEST(standby_weakerThanAllUsefulOwners_neverJoins);
    CPPUNIT_TEST(standby_ownersListedByPeers_neverJoins);
    CPPUNIT_TEST(standby_thinLinks_joinsAtFewerTargets);
    CPPUNIT_TEST(standby_takesOverLate_joinsAfterExtraDelay);
    CPPUNIT_TEST(owner_surplusAndLastInOrder_stepsDown);
    CPPUNIT_TEST(owner_surplusButNotLast_stays);
    CPPUNIT_TEST(owner_surplusAmongMany_stepsDownWithTheOthers);
    CPPUNIT_TEST(standby_listOfInstancesStillGrowing_waits);
    CPPUNIT_TEST(owner_stepsDown_waitsForRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    void standby_ownerReachable_neverJoins()
    {
        for (int i = 0; i < 100; ++i) {
            m_now += std::chrono::milliseconds(40);
            CPPUNIT_ASSERT(advance(reachableOwners(1)) == MembershipAction::None);
        }
    }

    void standby_noOwnerReachable_joinsAfterDelay()
    {
        CPPUNIT_ASSERT(advance(reachablePeers()) == MembershipAction::None);
        m_now += std::chrono::milliseconds(499);
        CPPUNIT_ASSERT(advance(reachablePeers()) == MembershipAction::None);
        m_now += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(advance(reachablePeers()) == MembershipAction::Renew);
        CPPUNIT_ASSERT(!token());
    }

    void standby_allPeersReachableAndFirst_joinsAtOnce()
    {
        CPPUNIT_ASSERT(advance({ 0, 0, 1, true, true, true, 0 }) == MembershipAction::Renew);
    }

    void standby_allPeersReachableButNotFirst_waits()
    {
        CPPUNIT_ASSERT(advance({ 0, 0, 1, true, true, true, 1 }) == MembershipAction::None);
        // An unreachable peer may be the owner.
        CPPUNIT_ASSERT(advance({ 0, 0, 1, true, true, false, 0 }) == MembershipAction::None);
        m_now += std::chrono::milliseconds(500);
        CPPUNIT_ASSERT(advance({ 0, 0, 1, true, true, false, 0 }) == MembershipAction::Renew);
    }

    void standby_zoneNeedsMore_joinsTogetherWithFirst()
    {
        // 117 targets need three owners: after a restart of all, they share the zone before it has runs to hand over.
        CPPUNIT_ASSERT(advance({ 0, 117, 0, true, true, true, 3 }) == MembershipAction::None);
        CPPUNIT_ASSERT(advance({ 0, 117, 0, true, true, true, 2 }) == MembershipAction::Renew);
    }

    void member_firstShards_renewsSoon()
    {
        CPPUNIT_ASSERT(advance({ 0, 0, 0, true, true, true, 0 }) == MembershipAction::Renew);
        m_ownership.renewed({ 7, kAllShards, true }, m_now);
        m_now += std::chrono::milliseconds(50);
        CPPUNIT_ASSERT(advance({ 0, 0, 0, true, true, true, 0 }) == MembershipAction::Renew);
        m_ownership.renewed({ 7, kAllShards, true }, m_now);
        m_now += std::chrono::milliseconds(240);
        CPPUNIT_ASSERT(advance({ 0, 0, 0, true, true, true, 0 }) == MembershipAction::None);
    }

    void targetCount_onlyCandidatesWithoutOwner_wanted()
    {
        ZoneView view = reachablePeers();
        CPPUNIT_ASSERT(m_ownership.wantsTargetCount(view, m_now));
        view.takesOverLate = true;
        CPPUNIT_ASSERT(!m_ownership.wantsTargetCount(view, m_now));
        CPPUNIT_ASSERT(!m_ownership.wantsTargetCount(reachableOwners(1), m_now));
        becomeOwner(7);
        CPPUNIT_ASSERT(m_ownership.wantsTargetCount(reachableOwners(1), m_now));
    }

    void standby_stopping_isNoCandidate()
    {
        CPPUNIT_ASSERT(m_ownership.isCandidate(m_now));
        m_ownership.stop();
        CPPUNIT_ASSERT(!m_ownership.isCandidate(m_now));
        CPPUNIT_ASSERT(advance({ 0, 0, 1, true, true, true, 0 }) == MembershipAction::None);
    }

    void member_withoutShards_renewsSoon()
    {
        CPPUNIT_ASSERT(advance({ 0, 0, 1, true, true, true, 0 }) == MembershipAction::Renew);
        m_ownership.renewed({ 7, {}, false }, m_now);
        m_now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(advance({ 0, 0, 1, true, true, true, 0 }) == MembershipAction::Renew);
        m_ownership.renewed({ 8, kAllShards, true }, m_now);
        m_now += std::chrono::milliseconds(50);
        CPPUNIT_ASSERT(advance({ 0, 0, 1, true, true, true, 0 }) == MembershipAction::Renew);
        m_ownership.renewed({ 8, kAllShards, true }, m_now);
        m_now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(advance({ 0, 0, 1, true, true, true, 0 }) == MembershipAction::None);
        CPPUNIT_ASSERT(token() == FencingToken(8));
    }

    void member_withoutShards_remainsCandidate()
    {
        // Otherwise others take its place while the owners hand over shards to it.
        CPPUNIT_ASSERT(advance({ 0, 0, 0, true, true, true, 0 }) == MembershipAction::Renew);
        CPPUNIT_ASSERT(m_ownership.isCandidate(m_now));
        m_ownership.renewed({ 7, {}, false }, m_now);
        CPPUNIT_ASSERT(m_ownership.isCandidate(m_now));
        m_ownership.renewed({ 8, kAllShards, true }, m_now);
        CPPUNIT_ASSERT(!m_ownership.isCandidate(m_now));
    }

    void member_ownsZone_usesGenerationAsToken()
    {
        becomeOwner(7);
        CPPUNIT_ASSERT(token() == FencingToken(7));
        m_now += std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(advance({}) == MembershipAction::Renew);
        m_ownership.renewed({ 9, kAllShards, true }, m_now);
        CPPUNIT_ASSERT_MESSAGE("the token must not change while the zone is owned", token() == FencingToken(7));
    }

    void owner_zoneReassigned_reportsOldGenerationUntilIdle()
    {
        becomeOwner(7);
        reassign(8);
        CPPUNIT_ASSERT(m_ownership.isHandingOver(0));
        m_now += std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(advance({}, false) == MembershipAction::Renew);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, m_ownership.generationToReport());
        m_ownership.renewed({ 8, { 1 }, false }, m_now);
        CPPUNIT_ASSERT(token() == FencingToken(7));
        CPPUNIT_ASSERT(advance({}, true) == MembershipAction::Renew);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 8 }, m_ownership.generationToReport());
        CPPUNIT_ASSERT(!token());
    }

    void owner_zoneReassignedAndBusy_releasesAfterHandoverTime()
    {
        becomeOwner(7);
        reassign(8);
        m_now += std::chrono::milliseconds(1500);
        advance({}, false);
        CPPUNIT_ASSERT(!token());
    }

    void owner_renewalsFail_keepsToken()
    {
        becomeOwner(7);
        for (int i = 0; i < 30; ++i) {
            m_now += std::chrono::milliseconds(400);
            if (advance(reachablePeers()) == MembershipAction::Renew) {
                m_ownership.requestFailed(m_now);
            }
            CPPUNIT_ASSERT(token() == FencingToken(7));
        }
    }

    void owner_fenced_losesTokenUntilNextAnswer()
    {
        becomeOwner(7);
        m_ownership.fenced(FencingToken(7), m_now);
        CPPUNIT_ASSERT(!token());
        CPPUNIT_ASSERT(advance({}) == MembershipAction::Renew);
        m_ownership.renewed({ 9, kAllShards, true }, m_now);
        CPPUNIT_ASSERT(token() == FencingToken(9));
    }

    void owner_isolatedWhileOthersJoin_stepsDown()
    {
        becomeOwner(7);
        CPPUNIT_ASSERT(advance(reachablePeers(), true) == MembershipAction::None);
        m_now += std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(advance(unreachablePeers(), true) == MembershipAction::Renew);
        m_ownership.renewed({ 8, { 0 }, false }, m_now);
        m_now += std::chrono::milliseconds(900);
        CPPUNIT_ASSERT(advance(unreachablePeers(), true) == MembershipAction::Renew);
        CPPUNIT_ASSERT_MESSAGE("no further runs may start", m_ownership.isHandingOver(0));
        m_ownership.renewed({ 8, { 0 }, false }, m_now);
        CPPUNIT_ASSERT(advance(unreachablePeers(), true) == MembershipAction::Leave);
        m_ownership.left();
        CPPUNIT_ASSERT(!token());
        m_now += std::chrono::milliseconds(1000);
        CPPUNIT_ASSERT_MESSAGE("must not rejoin at once", advance(unreachablePeers()) == MembershipAction::None);
    }

    void owner_stopping_leavesWhenIdle()
    {
        becomeOwner(7);
        m_ownership.stop();
        CPPUNIT_ASSERT(m_ownership.isHandingOver(0));
        CPPUNIT_ASSERT(advance({}, false) != MembershipAction::Leave);
        CPPUNIT_ASSERT(advance({}, true) == MembershipAction::Leave);
        m_ownership.left();
        m_now += std::chrono::seconds(5);
        CPPUNIT_ASSERT(advance({}) == MembershipAction::None);
    }

    void owner_shardReassigned_keepsOthersAccepting()
    {
        becomeOwner(7);
        reassign(8);
        CPPUNIT_ASSERT(m_ownership.isHandingOver(0));
        CPPUNIT_ASSERT(!m_ownership.isHandingOver(1));
        CPPUNIT_ASSERT(m_ownership.shards().at(1) == FencingToken(7));
    }

    void standby_ownersOverloaded_joins()
    {
        const ZoneView overloaded { 1, 100, 1, true, true, true, 1 };
        CPPUNIT_ASSERT(advance(overloaded) == MembershipAction::None);
        m_now += std::chrono::milliseconds(199);
        CPPUNIT_ASSERT(advance(overloaded) == MembershipAction::None);
        m_now += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(advance(overloaded) == MembershipAction::Renew);
    }

    void standby_enoughPrecedingCandidates_joinsAfterFallbackDelay()
    {
        // 100 targets need three owners: there is one, and two candidates precede this instance.
        const ZoneView overloaded { 1, 100, 1, true, true, true, 2 };
        CPPUNIT_ASSERT(advance(overloaded) == MembershipAction::None);
        m_now += std::chrono::milliseconds(3999);
        CPPUNIT_ASSERT(advance(overloaded) == MembershipAction::None);
        m_now += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(advance(overloaded) == MembershipAction::Renew);
    }

    void standby_weakerThanAllUsefulOwners_neverJoins()
    {
        ZoneView view { 1, 100, 1, true, true };
        view.usefulOwners = 1;
        assertNeverJoins(view);
    }

    void standby_ownersListedByPeers_neverJoins()
    {
        ZoneView view { 1, 100, 1, true, true };
        view.listedOwners = 2;
        assertNeverJoins(view);
    }

    void standby_thinLinks_joinsAtFewerTargets()
    {
        ZoneView view { 1, 17, 1, true, true };
        assertNeverJoins(view);
        view.targetsPerOwner = 5;
        CPPUNIT_ASSERT(advance(view) == MembershipAction::None);
        m_now += std::chrono::milliseconds(200);
        CPPUNIT_ASSERT(advance(view) == MembershipAction::Renew);
    }

    void standby_takesOverLate_joinsAfterExtraDelay()
    {
        ZoneView view = reachablePeers();
        view.takesOverLate = true;
        CPPUNIT_ASSERT(advance(view) == MembershipAction::None);
        m_now += std::chrono::milliseconds(1999);
        CPPUNIT_ASSERT(advance(view) == MembershipAction::None);
        m_now += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(advance(view) == MembershipAction::Renew);
    }

    void owner_surplusAndLastInOrder_stepsDown()
    {
        becomeOwner(7);
        CPPUNIT_ASSERT(!leavesWithView({ 1, 40, 1, true, true }));
        CPPUNIT_ASSERT(leavesWithView({ 1, 30, 1, true, true }));
        CPPUNIT_ASSERT(!token());
    }

    void owner_surplusButNotLast_stays()
    {
        becomeOwner(7);
        CPPUNIT_ASSERT(!leavesWithView({ 1, 30, 0, true, true }));
    }

    void owner_surplusAmongMany_stepsDownWithTheOthers()
    {
        // Eleven owners where three are needed: the fifth and all later ones leave at the same time.
        becomeOwner(7);
        CPPUNIT_ASSERT(!leavesWithView({ 10, 117, 3, true, true }));
        CPPUNIT_ASSERT(leavesWithView({ 10, 117, 4, true, true }));
    }

    void standby_listOfInstancesStillGrowing_waits()
    {
        // All instances start at once: each first learns of a few others only, and must not take itself for the first.
        ZoneView view { 0, 0, 0, true, true, true, 0 };
        view.isSettled = false;
        assertNeverJoins(view);
        view.isSettled = true;
        CPPUNIT_ASSERT(advance(view) == MembershipAction::Renew);
    }

    void owner_stepsDown_waitsForRuns()
    {
        becomeOwner(7);
        const ZoneView surplus { 1, 30, 1, true, true };
        while (!m_ownership.isHandingOver(0)) {
            // No shard is being handed over yet, so the instance is idle by definition.
            const MembershipAction action = advance(surplus, true);
            CPPUNIT_ASSERT(action != MembershipAction::Leave);
            if (action == MembershipAction::Renew) {
                m_ownership.renewed({ 7, kAllShards, true }, m_now);
            }
            m_now += std::chrono::milliseconds(100);
        }
        CPPUNIT_ASSERT(advance(surplus, false) != MembershipAction::Leave);
        m_ownership.renewed({ 7, kAllShards, true }, m_now);
        CPPUNIT_ASSERT(advance(surplus, true) == MembershipAction::Leave);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneOwnershipTest);

} // namespace Eelgrasscleat
