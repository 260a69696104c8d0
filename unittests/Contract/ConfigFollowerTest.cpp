/// @file
/// Tests a follower's readiness, recovery from expired records, requests to peers, and snapshot schedule.
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
    CPPUNIT_TEST(start_logReadToEnd_readyAfterListenTime);
    CPPUNIT_TEST(start_readyPeerSeen_readyBeforeListenTime);
    CPPUNIT_TEST(start_staleRead_waitsForOffsetOfPeers);
    CPPUNIT_TEST(start_logAndPeersUnreachable_neverReady);
    CPPUNIT_TEST(start_platformUnreachable_readyFromPeer);
    CPPUNIT_TEST(start_peersNotReady_notReady);
    CPPUNIT_TEST(start_farBehindPeer_requestsTail);
    CPPUNIT_TEST(gap_snapshotOnLaterPage_foundAndReplayed);
    CPPUNIT_TEST(gap_snapshotTooOld_notUsed);
    CPPUNIT_TEST(gap_noSnapshotInLog_recoversFromPeer);
    CPPUNIT_TEST(gap_allRecordsExpired_recoversFromAppendedSnapshot);
    CPPUNIT_TEST(record_malformed_countedAndForwarded);
    CPPUNIT_TEST(page_outdated_stateUnchanged);
    CPPUNIT_TEST(heartbeat_platformReachable_noTailRequested);
    CPPUNIT_TEST(heartbeat_manyPeersAhead_oneRequestPerTimeout);
    CPPUNIT_TEST(newerOffset_knownTooLong_notReady);
    CPPUNIT_TEST(tailRequest_recordsCached_entriesOtherwiseSnapshot);
    CPPUNIT_TEST(snapshot_readBack_nextAfterInterval);
    CPPUNIT_TEST(snapshot_manyRecords_appendedEarly);
    CPPUNIT_TEST(read_failing_backsOffUpToMaxRetryDelay);
    CPPUNIT_TEST_SUITE_END();

public:
    void start_logReadToEnd_readyAfterListenTime()
    {
        appendChanges(5);
        readLog(m_follower);
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
        advanceWithoutPlatform(m_follower, milliseconds(1500));
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), m_follower.state().version());
    }

    void start_readyPeerSeen_readyBeforeListenTime()
    {
        appendChanges(5);
        receiveHeartbeat(5);
        readLog(m_follower);
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
    }

    void start_staleRead_waitsForOffsetOfPeers()
    {
        appendChanges(5);
        receiveHeartbeat(7);
        readLog(m_follower);
        advanceWithoutPlatform(m_follower, seconds(2));
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
        appendChanges(2);
        readLog(m_follower);
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
    }

    void start_logAndPeersUnreachable_neverReady()
    {
        for (int i = 0; i < 600; ++i) {
            advanceWithoutPlatform(m_follower, milliseconds(100));
        }
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
    }

    void start_platformUnreachable_readyFromPeer()
    {
        appendChanges(5);
        ConfigFollower peer(m_settings, m_now);
        readLog(peer);
        advanceWithoutPlatform(m_follower, seconds(2));
        const auto actions = receiveHeartbeat(5);
        const auto &action = std::get<RequestTail>(actions.at(0));
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
        m_follower.tailReceived(
            m_peer, std::get<SendTail>(peer.tailRequested(m_peer, action.request).at(0)).tail, m_now);
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), m_follower.state().version());
    }

    void start_peersNotReady_notReady()
    {
        ConfigFollower peer(m_settings, m_now);
        appendChanges(5);
        peer.pageReceived(m_log.page(0, 2), m_now);
        schema::Heartbeat heartbeat;
        peer.fillHeartbeat(heartbeat, m_now);
        advanceWithoutPlatform(m_follower, seconds(2));
        m_follower.heartbeatReceived(m_peer, heartbeat, m_now);
        schema::ConfigRequest request;
        m_follower.tailReceived(m_peer, std::get<SendTail>(peer.tailRequested(m_peer, request).at(0)).tail, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_follower.state().version());
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
    }

    void start_farBehindPeer_requestsTail()
    {
        CPPUNIT_ASSERT(receiveHeartbeat(999).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), receiveHeartbeat(1000).size());
    }

    void gap_snapshotOnLaterPage_foundAndReplayed()
    {
        appendChanges(4);
        appendSnapshotOf(3);
        appendChanges(2);
        m_log = withoutExpired(m_log, 2);
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
        appendChanges(4);
        appendSnapshotOf(2);
        m_log = withoutExpired(m_log, 3);
        readLog(m_follower);
        advanceWithoutPlatform(m_follower, seconds(2));
        CPPUNIT_ASSERT(m_follower.needsSnapshot());
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
    }

    void gap_noSnapshotInLog_recoversFromPeer()
    {
        appendChanges(4);
        ConfigFollower peer(m_settings, m_now);
        readLog(peer);
        appendChanges(2);
        m_log = withoutExpired(m_log, 3);
        readLog(m_follower);
        CPPUNIT_ASSERT(m_follower.needsSnapshot());
        const auto actions = receiveHeartbeat(4);
        const auto &action = std::get<RequestTail>(actions.at(0));
        auto send = std::get<SendTail>(peer.tailRequested(m_peer, action.request).at(0));
        m_follower.tailReceived(m_peer, send.tail, m_now);
        readLog(m_follower);
        CPPUNIT_ASSERT(!m_follower.needsSnapshot());
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), m_follower.state().version());
    }

    void gap_allRecordsExpired_recoversFromAppendedSnapshot()
    {
        appendChanges(4);
        m_log = withoutExpired(m_log, 4);
        readLog(m_follower);
        advanceWithoutPlatform(m_follower, seconds(2));
        CPPUNIT_ASSERT(!m_follower.isReady(m_now));
        schema::ConfigRecord record;
        record.mutable_snapshot()->set_next_offset(4);
        record.mutable_snapshot()->set_version(4);
        m_log.append(record.SerializeAsString(), m_now);
        appendChanges(1);
        readLog(m_follower);
        CPPUNIT_ASSERT(m_follower.isReady(m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), m_follower.state().version());
    }

    void record_malformed_countedAndForwarded()
    {
        // The failed parse of the truncated record leaves a change with all fields but the last.
        const std::string whole = makeRecord(makeChange("cut", 0, "brandon")).SerializeAsString();
        m_log.append(whole.substr(0, whole.size() - 1));
        appendChanges(1);
        readLog(m_follower);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_follower.counts().malformedRecords);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_follower.state().version());
        ConfigFollower other(m_settings, m_now);
        other.tailReceived(m_peer, std::get<SendTail>(m_follower.tailRequested(m_peer, {}).at(0)).tail, m_now);
        CPPUNIT_ASSERT_EQUAL(m_follower.state().snapshot().SerializeAsString(),
                             other.state().snapshot().SerializeAsString());
    }

    void page_outdated_stateUnchanged()
    {
        appendChanges(3);
        const schema::RecordPage old = m_log.page(0, 2);
        readLog(m_follower);
        m_follower.pageReceived(old, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), m_follower.state().version());
    }

    void heartbeat_platformReachable_noTailRequested()
    {
        appendChanges(3);
        readLog(m_follower);
        CPPUNIT_ASSERT(receiveHeartbeat(5).empty());
    }

    void heartbeat_manyPeersAhead_oneRequestPerTimeout()
    {
        advanceWithoutPlatform(m_follower, seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), receiveHeartbeat(5).size());
        CPPUNIT_ASSERT(receiveHeartbeat(5).empty());
        advanceWithoutPlatform(m_follower, seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), receiveHeartbeat(5).size());
    }

    void newerOffset_knownTooLong_notReady()
    {
        appendChanges(3);
        receiveHeartbeat(3);
        readLog(m_follower);
        receiveHeartbeat(5);
        CPPUNIT_ASSERT(m_follower.isReady(m_now + milliseconds(9999)));
        CPPUNIT_ASSERT(!m_follower.isReady(m_now + seconds(10)));
        appendChanges(2);
        readLog(m_follower);
        CPPUNIT_ASSERT(m_follower.isReady(m_now + seconds(10)));
    }

    void tailRequest_recordsCached_entriesOtherwiseSnapshot()
    {
        appendChanges(1100);
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

    void snapshot_readBack_nextAfterInterval()
    {
        m_settings.snapshotJitter = seconds(1);
        ConfigFollower follower(m_settings, m_now);
        appendChanges(3);
        const Instant start = m_now;
        while (follower.counts().snapshots == 0 && m_now < start + minutes(11)) {
            advanceWithPlatform(follower, milliseconds(500));
        }
        CPPUNIT_ASSERT(m_now <= start + minutes(10) + seconds(3));
        appendSnapshotOf(3);
        advanceWithPlatform(follower, minutes(9));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), follower.counts().snapshots);
        advanceWithPlatform(follower, minutes(2));
        CPPUNIT_ASSERT(follower.counts().snapshots > 1);
    }

    void snapshot_manyRecords_appendedEarly()
    {
        appendChanges(1);
        appendSnapshotOf(1);
        advanceWithPlatform(m_follower, seconds(3));
        appendSnapshotOf(2);
        appendChanges(1200);
        advanceWithPlatform(m_follower, seconds(61));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_follower.counts().snapshots);
    }

    void read_failing_backsOffUpToMaxRetryDelay()
    {
        std::uint64_t attempts = 0;
        for (int i = 0; i < 1200; ++i) {
            for (const ConfigAction &action : m_follower.tick(m_now, m_random)) {
                attempts += std::holds_alternative<ReadConfig>(action) ? 1 : 0;
                m_follower.readFailed(m_now, m_random);
            }
            m_now += milliseconds(100);
        }
        // Outage of two minutes, with delays of 1 to 2 s after the first few reads.
        CPPUNIT_ASSERT(attempts >= 60 && attempts <= 125);
    }

private:
    static MemoryLog withoutExpired(const MemoryLog &log, std::uint64_t first)
    {
        MemoryLog copy;
        const schema::RecordPage all = log.page(0, log.next());
        for (const auto &record : all.records()) {
            copy.append(record.data(), Instant(seconds(record.offset())));
        }
        copy.expire(Instant(seconds(first)));
        return copy;
    }

    void appendChanges(int n)
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

    /// Lets the follower read to the end of the log.
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

    /// Advances the time while reads fail.
    void advanceWithoutPlatform(ConfigFollower &follower, Duration duration)
    {
        m_now += duration;
        if (!follower.tick(m_now, m_random).empty()) {
            follower.readFailed(m_now, m_random);
        }
    }

    /// Advances the time while reads succeed at once and appends are lost.
    void advanceWithPlatform(ConfigFollower &follower, Duration duration)
    {
        for (const Instant end = m_now + duration; m_now < end; m_now += milliseconds(500)) {
            for (const ConfigAction &action : follower.tick(m_now, m_random)) {
                if (const auto *read = std::get_if<ReadConfig>(&action)) {
                    follower.pageReceived(m_log.page(read->from, 5000), m_now);
                }
            }
        }
    }

    std::vector<ConfigAction> receiveHeartbeat(std::uint64_t nextOffset)
    {
        schema::Heartbeat heartbeat;
        heartbeat.set_config_next_offset(nextOffset);
        return m_follower.heartbeatReceived(m_peer, heartbeat, m_now);
    }

    ConfigFollowerSettings m_settings;
    Instant m_now { seconds(1000) };
    RandomSource m_random { 7 };
    MemoryLog m_log;
    std::uint64_t m_version = 0;
    PeerId m_peer { .name = InstanceName("entry-2"), .incarnation = IncarnationId(2) };
    ConfigFollower m_follower { m_settings, m_now };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFollowerTest);

} // namespace Eelgrasscleat
