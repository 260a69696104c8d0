/// @file
/// Ownership of a zone by strength: strong instances join first and replace weak owners.
#include "ZoneOwnershipFixture.h"

namespace Eelgrasscleat
{

class ZoneOwnershipRankTest : public ZoneOwnershipFixture
{
    CPPUNIT_TEST_SUITE(ZoneOwnershipRankTest);
    CPPUNIT_TEST(standby_listSettles_takeoverDelayStartsThen);
    CPPUNIT_TEST(standby_outrankedByCandidates_takesOverLater);
    CPPUNIT_TEST(standby_weakOwners_replacedByStrongOne);
    CPPUNIT_TEST(standby_weakItself_replacesNone);
    CPPUNIT_TEST(owner_weakAndOthersCarryAll_stepsDown);
    CPPUNIT_TEST(owner_weakAndOthersWeakToo_stays);
    CPPUNIT_TEST(owner_weakAndOthersNearlyFull_stays);
    CPPUNIT_TEST_SUITE_END();

public:
    void standby_listSettles_takeoverDelayStartsThen()
    {
        // All instances start at once. Those that rank first join as soon as the list of instances is complete; if the
        // delay had started before, all others would join at the same moment.
        ZoneView view { 0, 0, 0, true, true, true, 0 };
        view.precedingCandidates = 2;
        view.isSettled = false;
        for (int i = 0; i < 30; ++i) {
            m_now += std::chrono::milliseconds(40);
            CPPUNIT_ASSERT(advance(view) == MembershipAction::None);
        }
        view.isSettled = true;
        m_now += std::chrono::milliseconds(400);
        CPPUNIT_ASSERT(advance(view) == MembershipAction::None);
    }

    void standby_outrankedByCandidates_takesOverLater()
    {
        ZoneView view { 0, 0, 0, true, true, true, 0 };
        view.precedingCandidates = 2;
        CPPUNIT_ASSERT(advance(view) == MembershipAction::None);
        m_now += std::chrono::milliseconds(999);
        CPPUNIT_ASSERT(advance(view) == MembershipAction::None);
        m_now += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(advance(view) == MembershipAction::Renew);
    }

    void standby_weakOwners_replacedByStrongOne()
    {
        // Weak instances took the zone's 88 targets while the strong ones were away.
        ZoneView view = reachableOwners(2);
        view.ownedTargets = 88;
        view.weakOwners = 2;
        CPPUNIT_ASSERT(advance(view) == MembershipAction::None);
        m_now += std::chrono::milliseconds(200);
        CPPUNIT_ASSERT(advance(view) == MembershipAction::Renew);
    }

    void standby_weakItself_replacesNone()
    {
        ZoneView view = reachableOwners(2);
        view.ownedTargets = 88;
        view.weakOwners = 2;
        view.isWeak = true;
        for (int i = 0; i < 200; ++i) {
            m_now += std::chrono::milliseconds(40);
            CPPUNIT_ASSERT(advance(view) == MembershipAction::None);
        }
    }

    void owner_weakAndOthersCarryAll_stepsDown()
    {
        for (const bool isWeak : { false, true }) {
            m_ownership = ZoneOwnership(OwnershipPolicy());
            setUp();
            becomeOwner(7);
            ZoneView view = reachableOwners(2);
            view.ownedTargets = 88;
            view.precedingOwners = 2;
            view.strongPrecedingOwners = 2;
            view.isWeak = isWeak;
            bool hasLeft = false;
            for (int i = 0; i < 100 && !hasLeft; ++i) {
                m_now += std::chrono::milliseconds(40);
                const MembershipAction action = advance(view);
                hasLeft = action == MembershipAction::Leave;
                if (action == MembershipAction::Renew) {
                    m_ownership.renewed({ 7, kAllShards, false }, m_now);
                }
            }
            CPPUNIT_ASSERT_EQUAL(isWeak, hasLeft);
        }
    }

    void owner_weakAndOthersWeakToo_stays()
    {
        becomeOwner(7);
        ZoneView view = reachableOwners(2);
        view.ownedTargets = 88;
        view.precedingOwners = 2;
        view.weakOwners = 1;
        view.strongPrecedingOwners = 1;
        view.isWeak = true;
        CPPUNIT_ASSERT(!leavesWithView(view));
    }

    void owner_weakAndOthersNearlyFull_stays()
    {
        // A few targets that come and go must not make it step down and join again.
        becomeOwner(7);
        ZoneView view = reachableOwners(2);
        view.ownedTargets = 2 * view.targetsPerOwner - 1;
        view.precedingOwners = 2;
        view.strongPrecedingOwners = 2;
        view.isWeak = true;
        CPPUNIT_ASSERT(!leavesWithView(view));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneOwnershipRankTest);

} // namespace Eelgrasscleat
