/// @file
/// How incarnations stand, by heartbeats and the stream.
#include <eelgrasscleat/Membership/PeerTracker.h>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace Eelgrasscleat
{

using std::chrono::seconds;

class PeerTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerTrackerTest);
    CPPUNIT_TEST(standing_neverHeardOf_unknown);
    CPPUNIT_TEST(standing_silent_unreachableNotEnded);
    CPPUNIT_TEST(standing_leftCleanly_ended);
    CPPUNIT_TEST(standing_replacedAndSilent_endedAfterTimeout);
    CPPUNIT_TEST(standing_replacedAndHeard_alive);
    CPPUNIT_TEST(alive_twoIncarnations_newestOnly);
    CPPUNIT_TEST(alive_oldRecordRepeated_newestStays);
    CPPUNIT_TEST(mayConfirm_rivalWithoutRecord_neither);
    CPPUNIT_TEST(mayConfirm_replaced_refusedAndNamed);
    CPPUNIT_TEST(mayConfirm_recordExpired_confirmed);
    CPPUNIT_TEST(heartbeat_hugeAge_noOverflow);
    CPPUNIT_TEST(lives_manyIncarnations_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void standing_neverHeardOf_unknown()
    {
        CPPUNIT_ASSERT(m_tracker.statusOf(IncarnationId(7), m_now) == IncarnationStatus::Unknown);
        CPPUNIT_ASSERT(m_tracker.statusOf(IncarnationId(1), m_now) == IncarnationStatus::Alive);
    }

    void standing_silent_unreachableNotEnded()
    {
        hear(7);
        CPPUNIT_ASSERT(m_tracker.statusOf(IncarnationId(7), m_now) == IncarnationStatus::Alive);
        m_now += seconds(3);
        CPPUNIT_ASSERT(m_tracker.statusOf(IncarnationId(7), m_now) == IncarnationStatus::Unreachable);
        CPPUNIT_ASSERT(m_tracker.alivePeers(m_now).empty());
    }

    void standing_leftCleanly_ended()
    {
        hear(7);
        read(7, schema::INCARNATION_EVENT_LEFT);
        CPPUNIT_ASSERT(m_tracker.statusOf(IncarnationId(7), m_now) == IncarnationStatus::Ended);
        CPPUNIT_ASSERT(m_tracker.alivePeers(m_now).empty());
    }

    void standing_replacedAndSilent_endedAfterTimeout()
    {
        read(7, schema::INCARNATION_EVENT_JOINED);
        m_now += seconds(60);
        read(8, schema::INCARNATION_EVENT_JOINED);
        CPPUNIT_ASSERT(m_tracker.statusOf(IncarnationId(7), m_now) == IncarnationStatus::Unreachable);
        m_now += seconds(3);
        CPPUNIT_ASSERT(m_tracker.statusOf(IncarnationId(7), m_now) == IncarnationStatus::Ended);
        CPPUNIT_ASSERT(m_tracker.statusOf(IncarnationId(8), m_now) == IncarnationStatus::Unreachable);
    }

    void standing_replacedAndHeard_alive()
    {
        read(7, schema::INCARNATION_EVENT_JOINED);
        read(8, schema::INCARNATION_EVENT_JOINED);
        m_now += seconds(10);
        hear(7);
        CPPUNIT_ASSERT(m_tracker.statusOf(IncarnationId(7), m_now) == IncarnationStatus::Alive);
        CPPUNIT_ASSERT(m_tracker.alivePeers(m_now).empty());
    }

    void alive_twoIncarnations_newestOnly()
    {
        hear(7);
        hear(8);
        const auto peers = m_tracker.alivePeers(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), peers.size());
        CPPUNIT_ASSERT(peers[0].id.incarnation == IncarnationId(8));
        CPPUNIT_ASSERT(m_tracker.currentPeer(InstanceName("entry-2"))->incarnation == IncarnationId(8));
    }

    void alive_oldRecordRepeated_newestStays()
    {
        read(7, schema::INCARNATION_EVENT_JOINED);
        read(8, schema::INCARNATION_EVENT_JOINED);
        read(7, schema::INCARNATION_EVENT_JOINED);
        CPPUNIT_ASSERT(m_tracker.currentPeer(InstanceName("entry-2"))->incarnation == IncarnationId(8));
        CPPUNIT_ASSERT(!m_tracker.replacementOf(peer(8)));
    }

    void mayConfirm_rivalWithoutRecord_neither()
    {
        read(7, schema::INCARNATION_EVENT_JOINED);
        hear(7);
        CPPUNIT_ASSERT(m_tracker.mayConfirm(peer(7), m_now));
        hear(8);
        CPPUNIT_ASSERT(!m_tracker.mayConfirm(peer(7), m_now));
        CPPUNIT_ASSERT(!m_tracker.mayConfirm(peer(8), m_now));
    }

    void mayConfirm_replaced_refusedAndNamed()
    {
        read(7, schema::INCARNATION_EVENT_JOINED);
        hear(7);
        read(8, schema::INCARNATION_EVENT_JOINED);
        CPPUNIT_ASSERT(!m_tracker.mayConfirm(peer(7), m_now));
        CPPUNIT_ASSERT(m_tracker.replacementOf(peer(7)) == IncarnationId(8));
        CPPUNIT_ASSERT(m_tracker.mayConfirm(peer(8), m_now));
    }

    void mayConfirm_recordExpired_confirmed()
    {
        CPPUNIT_ASSERT(!m_tracker.mayConfirm(peer(7), m_now));
        hear(7);
        CPPUNIT_ASSERT(m_tracker.mayConfirm(peer(7), m_now));
    }

    void heartbeat_hugeAge_noOverflow()
    {
        schema::Heartbeat heartbeat;
        heartbeat.set_confirmed_age_ms(UINT64_MAX);
        m_tracker.applyHeartbeat(peer(7), heartbeat, m_now);
        CPPUNIT_ASSERT(m_tracker.alivePeers(m_now).at(0).confirmedAge > seconds(1000000));
    }

    void lives_manyIncarnations_bounded()
    {
        for (std::uint64_t i = 10; i < 3010; ++i) {
            read(i, schema::INCARNATION_EVENT_JOINED);
        }
        CPPUNIT_ASSERT(!m_tracker.nameOf(IncarnationId(10)));
        CPPUNIT_ASSERT(m_tracker.nameOf(IncarnationId(3009)) == InstanceName("entry-2"));
        CPPUNIT_ASSERT(m_tracker.currentPeer(InstanceName("entry-2"))->incarnation == IncarnationId(3009));
    }

private:
    static PeerId peer(std::uint64_t incarnation)
    {
        return { .name = InstanceName("entry-2"), .incarnation = IncarnationId(incarnation) };
    }

    void hear(std::uint64_t incarnation)
    {
        m_tracker.applyHeartbeat(peer(incarnation), {}, m_now);
    }

    void read(std::uint64_t incarnation, schema::IncarnationEvent event)
    {
        schema::IncarnationRecord record;
        record.set_instance("entry-2");
        record.set_incarnation(incarnation);
        record.set_event(event);
        m_tracker.applyIncarnationRecord(record, m_now);
    }

    Instant m_now { seconds(1000) };
    PeerTracker m_tracker { { .name = InstanceName("entry-1"), .incarnation = IncarnationId(1) }, seconds(3) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTrackerTest);

} // namespace Eelgrasscleat
