/// @file
/// Ownership of a zone: taking over, handing over, stepping down, and a token that was fenced.
#include <eelgrasscleat/Dispatch/ZoneOwnership.h>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace Eelgrasscleat
{

class ZoneOwnershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ZoneOwnershipTest);
    CPPUNIT_TEST(standby_ownerHeard_neverJoins);
    CPPUNIT_TEST(standby_noOwnerHeard_joinsAfterDelay);
    CPPUNIT_TEST(standby_allHeardAndFirst_joinsAtOnce);
    CPPUNIT_TEST(standby_allHeardButNotFirst_waits);
    CPPUNIT_TEST(standby_stopping_isNoCandidate);
    CPPUNIT_TEST(member_withoutShards_asksAgainSoon);
    CPPUNIT_TEST(member_holdsZone_getsGenerationAsToken);
    CPPUNIT_TEST(owner_zoneReassigned_namesOldGenerationUntilIdle);
    CPPUNIT_TEST(owner_zoneReassignedAndBusy_givesUpAfterHandoverTime);
    CPPUNIT_TEST(owner_storeSilent_keepsToken);
    CPPUNIT_TEST(owner_fenced_losesTokenUntilNextAnswer);
    CPPUNIT_TEST(owner_hearsNobodyWhileOthersJoin_stepsDown);
    CPPUNIT_TEST(owner_stopping_leavesWhenIdle);
    CPPUNIT_TEST(owner_shardReassigned_keepsOthersAccepting);
    CPPUNIT_TEST(standby_ownersHaveTooManyTargets_helps);
    CPPUNIT_TEST(standby_othersBeforeItAreEnough_helpsLate);
    CPPUNIT_TEST(standby_withoutProcessorTime_neverHelps);
    CPPUNIT_TEST(owner_surplusAndLastByName_stepsDown);
    CPPUNIT_TEST(owner_surplusButNotLast_stays);
    CPPUNIT_TEST(owner_stepsDown_waitsForItsRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    void standby_ownerHeard_neverJoins()
    {
        for (int i = 0; i < 100; ++i) {
            m_now += std::chrono::milliseconds(40);
            CPPUNIT_ASSERT(advance(owned(1)) == MembershipAction::None);
        }
    }

    void standby_noOwnerHeard_joinsAfterDelay()
    {
        CPPUNIT_ASSERT(advance(heard()) == MembershipAction::None);
        m_now += std::chrono::milliseconds(499);
        CPPUNIT_ASSERT(advance(heard()) == MembershipAction::None);
        m_now += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(advance(heard()) == MembershipAction::Renew);
        CPPUNIT_ASSERT(!token());
    }

    void standby_allHeardAndFirst_joinsAtOnce()
    {
        CPPUNIT_ASSERT(advance({ 0, 0, true, true, true, true, 0 }) == MembershipAction::Renew);
    }

    void standby_allHeardButNotFirst_waits()
    {
        CPPUNIT_ASSERT(advance({ 0, 0, true, true, true, true, 1 }) == MembershipAction::None);
        // One that is not heard may be the owner.
        CPPUNIT_ASSERT(advance({ 0, 0, true, true, true, false, 0 }) == MembershipAction::None);
        m_now += std::chrono::milliseconds(500);
        CPPUNIT_ASSERT(advance({ 0, 0, true, true, true, false, 0 }) == MembershipAction::Renew);
    }

    void standby_stopping_isNoCandidate()
    {
        CPPUNIT_ASSERT(m_ownership.isCandidate(m_now));
        m_ownership.stop();
        CPPUNIT_ASSERT(!m_ownership.isCandidate(m_now));
        CPPUNIT_ASSERT(advance({ 0, 0, true, true, true, true, 0 }) == MembershipAction::None);
    }

    void member_withoutShards_asksAgainSoon()
    {
        CPPUNIT_ASSERT(advance({ 0, 0, true, true, true, true, 0 }) == MembershipAction::Renew);
        m_ownership.renewed({ 7, {}, false }, m_now);
        m_now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(advance({ 0, 0, true, true, true, true, 0 }) == MembershipAction::Renew);
        m_ownership.renewed({ 8, kAll, true }, m_now);
        m_now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(advance({ 0, 0, true, true, true, true, 0 }) == MembershipAction::None);
        CPPUNIT_ASSERT(token() == FencingToken(8));
    }

    void member_holdsZone_getsGenerationAsToken()
    {
        becomeOwner(7);
        CPPUNIT_ASSERT(token() == FencingToken(7));
        m_now += std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(advance({}) == MembershipAction::Renew);
        m_ownership.renewed({ 9, kAll, true }, m_now);
        CPPUNIT_ASSERT_MESSAGE("the token stays while the zone is held", token() == FencingToken(7));
    }

    void owner_zoneReassigned_namesOldGenerationUntilIdle()
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

    void owner_zoneReassignedAndBusy_givesUpAfterHandoverTime()
    {
        becomeOwner(7);
        reassign(8);
        m_now += std::chrono::milliseconds(1500);
        advance({}, false);
        CPPUNIT_ASSERT(!token());
    }

    void owner_storeSilent_keepsToken()
    {
        becomeOwner(7);
        for (int i = 0; i < 30; ++i) {
            m_now += std::chrono::milliseconds(400);
            if (advance(heard()) == MembershipAction::Renew) {
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
        m_ownership.renewed({ 9, kAll, true }, m_now);
        CPPUNIT_ASSERT(token() == FencingToken(9));
    }

    void owner_hearsNobodyWhileOthersJoin_stepsDown()
    {
        becomeOwner(7);
        CPPUNIT_ASSERT(advance(heard(), true) == MembershipAction::None);
        m_now += std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(advance(unheard(), true) == MembershipAction::Renew);
        m_ownership.renewed({ 8, { 0 }, false }, m_now);
        m_now += std::chrono::milliseconds(900);
        CPPUNIT_ASSERT(advance(unheard(), true) == MembershipAction::Renew);
        CPPUNIT_ASSERT_MESSAGE("it starts nothing more", m_ownership.isHandingOver(0));
        m_ownership.renewed({ 8, { 0 }, false }, m_now);
        CPPUNIT_ASSERT(advance(unheard(), true) == MembershipAction::Leave);
        m_ownership.left();
        CPPUNIT_ASSERT(!token());
        m_now += std::chrono::milliseconds(1000);
        CPPUNIT_ASSERT_MESSAGE("it stays away for a while", advance(unheard()) == MembershipAction::None);
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

    void standby_ownersHaveTooManyTargets_helps()
    {
        const ZoneView crowded { 1, 100, true, true, true, true, 1 };
        CPPUNIT_ASSERT(advance(crowded) == MembershipAction::None);
        m_now += std::chrono::milliseconds(199);
        CPPUNIT_ASSERT(advance(crowded) == MembershipAction::None);
        m_now += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(advance(crowded) == MembershipAction::Renew);
    }

    void standby_othersBeforeItAreEnough_helpsLate()
    {
        // 100 targets need three owners: one there, two before this instance.
        const ZoneView crowded { 1, 100, true, true, true, true, 2 };
        CPPUNIT_ASSERT(advance(crowded) == MembershipAction::None);
        m_now += std::chrono::milliseconds(1499);
        CPPUNIT_ASSERT(advance(crowded) == MembershipAction::None);
        m_now += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(advance(crowded) == MembershipAction::Renew);
    }

    void standby_withoutProcessorTime_neverHelps()
    {
        OwnershipPolicy policy;
        policy.mayScaleOut = false;
        ZoneOwnership ownership(policy);
        for (int i = 0; i < 100; ++i) {
            m_now += std::chrono::milliseconds(100);
            CPPUNIT_ASSERT(ownership.advance({ 1, 100, true, true, true }, true, m_now) == MembershipAction::None);
        }
    }

    void owner_surplusAndLastByName_stepsDown()
    {
        becomeOwner(7);
        CPPUNIT_ASSERT(!leavesAmong({ 1, 40, true, true, true }));
        CPPUNIT_ASSERT(leavesAmong({ 1, 30, true, true, true }));
        CPPUNIT_ASSERT(!token());
    }

    void owner_surplusButNotLast_stays()
    {
        becomeOwner(7);
        CPPUNIT_ASSERT(!leavesAmong({ 1, 30, false, true, true }));
    }

    void owner_stepsDown_waitsForItsRuns()
    {
        becomeOwner(7);
        const ZoneView surplus { 1, 30, true, true, true };
        while (!m_ownership.isHandingOver(0)) {
            // Nothing is handed over yet, so there is nothing that is not idle.
            const MembershipAction action = advance(surplus, true);
            CPPUNIT_ASSERT(action != MembershipAction::Leave);
            if (action == MembershipAction::Renew) {
                m_ownership.renewed({ 7, kAll, true }, m_now);
            }
            m_now += std::chrono::milliseconds(100);
        }
        CPPUNIT_ASSERT(advance(surplus, false) != MembershipAction::Leave);
        m_ownership.renewed({ 7, kAll, true }, m_now);
        CPPUNIT_ASSERT(advance(surplus, true) == MembershipAction::Leave);
    }

private:
    static ZoneView owned(std::size_t owners)
    {
        return { owners, 16, true, true, true };
    }
    static ZoneView heard()
    {
        return { 0, 0, true, true, true };
    }
    static ZoneView unheard()
    {
        return { 0, 0, true, true, false };
    }

    /// @returns whether the instance leaves within 5 s of seeing @p view.
    bool leavesAmong(const ZoneView &view)
    {
        for (int i = 0; i < 50; ++i) {
            m_now += std::chrono::milliseconds(100);
            const MembershipAction action = advance(view);
            if (action == MembershipAction::Leave) {
                return true;
            }
            if (action == MembershipAction::Renew) {
                m_ownership.renewed({ 7, kAll, true }, m_now);
            }
        }
        return false;
    }

    [[nodiscard]] std::optional<FencingToken> token() const
    {
        const auto it = m_ownership.shards().find(0);
        return it == m_ownership.shards().end() ? std::nullopt : std::optional(it->second);
    }

    MembershipAction advance(const ZoneView &view, bool isIdle = true)
    {
        return m_ownership.advance(view, isIdle, m_now);
    }

    void becomeOwner(std::uint64_t generation)
    {
        advance({});
        m_now += std::chrono::milliseconds(500);
        CPPUNIT_ASSERT(advance({}) == MembershipAction::Renew);
        m_ownership.renewed({ generation, kAll, true }, m_now);
    }

    void reassign(std::uint64_t generation)
    {
        m_now += std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(advance({}, false) == MembershipAction::Renew);
        m_ownership.renewed({ generation, { 1 }, false }, m_now);
    }

    const std::set<ShardNumber> kAll { 0, 1 };
    Instant m_now { std::chrono::seconds(1000) };
    ZoneOwnership m_ownership { OwnershipPolicy() };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneOwnershipTest);

} // namespace Eelgrasscleat
