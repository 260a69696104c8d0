/// @file
/// One instance's membership in the group of its zone, driven by views of the zone.
#pragma once

#include <eelgrasscleat/Dispatch/ZoneOwnership.h>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace Eelgrasscleat
{

class ZoneOwnershipFixture : public CppUnit::TestFixture
{
public:
    /// Ends the membership of an earlier life, as each instance does first.
    void setUp() override
    {
        CPPUNIT_ASSERT(advance(reachablePeers()) == MembershipAction::Leave);
        m_ownership.left();
    }

protected:
    void assertNeverJoins(const ZoneView &view)
    {
        for (int i = 0; i < 100; ++i) {
            m_now += std::chrono::milliseconds(100);
            CPPUNIT_ASSERT(advance(view) == MembershipAction::None);
        }
    }

    static ZoneView reachableOwners(std::size_t owners)
    {
        return { owners, 16, 1, true, true };
    }
    static ZoneView reachablePeers()
    {
        return { 0, 0, 1, true, true };
    }
    static ZoneView unreachablePeers()
    {
        return { 0, 0, 1, true, false };
    }

    /// @returns whether the instance leaves within 5 s of an unchanged @p view.
    bool leavesWithView(const ZoneView &view)
    {
        for (int i = 0; i < 50; ++i) {
            m_now += std::chrono::milliseconds(100);
            const MembershipAction action = advance(view);
            if (action == MembershipAction::Leave) {
                return true;
            }
            if (action == MembershipAction::Renew) {
                m_ownership.renewed({ 7, kAllShards, true }, m_now);
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
        m_ownership.renewed({ generation, kAllShards, true }, m_now);
    }

    void reassign(std::uint64_t generation)
    {
        m_now += std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(advance({}, false) == MembershipAction::Renew);
        m_ownership.renewed({ generation, { 1 }, false }, m_now);
    }

    const std::set<ShardNumber> kAllShards { 0, 1 };
    Instant m_now { std::chrono::seconds(1000) };
    ZoneOwnership m_ownership { OwnershipPolicy() };
};

} // namespace Eelgrasscleat
