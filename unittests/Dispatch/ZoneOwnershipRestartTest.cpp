/// @file
/// Instances that were killed and restart: a membership of the earlier life must not keep a zone's targets without an
/// owner until it expires.
#include <eelgrasscleat/Dispatch/ZoneOwnership.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

namespace
{

/// The platform's group of a zone: a member's shards are reassigned when it leaves or when its membership expires.
class FakeGroup
{
public:
    MembershipAnswer renew(const std::string &member, Instant now)
    {
        expire(now);
        m_expiresAt[member] = now + OwnershipPolicy().timeToLive;
        if (m_owner.empty()) {
            setOwner(member);
        }
        const bool isOwner = m_owner == member;
        return { m_generation, isOwner ? std::set<ShardNumber> { 0 } : std::set<ShardNumber> {}, isOwner };
    }
    void leave(const std::string &member)
    {
        m_expiresAt.erase(member);
        if (m_owner == member) {
            setOwner(m_expiresAt.empty() ? std::string() : m_expiresAt.begin()->first);
        }
    }

private:
    void expire(Instant now)
    {
        std::vector<std::string> expired;
        for (const auto &it : m_expiresAt) {
            if (it.second <= now) {
                expired.push_back(it.first);
            }
        }
        for (const std::string &it : expired) {
            leave(it);
        }
    }
    void setOwner(const std::string &member)
    {
        m_owner = member;
        ++m_generation;
    }

    std::map<std::string, Instant> m_expiresAt; ///< By member.
    std::string m_owner;
    std::uint64_t m_generation = 0;
};

} // namespace

class ZoneOwnershipRestartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ZoneOwnershipRestartTest);
    CPPUNIT_TEST(allRestart_ownerNoLongerFirst_shardsBeforeMembershipExpires);
    CPPUNIT_TEST(start_leaveUnanswered_joins);
    CPPUNIT_TEST(start_leaveInFlight_joinsAfterIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void allRestart_ownerNoLongerFirst_shardsBeforeMembershipExpires()
    {
        FakeGroup group;
        // The owner of the earlier life renewed its membership just before all instances were killed.
        group.renew("second", m_now);
        const Instant killedAt = m_now;
        m_now += std::chrono::milliseconds(600);
        ZoneOwnership first { OwnershipPolicy() };
        ZoneOwnership second { OwnershipPolicy() };
        const ZoneView viewOfFirst { 0, 0, 0, true, true, true, 0 };
        const ZoneView viewOfSecond { 0, 0, 0, true, true, true, 1 };
        while (first.shards().empty() && m_now < killedAt + std::chrono::seconds(2)) {
            perform(first, "first", viewOfFirst, group);
            perform(second, "second", viewOfSecond, group);
            m_now += std::chrono::milliseconds(20);
        }
        CPPUNIT_ASSERT(!first.shards().empty());
        CPPUNIT_ASSERT(m_now < killedAt + OwnershipPolicy().timeToLive);
    }

    void start_leaveUnanswered_joins()
    {
        ZoneOwnership ownership { OwnershipPolicy() };
        const ZoneView view { 0, 0, 0, true, true, true, 0 };
        CPPUNIT_ASSERT(ownership.advance(view, true, m_now) == MembershipAction::Leave);
        ownership.requestFailed(m_now);
        CPPUNIT_ASSERT(ownership.advance(view, true, m_now) == MembershipAction::Renew);
    }

    void start_leaveInFlight_joinsAfterIt()
    {
        // Requests on different connections may be carried out in another order: a later Leave would end the new
        // membership.
        ZoneOwnership ownership { OwnershipPolicy() };
        const ZoneView view { 0, 0, 0, true, true, true, 0 };
        CPPUNIT_ASSERT(ownership.advance(view, true, m_now) == MembershipAction::Leave);
        m_now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(ownership.advance(view, true, m_now) == MembershipAction::None);
        ownership.left();
        CPPUNIT_ASSERT(ownership.advance(view, true, m_now) == MembershipAction::Renew);
    }

private:
    /// Carries out the instance's next request at once.
    void perform(ZoneOwnership &ownership, const std::string &name, const ZoneView &view, FakeGroup &group)
    {
        switch (ownership.advance(view, true, m_now)) {
        case MembershipAction::Renew:
            ownership.renewed(group.renew(name, m_now), m_now);
            break;
        case MembershipAction::Leave:
            group.leave(name);
            ownership.left();
            break;
        case MembershipAction::None:
            break;
        }
    }

    Instant m_now { std::chrono::seconds(1000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneOwnershipRestartTest);

} // namespace Eelgrasscleat
