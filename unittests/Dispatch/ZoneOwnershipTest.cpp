/// @file
/// Ownership of a zone: taking over, handing over, stepping down, and a token that was fenced.
#include <eelgrasscleat/Dispatch/ZoneOwnership.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class ZoneOwnershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ZoneOwnershipTest);
    CPPUNIT_TEST(standby_ownerHeard_neverJoins);
    CPPUNIT_TEST(standby_noOwnerHeard_joinsAfterDelay);
    CPPUNIT_TEST(member_holdsZone_getsGenerationAsToken);
    CPPUNIT_TEST(owner_zoneReassigned_namesOldGenerationUntilIdle);
    CPPUNIT_TEST(owner_zoneReassignedAndBusy_givesUpAfterHandoverTime);
    CPPUNIT_TEST(owner_storeSilent_keepsToken);
    CPPUNIT_TEST(owner_fenced_losesTokenUntilNextAnswer);
    CPPUNIT_TEST(owner_hearsNobodyWhileOthersJoin_stepsDown);
    CPPUNIT_TEST(owner_stopping_leavesWhenIdle);
    CPPUNIT_TEST_SUITE_END();

public:
    void standby_ownerHeard_neverJoins()
    {
        for (int i = 0; i < 100; ++i) {
            m_now += std::chrono::milliseconds(40);
            CPPUNIT_ASSERT(advance({ true, true, true }) == MembershipAction::None);
        }
    }

    void standby_noOwnerHeard_joinsAfterDelay()
    {
        CPPUNIT_ASSERT(advance({ false, true, true }) == MembershipAction::None);
        m_now += std::chrono::milliseconds(499);
        CPPUNIT_ASSERT(advance({ false, true, true }) == MembershipAction::None);
        m_now += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(advance({ false, true, true }) == MembershipAction::Renew);
        CPPUNIT_ASSERT(!m_ownership.token());
    }

    void member_holdsZone_getsGenerationAsToken()
    {
        becomeOwner(7);
        CPPUNIT_ASSERT(m_ownership.token() == FencingToken(7));
        m_now += std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(advance({}) == MembershipAction::Renew);
        m_ownership.renewed({ 9, true, true }, m_now);
        CPPUNIT_ASSERT_MESSAGE("the token stays while the zone is held", m_ownership.token() == FencingToken(7));
    }

    void owner_zoneReassigned_namesOldGenerationUntilIdle()
    {
        becomeOwner(7);
        reassign(8);
        CPPUNIT_ASSERT(m_ownership.isHandingOver());
        m_now += std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(advance({}, false) == MembershipAction::Renew);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, m_ownership.generationToName());
        m_ownership.renewed({ 8, false, false }, m_now);
        CPPUNIT_ASSERT(m_ownership.token() == FencingToken(7));
        CPPUNIT_ASSERT(advance({}, true) == MembershipAction::Renew);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 8 }, m_ownership.generationToName());
        CPPUNIT_ASSERT(!m_ownership.token());
    }

    void owner_zoneReassignedAndBusy_givesUpAfterHandoverTime()
    {
        becomeOwner(7);
        reassign(8);
        m_now += std::chrono::milliseconds(1500);
        advance({}, false);
        CPPUNIT_ASSERT(!m_ownership.token());
    }

    void owner_storeSilent_keepsToken()
    {
        becomeOwner(7);
        for (int i = 0; i < 30; ++i) {
            m_now += std::chrono::milliseconds(400);
            if (advance({ false, true, true }) == MembershipAction::Renew) {
                m_ownership.answerLost(m_now);
            }
            CPPUNIT_ASSERT(m_ownership.token() == FencingToken(7));
        }
    }

    void owner_fenced_losesTokenUntilNextAnswer()
    {
        becomeOwner(7);
        m_ownership.fenced(FencingToken(7), m_now);
        CPPUNIT_ASSERT(!m_ownership.token());
        CPPUNIT_ASSERT(advance({}) == MembershipAction::Renew);
        m_ownership.renewed({ 9, true, true }, m_now);
        CPPUNIT_ASSERT(m_ownership.token() == FencingToken(9));
    }

    void owner_hearsNobodyWhileOthersJoin_stepsDown()
    {
        becomeOwner(7);
        CPPUNIT_ASSERT(advance({ false, true, true }, true) == MembershipAction::None);
        m_now += std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(advance({ false, true, false }, true) == MembershipAction::Renew);
        m_ownership.renewed({ 8, true, false }, m_now);
        m_now += std::chrono::milliseconds(900);
        CPPUNIT_ASSERT(advance({ false, true, false }, true) == MembershipAction::Leave);
        m_ownership.left();
        CPPUNIT_ASSERT(!m_ownership.token());
        m_now += std::chrono::milliseconds(1000);
        CPPUNIT_ASSERT_MESSAGE("it stays away for a while", advance({ false, true, false }) == MembershipAction::None);
    }

    void owner_stopping_leavesWhenIdle()
    {
        becomeOwner(7);
        m_ownership.stop();
        CPPUNIT_ASSERT(m_ownership.isHandingOver());
        CPPUNIT_ASSERT(advance({}, false) != MembershipAction::Leave);
        CPPUNIT_ASSERT(advance({}, true) == MembershipAction::Leave);
        m_ownership.left();
        m_now += std::chrono::seconds(5);
        CPPUNIT_ASSERT(advance({}) == MembershipAction::None);
    }

private:
    MembershipAction advance(const ZoneView &view, bool isIdle = true)
    {
        return m_ownership.advance(view, isIdle, m_now);
    }

    void becomeOwner(std::uint64_t generation)
    {
        advance({});
        m_now += std::chrono::milliseconds(500);
        CPPUNIT_ASSERT(advance({}) == MembershipAction::Renew);
        m_ownership.renewed({ generation, true, true }, m_now);
    }

    void reassign(std::uint64_t generation)
    {
        m_now += std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(advance({}, false) == MembershipAction::Renew);
        m_ownership.renewed({ generation, false, false }, m_now);
    }

    Instant m_now { std::chrono::seconds(1000) };
    ZoneOwnership m_ownership { OwnershipPolicy() };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneOwnershipTest);

} // namespace Eelgrasscleat
