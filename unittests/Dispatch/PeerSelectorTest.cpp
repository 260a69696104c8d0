/// @file
/// Schedules of peer selectors over fleets of 9 to 1,000 instances: bounded sessions, a connected graph after mass
/// failures, and owners for the jobs of every instance.
#include "SelectorFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace Eelgrasscleat
{

class PeerSelectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerSelectorTest);
    CPPUNIT_TEST(selection_anyFleet_sessionsOfHomesBounded);
    CPPUNIT_TEST(selection_anyFleet_everyHomeHasOwnersInAndOutsideItsZone);
    CPPUNIT_TEST(selection_largeFleet_ownersHaveEvenNumbersOfHomes);
    CPPUNIT_TEST(selection_anyFleet_candidatesWatchEachOther);
    CPPUNIT_TEST(selection_halfKilledAtOnce_graphConnectedAndOwnersFound);
    CPPUNIT_TEST(selection_allCandidatesKilled_othersTakeTheirPlace);
    CPPUNIT_TEST(selection_allRestarted_ownersFoundWithinTwoSeconds);
    CPPUNIT_TEST(selection_zoneCut_goesOnAndReturns);
    CPPUNIT_TEST(selection_remoteOwnerUnused_redrawn);
    CPPUNIT_TEST(selection_remoteOwnerInUse_kept);
    CPPUNIT_TEST(selection_peerSilent_retriedWithBackoff);
    CPPUNIT_TEST(selection_stalledInstance_triesAllAgain);
    CPPUNIT_TEST(selection_ownersNotListed_fewerOwnersKnown);
    CPPUNIT_TEST(ownersListed_ownStatusDenies_ignored);
    CPPUNIT_TEST(ownerPlan_fewerShardsThanOwnersNeeded_shardsLimitOwners);
    CPPUNIT_TEST(evacuation_ownZone_moreOwnersElsewhere);
    CPPUNIT_TEST(evacuation_otherZone_itsOwnersNotDrawn);
    CPPUNIT_TEST_SUITE_END();

public:
    void selection_anyFleet_sessionsOfHomesBounded()
    {
        for (const std::size_t instances : { 9U, 33U, 97U, 300U, 1000U }) {
            SelectorFleet fleet(instances, 5, instances * 6 / 5, instances);
            fleet.play(25);
            for (const InstanceName &it : fleet.names()) {
                if (!fleet.isOwner(it) && !isCandidate(fleet, it)) {
                    const std::size_t n = fleet.neighbors(it).size();
                    CPPUNIT_ASSERT_MESSAGE(it.value + " has " + std::to_string(n), n <= kMaxHomeSessions);
                }
            }
        }
    }

    void selection_anyFleet_everyHomeHasOwnersInAndOutsideItsZone()
    {
        for (const std::size_t instances : { 9U, 33U, 97U, 300U }) {
            SelectorFleet fleet(instances, 3, instances * 2, instances + 1);
            fleet.play(25);
            assertOwnersFound(fleet);
        }
    }

    void selection_largeFleet_ownersHaveEvenNumbersOfHomes()
    {
        SelectorFleet fleet(300, 5, 576, 5);
        fleet.play(40);
        std::size_t sum = 0;
        std::size_t owners = 0;
        std::size_t most = 0;
        for (const InstanceName &it : fleet.names()) {
            if (fleet.isOwner(it)) {
                ++owners;
                sum += fleet.homesOf(it);
                most = std::max(most, fleet.homesOf(it));
            }
        }
        CPPUNIT_ASSERT(owners >= 60);
        // Each home has three owners in its zone and two elsewhere.
        CPPUNIT_ASSERT(sum <= 300 * 5);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " homes", most * owners <= sum * 5 / 2);
    }

    void selection_anyFleet_candidatesWatchEachOther()
    {
        SelectorFleet fleet(97, 5, 108, 6);
        fleet.play(25);
        for (const InstanceName &owner : fleet.names()) {
            if (!fleet.isOwner(owner)) {
                continue;
            }
            const auto neighbors = fleet.neighbors(owner);
            for (const InstanceName &it : fleet.names()) {
                const bool isZoneOwner = it != owner && fleet.isOwner(it) && fleet.zoneOf(it) == fleet.zoneOf(owner);
                CPPUNIT_ASSERT(!isZoneOwner || neighbors.count(it) > 0);
            }
        }
    }

    void selection_halfKilledAtOnce_graphConnectedAndOwnersFound()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            SelectorFleet fleet(97, 5, 108, seed);
            fleet.play(25);
            RandomSource random(seed);
            for (const InstanceName &it : fleet.names()) {
                if (drawBelow(random, 2) == 0) {
                    fleet.kill(it);
                }
            }
            fleet.play(15);
            CPPUNIT_ASSERT_EQUAL(fleet.live(), fleet.reachedFromFirst());
            assertOwnersFound(fleet);
        }
    }

    void selection_allCandidatesKilled_othersTakeTheirPlace()
    {
        SelectorFleet fleet(97, 5, 108, 3);
        fleet.play(25);
        for (const InstanceName &it : fleet.names()) {
            if (isCandidate(fleet, it) || fleet.isOwner(it)) {
                fleet.kill(it);
            }
        }
        // The owners of other zones are found last: all that this instance has heard of are dead.
        fleet.play(30);
        CPPUNIT_ASSERT_EQUAL(fleet.live(), fleet.reachedFromFirst());
        assertOwnersFound(fleet);
    }

    void selection_allRestarted_ownersFoundWithinTwoSeconds()
    {
        SelectorFleet fleet(97, 5, 108, 4);
        fleet.play(25);
        for (const InstanceName &it : fleet.names()) {
            fleet.kill(it);
        }
        fleet.play(20);
        for (const InstanceName &it : fleet.names()) {
            fleet.revive(it);
        }
        fleet.play(10);
        assertOwnersFound(fleet);
    }

    void selection_zoneCut_goesOnAndReturns()
    {
        SelectorFleet fleet(97, 5, 108, 7);
        fleet.play(25);
        const ZoneName cut("zone-2");
        fleet.cutZone(cut, true);
        fleet.play(30);
        for (const InstanceName &it : fleet.names()) {
            CPPUNIT_ASSERT(fleet.jobOwners(it, true) + (fleet.isOwner(it) ? 1 : 0) > 0);
        }
        fleet.cutZone(cut, false);
        fleet.play(30);
        CPPUNIT_ASSERT_EQUAL(fleet.live(), fleet.reachedFromFirst());
        assertOwnersFound(fleet);
    }

    void selection_remoteOwnerUnused_redrawn()
    {
        CPPUNIT_ASSERT(remoteOwnersSeen({}).size() >= 4);
    }

    void selection_remoteOwnerInUse_kept()
    {
        std::set<InstanceName> inUse;
        for (int i = 0; i < 20; ++i) {
            inUse.insert(InstanceName("remote-" + std::to_string(i)));
        }
        CPPUNIT_ASSERT(remoteOwnersSeen(inUse).size() <= inUse.size());
        PeerSelector selector = selectorWithRemoteOwners();
        selector.select({}, m_now);
        const InstanceName used("remote-7");
        for (int i = 0; i < 100; ++i) {
            reportRemoteOwners(selector);
            selector.select({ used }, m_now);
            CPPUNIT_ASSERT(selector.isJobPeer(used));
        }
    }

    void selection_peerSilent_retriedWithBackoff()
    {
        PeerSelector selector({}, { InstanceName("self"), ZoneName("zone"), {} }, 1);
        selector.add({ InstanceName("dead"), ZoneName("zone"), {} });
        selector.add({ InstanceName("live"), ZoneName("zone"), {} });
        int selectedRounds = 0;
        constexpr int kRounds = 100;
        for (int i = 0; i < kRounds; ++i) {
            m_now += std::chrono::milliseconds(200);
            selector.contacted(InstanceName("live"), m_now);
            selector.select({}, m_now);
            CPPUNIT_ASSERT(selector.isSelected(InstanceName("live")));
            selectedRounds += selector.isSelected(InstanceName("dead")) ? 1 : 0;
        }
        CPPUNIT_ASSERT(selectedRounds > kRounds / 20);
        CPPUNIT_ASSERT(selectedRounds < kRounds / 2);
        selector.contacted(InstanceName("dead"), m_now);
        selector.select({}, m_now);
        CPPUNIT_ASSERT(selector.isSelected(InstanceName("dead")));
    }

    void selection_stalledInstance_triesAllAgain()
    {
        PeerSelector selector({}, { InstanceName("self"), ZoneName("zone"), {} }, 1);
        selector.add({ InstanceName("a"), ZoneName("zone"), {} });
        selector.add({ InstanceName("b"), ZoneName("zone"), {} });
        selector.select({}, m_now);
        selector.contacted(InstanceName("a"), m_now);
        m_now += std::chrono::seconds(5);
        selector.forgetFailures();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, selector.select({}, m_now).size());
    }

    void selection_ownersNotListed_fewerOwnersKnown()
    {
        // Twelve owners a zone: a home that watches four candidates learns of the others from lists only.
        const auto count = [](bool lists) {
            SelectorFleet fleet(300, 5, 576, 8);
            fleet.listsOwners = lists;
            fleet.play(25);
            std::size_t sum = 0;
            for (const InstanceName &it : fleet.names()) {
                sum += fleet.jobOwners(it, false);
            }
            return sum;
        };
        CPPUNIT_ASSERT(count(true) >= 300 * 2 * 9 / 10);
    }

    void ownersListed_ownStatusDenies_ignored()
    {
        PeerSelector selector({}, { InstanceName("self"), ZoneName("zone"), {} }, 1);
        selector.add({ InstanceName("a"), ZoneName("zone"), {} });
        selector.contacted(InstanceName("a"), m_now);
        selector.ownerReported(InstanceName("a"), false, m_now);
        selector.ownersListed({ InstanceName("a") }, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, selector.knownZoneOwners(m_now));
        m_now += std::chrono::seconds(2);
        selector.ownersListed({ InstanceName("a") }, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selector.knownZoneOwners(m_now));
    }

    void ownerPlan_fewerShardsThanOwnersNeeded_shardsLimitOwners()
    {
        // 1,000 targets need 21 owners. Those beyond the shards would join, get nothing, leave and join again, and each
        // change of the members moves shards.
        PeerSelectionPolicy policy;
        policy.maxZoneOwners = 16;
        PeerSelector selector(policy, { InstanceName("self"), ZoneName("zone"), {} }, 1);
        for (int i = 0; i < 40; ++i) {
            selector.add({ InstanceName("peer-" + std::to_string(i)), ZoneName("zone"), { 500, 200000 } });
        }
        selector.setZoneTargets(1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 16 }, selector.ownerPlan().owners);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 18 }, selector.firstCandidates().size());
    }

    void evacuation_ownZone_moreOwnersElsewhere()
    {
        const PeerSelectionPolicy policy;
        PeerSelector selector = selectorWithRemoteOwners();
        selector.select({}, m_now);
        CPPUNIT_ASSERT_EQUAL(policy.remoteOwners, selector.select({}, m_now).size());
        selector.setEvacuatedZones({ ZoneName("zone") });
        reportRemoteOwners(selector);
        CPPUNIT_ASSERT_EQUAL(policy.remoteOwners + policy.zoneOwners, selector.select({}, m_now).size());
        selector.setEvacuatedZones({});
        reportRemoteOwners(selector);
        CPPUNIT_ASSERT_EQUAL(policy.remoteOwners, selector.select({}, m_now).size());
    }

    void evacuation_otherZone_itsOwnersNotDrawn()
    {
        PeerSelector selector = selectorWithRemoteOwners();
        selector.select({}, m_now);
        selector.add({ InstanceName("third"), ZoneName("third zone"), {} });
        selector.setEvacuatedZones({ ZoneName("elsewhere") });
        for (int i = 0; i < 5; ++i) {
            reportRemoteOwners(selector);
            selector.contacted(InstanceName("third"), m_now);
            selector.ownerReported(InstanceName("third"), true, m_now);
            selector.select({}, m_now);
        }
        CPPUNIT_ASSERT(selector.isJobPeer(InstanceName("third")));
        CPPUNIT_ASSERT(!selector.isJobPeer(InstanceName("remote-1")));
        const auto &selected = selector.select({}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selected.size());
    }

private:
    /// Four candidates, three owners of the zone and two elsewhere, and as many peers that draw this one.
    static constexpr std::size_t kMaxHomeSessions = 16;

    /// @returns whether the instance belongs to the strong ones, from which candidates come in these fleets.
    static bool isCandidate(const SelectorFleet &fleet, const InstanceName &name)
    {
        return fleet.neighbors(name).size() > kMaxHomeSessions;
    }

    static void assertOwnersFound(const SelectorFleet &fleet)
    {
        for (const InstanceName &it : fleet.names()) {
            if (!fleet.isAlive(it)) {
                continue;
            }
            const std::size_t inZone = fleet.jobOwners(it, true) + (fleet.isOwner(it) ? 1 : 0);
            CPPUNIT_ASSERT_MESSAGE(it.value + " has no owner in its zone", inZone > 0);
            CPPUNIT_ASSERT_MESSAGE(it.value + " has no owner elsewhere", fleet.jobOwners(it, false) > 0);
        }
    }

    PeerSelector selectorWithRemoteOwners()
    {
        PeerSelector selector({}, { InstanceName("self"), ZoneName("zone"), {} }, 1);
        for (int i = 0; i < 20; ++i) {
            selector.add({ InstanceName("remote-" + std::to_string(i)), ZoneName("elsewhere"), {} });
        }
        reportRemoteOwners(selector);
        return selector;
    }

    void reportRemoteOwners(PeerSelector &selector)
    {
        m_now += std::chrono::milliseconds(200);
        for (int i = 0; i < 20; ++i) {
            const InstanceName name("remote-" + std::to_string(i));
            selector.contacted(name, m_now);
            selector.ownerReported(name, true, m_now);
        }
    }

    /// @returns the owners selected within 20 s.
    std::set<InstanceName> remoteOwnersSeen(const std::set<InstanceName> &inUse)
    {
        PeerSelector selector = selectorWithRemoteOwners();
        std::set<InstanceName> seen;
        for (int i = 0; i < 100; ++i) {
            reportRemoteOwners(selector);
            const auto &selected = selector.select(inUse, m_now);
            seen.insert(selected.begin(), selected.end());
        }
        return seen;
    }

    Instant m_now { std::chrono::seconds(1000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSelectorTest);

} // namespace Eelgrasscleat
