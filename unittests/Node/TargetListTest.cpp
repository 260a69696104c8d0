/// @file
/// An owner that the store turns away learns its list of targets from a peer that the store serves.
#include "NodeFakes.h"

#include "../Wire/EventLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace Eelgrasscleat
{

class TargetListTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetListTest);
    CPPUNIT_TEST(capacityShrinks_storeTurnsOwnerAway_nothingStartedOverIt);
    CPPUNIT_TEST(targetLeaves_storeTurnsOwnerAway_nothingStartedThere);
    CPPUNIT_TEST(storeRefusesPeerToo_ownerGoesOnByItsList);
    CPPUNIT_TEST(recordsReadAfterRelay_olderOnesIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        EventLoop::prepare();
        m_listing = { kRelayedVersion, { singleTarget() } };
        const InstanceRegistration owner { InstanceName("owner"), ZoneName("zone"), "127.0.0.1", 11873 };
        const InstanceRegistration peer { InstanceName("peer"), ZoneName("other"), "127.0.0.1", 11874 };
        startOwner(owner);
        NodeSettings settings;
        settings.self = peer;
        settings.shards = 1;
        m_peer = std::make_unique<DispatchNode>(settings, m_peerTargets, m_metrics, 2);
        CPPUNIT_ASSERT(isOk(m_peer->start(m_peerCallers, m_peerStore)));
        m_peer->storeEvents().instanceUpdated(owner);
        m_owner->storeEvents().instanceUpdated(peer);
        waitUntilServing();
    }

    void tearDown() override
    {
        m_peer.reset();
        m_owner.reset();
    }

    void capacityShrinks_storeTurnsOwnerAway_nothingStartedOverIt()
    {
        m_listing.targets[0].capacity.milliCores = 1000;
        relay();
        submit(1);
        EventLoop::waitFor([this] { return m_callers.ends.count(1) == 1; });
        CPPUNIT_ASSERT(m_callers.ends.at(1).outcome == JobOutcome::Refused);
        CPPUNIT_ASSERT(m_targets.started.empty());
    }

    void targetLeaves_storeTurnsOwnerAway_nothingStartedThere()
    {
        m_listing.targets[0].draining = true;
        relay();
        submit(1);
        CPPUNIT_ASSERT(m_targets.started.empty());
    }

    void storeRefusesPeerToo_ownerGoesOnByItsList()
    {
        EventLoop::waitFor([this] { return m_peerStore.listings > 0; });
        submit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_targets.started.size());
    }

    void recordsReadAfterRelay_olderOnesIgnored()
    {
        m_listing.targets[0].capacity.milliCores = 1000;
        relay();
        m_owner->storeEvents().targetUpdated(singleTarget(), kRelayedVersion);
        submit(1);
        CPPUNIT_ASSERT(m_targets.started.empty());
        m_owner->storeEvents().targetUpdated(singleTarget(), kRelayedVersion + 1);
        EventLoop::waitFor([this, caller = std::uint64_t { 2 }]() mutable {
            submit(caller++);
            return !m_targets.started.empty();
        });
    }

private:
    static constexpr std::uint64_t kRelayedVersion = 1000;

    void startOwner(const InstanceRegistration &self)
    {
        NodeSettings settings;
        settings.self = self;
        settings.shards = 1;
        settings.ownership.takeoverDelay = std::chrono::milliseconds(50);
        m_owner = std::make_unique<DispatchNode>(settings, m_targets, m_metrics, 1);
        m_targets.events = &m_owner->commandResultHandler();
        CPPUNIT_ASSERT(isOk(m_owner->start(m_callers, m_store)));
        m_owner->storeEvents().configurationReceived(singleRoute());
    }

    /// Waits until the owner has inspected its target. From then on the store returns nothing to it.
    void waitUntilServing()
    {
        bool isReported = false;
        EventLoop::waitFor([this, &isReported] {
            m_owner->storeEvents().targetListReceived({ 1, { singleTarget() } });
            m_owner->storeEvents().targetListConfirmed();
            if (!m_targets.inspections.empty() && !isReported) {
                isReported = true;
                m_targets.report(TargetReport());
            }
            return m_callers.ready && isReported;
        });
    }

    /// Waits until the peer has read the list for the owner, and the answer has arrived.
    void relay()
    {
        m_peerStore.listing = m_listing;
        EventLoop::waitFor([this] { return m_peerStore.listings >= 2; });
    }

    void submit(std::uint64_t caller)
    {
        m_owner->callerEvents().requestReceived(submission(caller, "job" + std::to_string(caller), 2000));
    }

    Metrics m_metrics;
    TargetListing m_listing;
    FakeTargets m_targets;
    RecordingCallerFrontend m_callers;
    SoleMemberStore m_store;
    std::unique_ptr<DispatchNode> m_owner;
    FakeTargets m_peerTargets;
    RecordingCallerFrontend m_peerCallers;
    SoleMemberStore m_peerStore;
    std::unique_ptr<DispatchNode> m_peer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetListTest);

} // namespace Eelgrasscleat
