/// @file
/// When an incarnation may use its name's share, and how registration and heartbeats tell it.
#include <eelgrasscleat/Membership/HeartbeatExchange.h>
#include <eelgrasscleat/Membership/NameHolder.h>
#include <eelgrasscleat/Membership/Registration.h>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class NameHolderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NameHolderTest);
    CPPUNIT_TEST(start_noPredecessor_heldOnceConfirmed);
    CPPUNIT_TEST(start_olderRecordsExpired_waits);
    CPPUNIT_TEST(start_predecessorSilent_waits);
    CPPUNIT_TEST(start_predecessorLeft_heldAtOnce);
    CPPUNIT_TEST(wait_predecessorLeaves_heldAtOnce);
    CPPUNIT_TEST(hold_notConfirmed_stops);
    CPPUNIT_TEST(hold_newerJoined_replacedForEver);
    CPPUNIT_TEST(hold_predecessorsRecordRepeated_stillHeld);
    CPPUNIT_TEST(hold_recordsMissed_replaced);
    CPPUNIT_TEST(freeze_answerToOlderRead_notConfirmed);
    CPPUNIT_TEST(peer_itselfUnconfirmed_doesNotConfirm);
    CPPUNIT_TEST(unregistered_confirmed_showsNoAge);
    CPPUNIT_TEST(registration_recordNotReadBack_appendedAgain);
    CPPUNIT_TEST(registration_leave_leftRecordOnlyAfterWait);
    CPPUNIT_TEST(registration_laggingPage_doesNotConfirm);
    CPPUNIT_TEST(heartbeats_echoOfOwn_confirms);
    CPPUNIT_TEST(heartbeats_bufferedWhileFrozen_doNotConfirm);
    CPPUNIT_TEST(heartbeats_peerKnowsSuccessor_replaced);
    CPPUNIT_TEST(heartbeats_forPredecessor_ignored);
    CPPUNIT_TEST(heartbeats_peerItselfReplaced_doesNotConfirm);
    CPPUNIT_TEST(registration_recordsExpiredUnread_replaced);
    CPPUNIT_TEST_SUITE_END();

public:
    void start_noPredecessor_heldOnceConfirmed()
    {
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Unregistered);
        m_holder.setStreamStartRead();
        join(m_self);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Unconfirmed);
        m_holder.confirmByLog(m_now, m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Held);
    }

    void start_olderRecordsExpired_waits()
    {
        join(m_self);
        expectHeldAfterWait();
    }

    void start_predecessorSilent_waits()
    {
        m_holder.setStreamStartRead();
        join(IncarnationId(1));
        join(m_self);
        expectHeldAfterWait();
    }

    void start_predecessorLeft_heldAtOnce()
    {
        join(IncarnationId(1));
        left(IncarnationId(1));
        join(m_self);
        m_holder.confirmByLog(m_now, m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Held);
    }

    void wait_predecessorLeaves_heldAtOnce()
    {
        join(IncarnationId(1));
        join(m_self);
        m_holder.confirmByLog(m_now, m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Waiting);
        left(IncarnationId(1));
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Held);
    }

    void hold_notConfirmed_stops()
    {
        hold();
        runFor(m_times.confirmationTimeout);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Held);
        CPPUNIT_ASSERT(m_holder.step(m_now + milliseconds(1)) == NameState::Unconfirmed);
    }

    void hold_newerJoined_replacedForEver()
    {
        hold();
        join(IncarnationId(9));
        m_holder.confirmByLog(m_now, m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Replaced);
    }

    void hold_predecessorsRecordRepeated_stillHeld()
    {
        join(IncarnationId(1));
        left(IncarnationId(1));
        hold();
        join(IncarnationId(1));
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Held);
    }

    void hold_recordsMissed_replaced()
    {
        hold();
        m_holder.handleMissedRecords();
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Replaced);
    }

    void freeze_answerToOlderRead_notConfirmed()
    {
        hold();
        const Instant sent = m_now;
        m_now += m_times.freezeThreshold + milliseconds(1);
        m_holder.confirmByLog(sent, m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Unconfirmed);
        m_holder.confirmByLog(m_now, m_now + milliseconds(10));
        CPPUNIT_ASSERT(m_holder.step(m_now + milliseconds(10)) == NameState::Held);
    }

    void peer_itselfUnconfirmed_doesNotConfirm()
    {
        hold();
        runFor(m_times.confirmationTimeout + milliseconds(1));
        m_holder.confirmByPeer(m_now, m_times.confirmationTimeout + milliseconds(1), m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Unconfirmed);
        m_holder.confirmByPeer(m_now, m_times.confirmationTimeout, m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Held);
    }

    void unregistered_confirmed_showsNoAge()
    {
        m_holder.confirmByLog(m_now, m_now);
        CPPUNIT_ASSERT(m_holder.confirmedAge(m_now) == Duration::max());
        join(m_self);
        CPPUNIT_ASSERT(m_holder.confirmedAge(m_now) == Duration::zero());
    }

    void registration_recordNotReadBack_appendedAgain()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registration.tick(m_now, m_random).size());
        m_registration.handlePage(pageOf({}), m_now);
        CPPUNIT_ASSERT_EQUAL(1, appendsWithin(seconds(1)));
        CPPUNIT_ASSERT_EQUAL(1, appendsWithin(seconds(3)));
        m_registration.handlePage(pageOf({ record(m_self, schema::INCARNATION_EVENT_JOINED) }), m_now);
        CPPUNIT_ASSERT_EQUAL(0, appendsWithin(seconds(10)));
        CPPUNIT_ASSERT(m_holder.step(m_now) != NameState::Unregistered);
    }

    void registration_leave_leftRecordOnlyAfterWait()
    {
        m_registration.handlePage(pageOf({ record(IncarnationId(1), schema::INCARNATION_EVENT_JOINED),
                                           record(m_self, schema::INCARNATION_EVENT_JOINED) }),
                                  m_now);
        m_registration.leave();
        CPPUNIT_ASSERT(m_registration.hasLeft(m_now));
        CPPUNIT_ASSERT_EQUAL(0, appendsWithin(seconds(5)));
        CPPUNIT_ASSERT(appendsWithin(seconds(10)) > 0);
        CPPUNIT_ASSERT(!m_registration.hasLeft(m_now));
        auto page = pageOf({ record(m_self, schema::INCARNATION_EVENT_LEFT) });
        page.mutable_records(0)->set_offset(2);
        m_registration.handlePage(page, m_now);
        CPPUNIT_ASSERT(m_registration.hasLeft(m_now));
    }

    void registration_laggingPage_doesNotConfirm()
    {
        m_registration.handlePage(pageOf({ record(m_self, schema::INCARNATION_EVENT_JOINED) }), m_now);
        const Duration age = m_holder.confirmedAge(m_now + seconds(1));
        m_registration.tick(m_now + seconds(1), m_random);
        m_registration.handlePage(pageOf({}), m_now + seconds(1));
        CPPUNIT_ASSERT(m_holder.confirmedAge(m_now + seconds(1)) == age);
    }

    void heartbeats_echoOfOwn_confirms()
    {
        hold();
        runFor(seconds(2));
        exchange(m_now);
        CPPUNIT_ASSERT(m_holder.confirmedAge(m_now) == Duration::zero());
    }

    void heartbeats_bufferedWhileFrozen_doNotConfirm()
    {
        hold();
        m_exchange.startRound(m_now);
        m_now += m_times.freezeThreshold + seconds(1);
        m_exchange.handleHeartbeat(m_peer, m_self, confirmation(1), m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Unconfirmed);
        exchange(m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Held);
    }

    void heartbeats_peerKnowsSuccessor_replaced()
    {
        hold();
        schema::Heartbeat heartbeat = confirmation(0);
        heartbeat.set_holder_incarnation(9);
        m_exchange.handleHeartbeat(m_peer, m_self, heartbeat, m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Replaced);
    }

    void heartbeats_forPredecessor_ignored()
    {
        hold();
        schema::Heartbeat heartbeat = confirmation(0);
        heartbeat.set_holder_incarnation(1);
        m_exchange.handleHeartbeat(m_peer, IncarnationId(1), heartbeat, m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Held);
    }

    void heartbeats_peerItselfReplaced_doesNotConfirm()
    {
        hold();
        for (const std::uint64_t incarnation : { 20, 21 }) {
            schema::IncarnationRecord joined = record(IncarnationId(incarnation), schema::INCARNATION_EVENT_JOINED);
            joined.set_instance(m_peer.name.value);
            m_peers.applyIncarnationRecord(joined, m_now);
        }
        runFor(seconds(2));
        exchange(m_now);
        CPPUNIT_ASSERT(m_holder.confirmedAge(m_now) == seconds(2));
    }

    void registration_recordsExpiredUnread_replaced()
    {
        m_registration.tick(m_now, m_random);
        m_registration.handlePage(pageOf({ record(m_self, schema::INCARNATION_EVENT_JOINED) }), m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Held);
        schema::RecordPage page;
        page.set_first_kept(5);
        page.set_next(5);
        m_registration.handlePage(page, m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Replaced);
    }

private:
    static schema::IncarnationRecord record(IncarnationId incarnation, schema::IncarnationEvent event)
    {
        schema::IncarnationRecord record;
        record.set_instance("entry-1");
        record.set_incarnation(incarnation.value);
        record.set_event(event);
        return record;
    }

    static schema::RecordPage pageOf(const std::vector<schema::IncarnationRecord> &records)
    {
        schema::RecordPage page;
        for (const auto &entry : records) {
            auto *raw = page.add_records();
            raw->set_offset(page.next());
            raw->set_data(entry.SerializeAsString());
            page.set_next(page.next() + 1);
        }
        return page;
    }

    void join(IncarnationId incarnation)
    {
        m_holder.applyIncarnationRecord(record(incarnation, schema::INCARNATION_EVENT_JOINED), m_now);
    }

    void left(IncarnationId incarnation)
    {
        m_holder.applyIncarnationRecord(record(incarnation, schema::INCARNATION_EVENT_LEFT), m_now);
    }

    void hold()
    {
        m_holder.setStreamStartRead();
        join(m_self);
        m_holder.confirmByLog(m_now, m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Held);
    }

    void runFor(Duration duration)
    {
        for (const Instant end = m_now + duration; m_now < end;) {
            m_now = std::min(end, m_now + milliseconds(100));
            m_holder.step(m_now);
        }
    }

    void expectHeldAfterWait()
    {
        const Duration wait =
            m_times.confirmationTimeout + m_times.freezeThreshold + m_times.maxRunTime + m_times.successionMargin;
        runFor(wait - milliseconds(1));
        m_holder.confirmByLog(m_now, m_now);
        CPPUNIT_ASSERT(m_holder.step(m_now) == NameState::Waiting);
        CPPUNIT_ASSERT(m_holder.step(m_now + milliseconds(1)) == NameState::Held);
    }

    schema::Heartbeat confirmation(std::uint64_t echo) const
    {
        schema::Heartbeat heartbeat;
        heartbeat.set_sequence(1);
        heartbeat.set_echo_sequence(echo);
        heartbeat.set_holder_incarnation(m_self.value);
        return heartbeat;
    }

    void exchange(Instant now)
    {
        m_exchange.startRound(now);
        schema::Heartbeat ours;
        m_exchange.fill(ours, m_peer, now);
        m_exchange.handleHeartbeat(m_peer, m_self, confirmation(ours.sequence()), now);
    }

    int appendsWithin(Duration duration)
    {
        int appends = 0;
        for (const Instant end = m_now + duration; m_now < end; m_now += milliseconds(100)) {
            for (const RegistrationAction &action : m_registration.tick(m_now, m_random)) {
                appends += std::holds_alternative<AppendIncarnation>(action) ? 1 : 0;
            }
        }
        return appends;
    }

    const IncarnationId m_self { 5 };
    const PeerId m_peer { .name = InstanceName("entry-2"), .incarnation = IncarnationId(20) };
    NameHolderTimes m_times {
        .confirmationTimeout = seconds(3),
        .freezeThreshold = seconds(2),
        .successionMargin = seconds(3),
        .maxRunTime = seconds(1),
    };
    Instant m_now { seconds(1000) };
    RandomSource m_random { 3 };
    NameHolder m_holder { { .name = InstanceName("entry-1"), .incarnation = m_self }, m_times };
    PeerTracker m_peers { { .name = InstanceName("entry-1"), .incarnation = m_self }, seconds(3) };
    HeartbeatExchange m_exchange { m_holder, m_peers };
    Registration m_registration { ZoneName("regina"), {}, m_holder, m_peers };
};

CPPUNIT_TEST_SUITE_REGISTRATION(NameHolderTest);

} // namespace Eelgrasscleat
