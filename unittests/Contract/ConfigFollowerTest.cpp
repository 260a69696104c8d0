/// @file
/// A follower's readiness, its way over expired records, what it asks of peers, and when it writes snapshots.
#include "ConfigFixtures.h"

#include <eelgrasscleat/Contract/ConfigFollower.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class ConfigFollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigFollowerTest);
    CPPUNIT_TEST(start_logReadToEnd_readyAfterListening);
    CPPUNIT_TEST(start_readyPeerHeard_readyWithoutListening);
    CPPUNIT_TEST(start_laggingRead_waitsForWhatPeersKnow);
    CPPUNIT_TEST(start_cutFromLogAndPeers_neverReady);
    CPPUNIT_TEST(start_platformAway_readyFromPeer);
    CPPUNIT_TEST(start_peersNotReady_notReady);
    CPPUNIT_TEST(start_farBehindPeer_takesItsSnapshot);
    CPPUNIT_TEST(gap_snapshotOnLaterPage_foundAndReplayed);
    CPPUNIT_TEST(gap_snapshotTooOld_notUsed);
    CPPUNIT_TEST(gap_noSnapshotKept_peerHelps);
    CPPUNIT_TEST(gap_everythingExpired_operatorsSnapshotHelps);
    CPPUNIT_TEST(record_broken_countedAndPassedOnAlike);
    CPPUNIT_TEST(page_older_stateStays);
    CPPUNIT_TEST(heartbeat_platformAnswers_peerNotAsked);
    CPPUNIT_TEST(heartbeat_manyPeersAhead_oneAsked);
    CPPUNIT_TEST(newerOffset_knownTooLong_notReady);
    CPPUNIT_TEST(request_recordsKept_entriesElseSnapshot);
    CPPUNIT_TEST(snapshot_afterInterval_onceUnlessSeen);
    CPPUNIT_TEST(snapshot_manyRecords_early);
    CPPUNIT_TEST(read_failing_waitsLongerUpToLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void start_logReadToEnd_readyAfterListening()
    {
        fill(5);
        readLog(m_follower);
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
        advance(m_follower, milliseconds(1500));
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), m_follower.state().version());
    }

    void start_readyPeerHeard_readyWithoutListening()
    {
        fill(5);
        hear(5);
        readLog(m_follower);
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
    }

    void start_laggingRead_waitsForWhatPeersKnow()
    {
        fill(5);
        hear(7);
        readLog(m_follower);
        advance(m_follower, seconds(2));
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
        fill(2);
        readLog(m_follower);
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
    }

    void start_cutFromLogAndPeers_neverReady()
    {
        for (int i = 0; i < 600; ++i) {
            advance(m_follower, milliseconds(100));
        }
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
    }

    void start_platformAway_readyFromPeer()
    {
        fill(5);
        ConfigFollower peer(m_times, m_now);
        readLog(peer);
        advance(m_follower, seconds(2));
        const auto actions = hear(5);
        const auto &ask = std::get<RequestTail>(actions.at(0));
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
        m_follower.tailReceived(m_peer, std::get<SendTail>(peer.tailRequested(m_peer, ask.request).at(0)).tail, m_now);
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), m_follower.state().version());
    }

    void start_peersNotReady_notReady()
    {
        ConfigFollower peer(m_times, m_now);
        fill(5);
        peer.pageReceived(m_log.page(0, 2), m_now);
        schema::Heartbeat heartbeat;
        peer.fillHeartbeat(heartbeat, m_now);
        advance(m_follower, seconds(2));
        m_follower.heartbeatReceived(m_peer, heartbeat, m_now);
        schema::ConfigRequest request;
        m_follower.tailReceived(m_peer, std::get<SendTail>(peer.tailRequested(m_peer, request).at(0)).tail, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_follower.state().version());
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
    }

    void start_farBehindPeer_takesItsSnapshot()
    {
        CPPUNIT_ASSERT(hear(999).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), hear(1000).size());
    }

    void gap_snapshotOnLaterPage_foundAndReplayed()
    {
        fill(4);
        appendSnapshotOf(3);
        fill(2);
        m_log = expired(m_log, 2);
        m_follower.tick(m_now, m_random);
        m_follower.pageReceived(m_log.page(0, 1), m_now);
        CPPUNIT_ASSERT(m_follower.needsSnapshot());
        CPPUNIT_ASSERT(!m_follower.isReady(m_now + seconds(2)));
        readLog(m_follower, 1);
        CPPUNIT_ASSERT(!m_follower.needsSnapshot());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), m_follower.state().version());
        CPPUNIT_ASSERT_EQUAL(m_log.next(), m_follower.state().nextOffset());
    }

    void gap_snapshotTooOld_notUsed()
    {
        fill(4);
        appendSnapshotOf(2);
        m_log = expired(m_log, 3);
        readLog(m_follower);
        advance(m_follower, seconds(2));
        CPPUNIT_ASSERT(m_follower.needsSnapshot());
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
    }

    void gap_noSnapshotKept_peerHelps()
    {
        fill(4);
        ConfigFollower peer(m_times, m_now);
        readLog(peer);
        fill(2);
        m_log = expired(m_log, 3);
        readLog(m_follower);
        CPPUNIT_ASSERT(m_follower.needsSnapshot());
        const auto actions = hear(4);
        const auto &ask = std::get<RequestTail>(actions.at(0));
        auto send = std::get<SendTail>(peer.tailRequested(m_peer, ask.request).at(0));
        m_follower.tailReceived(m_peer, send.tail, m_now);
        readLog(m_follower);
        CPPUNIT_ASSERT(!m_follower.needsSnapshot());
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), m_follower.state().version());
    }

    void gap_everythingExpired_operatorsSnapshotHelps()
    {
        fill(4);
        m_log = expired(m_log, 4);
        readLog(m_follower);
        advance(m_follower, seconds(2));
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
        schema::ConfigRecord record;
        record.mutable_snapshot()->set_next_offset(4);
        record.mutable_snapshot()->set_version(4);
        m_log.append(record.SerializeAsString(), m_now);
        fill(1);
        readLog(m_follower);
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), m_follower.state().version());
    }

    void record_broken_countedAndPassedOnAlike()
    {
        // The bytes that are left parse as a change with all fields but the last.
        const std::string whole = makeRecord(makeChange("cut", 0, "brandon")).SerializeAsString();
        m_log.append(whole.substr(0, whole.size() - 1));
        fill(1);
        readLog(m_follower);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_follower.counts().malformedRecords);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_follower.state().version());
        ConfigFollower other(m_times, m_now);
        other.tailReceived(m_peer, std::get<SendTail>(m_follower.tailRequested(m_peer, {}).at(0)).tail, m_now);
        CPPUNIT_ASSERT_EQUAL(m_follower.state().snapshot().SerializeAsString(),
                             other.state().snapshot().SerializeAsString());
    }

    void page_older_stateStays()
    {
        fill(3);
        const schema::RecordPage old = m_log.page(0, 2);
        readLog(m_follower);
        m_follower.pageReceived(old, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), m_follower.state().version());
    }

    void heartbeat_platformAnswers_peerNotAsked()
    {
        fill(3);
        readLog(m_follower);
        CPPUNIT_ASSERT(hear(5).empty());
    }

    void heartbeat_manyPeersAhead_oneAsked()
    {
        advance(m_follower, seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), hear(5).size());
        CPPUNIT_ASSERT(hear(5).empty());
        advance(m_follower, seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), hear(5).size());
    }

    void newerOffset_knownTooLong_notReady()
    {
        fill(3);
        hear(3);
        readLog(m_follower);
        hear(5);
        CPPUNIT_ASSERT(m_follower.isReady(m_now + milliseconds(9999)));
        CPPUNIT_ASSERT(!m_follower.isReady(m_now + seconds(10)));
        fill(2);
        readLog(m_follower);
        CPPUNIT_ASSERT(m_follower.isReady(m_now + seconds(10)));
    }

    void request_recordsKept_entriesElseSnapshot()
    {
        fill(1100);
        readLog(m_follower);
        schema::ConfigRequest request;
        const auto whole = std::get<SendTail>(m_follower.tailRequested(m_peer, request).at(0)).tail;
        CPPUNIT_ASSERT(whole.has_snapshot());
        request.set_from_offset(1098);
        const auto part = std::get<SendTail>(m_follower.tailRequested(m_peer, request).at(0)).tail;
        CPPUNIT_ASSERT(!part.has_snapshot());
        CPPUNIT_ASSERT_EQUAL(2, part.entries_size());
        request.set_from_offset(1100);
        CPPUNIT_ASSERT(m_follower.tailRequested(m_peer, request).empty());
    }

    void snapshot_afterInterval_onceUnlessSeen()
    {
        m_times.snapshotJitter = seconds(1);
        ConfigFollower follower(m_times, m_now);
        fill(3);
        const Instant start = m_now;
        while (follower.counts().snapshots == 0 && m_now < start + minutes(11)) {
            runOnLog(follower, milliseconds(500));
        }
        CPPUNIT_ASSERT(m_now <= start + minutes(10) + seconds(3));
        appendSnapshotOf(3);
        runOnLog(follower, minutes(9));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), follower.counts().snapshots);
        runOnLog(follower, minutes(2));
        CPPUNIT_ASSERT(follower.counts().snapshots > 1);
    }

    void snapshot_manyRecords_early()
    {
        fill(1);
        appendSnapshotOf(1);
        runOnLog(m_follower, seconds(3));
        appendSnapshotOf(2);
        fill(1200);
        runOnLog(m_follower, seconds(61));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_follower.counts().snapshots);
    }

    void read_failing_waitsLongerUpToLimit()
    {
        std::uint64_t tries = 0;
        for (int i = 0; i < 1200; ++i) {
            for (const ConfigAction &action : m_follower.tick(m_now, m_random)) {
                tries += std::holds_alternative<ReadConfig>(action) ? 1 : 0;
                m_follower.readFailed(m_now, m_random);
            }
            m_now += milliseconds(100);
        }
        // Two minutes of outage: waits of 1 to 2 s after the first few.
        CPPUNIT_ASSERT(tries >= 60 && tries <= 125);
    }

private:
    static MemoryLog expired(const MemoryLog &log, std::uint64_t first)
    {
        MemoryLog copy;
        const schema::RecordPage all = log.page(0, log.next());
        for (const auto &record : all.records()) {
            copy.append(record.data(), Instant(seconds(record.offset())));
        }
        copy.expire(Instant(seconds(first)));
        return copy;
    }

    void fill(int n)
    {
        for (int i = 0; i < n; ++i) {
            const std::string id = "change-" + std::to_string(m_log.next());
            m_log.append(makeRecord(makeChange(id, m_version++, "regina")).SerializeAsString(), m_now);
        }
    }

    void appendSnapshotOf(std::uint64_t nextOffset)
    {
        ConfigState state;
        const schema::RecordPage covered = m_log.page(0, nextOffset);
        for (const auto &raw : covered.records()) {
            schema::ConfigRecord record;
            record.ParseFromString(raw.data());
            CPPUNIT_ASSERT(isOk(state.apply(raw.offset(), record)));
        }
        schema::ConfigRecord record;
        *record.mutable_snapshot() = state.snapshot();
        m_log.append(record.SerializeAsString(), m_now);
    }

    /// Lets the follower read to the log's end.
    void readLog(ConfigFollower &follower, std::size_t pageSize = 100)
    {
        bool atEnd = false;
        for (int i = 0; i < 500 && !atEnd; ++i) {
            const auto actions = follower.tick(m_now, m_random);
            if (actions.empty()) {
                m_now += milliseconds(100);
                continue;
            }
            const std::uint64_t from = std::get<ReadConfig>(actions.at(0)).from;
            follower.pageReceived(m_log.page(from, pageSize), m_now);
            atEnd = from + pageSize >= m_log.next();
        }
        CPPUNIT_ASSERT(atEnd);
    }

    /// Lets time pass without answers of the platform.
    void advance(ConfigFollower &follower, Duration duration)
    {
        m_now += duration;
        if (!follower.tick(m_now, m_random).empty()) {
            follower.readFailed(m_now, m_random);
        }
    }

    /// Lets time pass with a platform that answers at once and loses appends.
    void runOnLog(ConfigFollower &follower, Duration duration)
    {
        for (const Instant end = m_now + duration; m_now < end; m_now += milliseconds(500)) {
            for (const ConfigAction &action : follower.tick(m_now, m_random)) {
                if (const auto *read = std::get_if<ReadConfig>(&action)) {
                    follower.pageReceived(m_log.page(read->from, 5000), m_now);
                }
            }
        }
    }

    std::vector<ConfigAction> hear(std::uint64_t nextOffset)
    {
        schema::Heartbeat heartbeat;
        heartbeat.set_config_next_offset(nextOffset);
        return m_follower.heartbeatReceived(m_peer, heartbeat, m_now);
    }

    ConfigFollowerSettings m_times;
    Instant m_now { seconds(1000) };
    RandomSource m_random { 7 };
    MemoryLog m_log;
    std::uint64_t m_version = 0;
    PeerId m_peer { .name = InstanceName("entry-2"), .incarnation = IncarnationId(2) };
    ConfigFollower m_follower { m_times, m_now };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFollowerTest);

} // namespace Eelgrasscleat
