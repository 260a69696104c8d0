/// @file
/// Keeps a ConfigState up to date from the "config" stream of the platform's log, or from peers while the platform is
/// unreachable, and decides when the state may be served from. Pure state machine without clock, threads or sockets.
#pragma once

#include <eelgrasscleat/Contract/ConfigState.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Random.h>
#include <eelgrasscleat/Support/Time.h>

#include <peer.pb.h>
#include <platform.pb.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace Eelgrasscleat
{

/// Intervals and thresholds of a follower.
struct ConfigFollowerSettings
{
    Duration pollInterval = std::chrono::milliseconds(500); ///< Between reads when the end of the log was reached.
    Duration catchUpInterval = std::chrono::milliseconds(60); ///< Between reads before the end of the log is reached.
    Duration maxRetryDelay = std::chrono::seconds(2); ///< Upper bound of the backoff after failed reads.
    Duration platformTimeout = std::chrono::seconds(2); ///< Peers are asked if no page was received for this long.
    Duration startupListenTime = std::chrono::milliseconds(1500); ///< Collects heartbeats before first becoming ready.
    Duration peerRequestTimeout = std::chrono::seconds(1); ///< Another peer may be asked after this.
    Duration maxStaleness = std::chrono::seconds(10); ///< Not ready if records are known to be missing for this long.
    Duration snapshotInterval = std::chrono::minutes(10); ///< Must not exceed a quarter of the log's retention.
    Duration snapshotJitter = std::chrono::seconds(60); ///< Spreads the snapshots of different instances.
    std::uint64_t snapshotRecords = 1000; ///< Number of records that triggers an early snapshot.
    std::uint64_t peerCatchUpThreshold = 1000; ///< Lag in records from which a peer's snapshot is cheaper than the log.
};

/// Read the config stream from an offset, then call pageReceived() or readFailed().
struct ReadConfig
{
    std::uint64_t from = 0;
};

/// Request the records after an offset from a peer.
struct RequestTail
{
    PeerId peer;
    schema::ConfigRequest request;
};

/// Send a peer the records that it requested.
struct SendTail
{
    PeerId peer;
    schema::ConfigTail tail;
};

/// Append a snapshot to the config stream. The result need not be reported, since the record is read back from the log.
struct AppendSnapshot
{
    schema::ConfigRecord record;
};

/// An I/O request that the owner of a follower must carry out.
using ConfigAction = std::variant<ReadConfig, RequestTail, SendTail, AppendSnapshot>;

/// Counters since the start of a follower.
struct ConfigCounts
{
    std::uint64_t reads = 0; ///< Reads of the log that were requested.
    std::uint64_t peerRequests = 0; ///< Requests to peers.
    std::uint64_t snapshots = 0; ///< AppendSnapshot actions that were returned.
    std::uint64_t malformedRecords = 0; ///< Records that could not be parsed. All instances skip the same records.
};

/// Follows the configuration.
///
/// The follower becomes ready once it has read the end of the log or, while the platform is unreachable, once it has
/// all records that ready peers have reported. It never becomes ready without either. It collects heartbeats of peers
/// for startupListenTime first, because a stale read of the log would otherwise be mistaken for its end.
class ConfigFollower
{
public:
    /// @param startedAt when this instance started
    ConfigFollower(const ConfigFollowerSettings &settings, Instant startedAt);
    ~ConfigFollower();
    ConfigFollower(const ConfigFollower &) = delete;
    ConfigFollower &operator=(const ConfigFollower &) = delete;

    /// The last ReadConfig returned @p page.
    std::vector<ConfigAction> pageReceived(const schema::RecordPage &page, Instant now);
    /// The last ReadConfig failed. @param random for jitter of the retry delay
    void readFailed(Instant now, RandomSource &random);
    std::vector<ConfigAction> heartbeatReceived(const PeerId &from, const schema::Heartbeat &heartbeat, Instant now);
    /// A peer answered a RequestTail.
    std::vector<ConfigAction> tailReceived(const PeerId &from, const schema::ConfigTail &tail, Instant now);
    /// A peer requested records. @returns the answer, or nothing if this instance has no newer records
    std::vector<ConfigAction> tailRequested(const PeerId &from, const schema::ConfigRequest &request) const;
    /// Performs what is due. Call it at least every 100 ms. @param random for jitter of snapshots
    std::vector<ConfigAction> tick(Instant now, RandomSource &random);

    /// Sets the configuration fields of this instance's heartbeat. An instance that is not ready reports no version,
    /// because peers would take it for the newest one.
    void fillHeartbeat(schema::Heartbeat &heartbeat, Instant now) const;
    /// @returns whether state() is current enough to serve from.
    [[nodiscard]] bool isReady(Instant now) const;
    /// @returns whether a page was received within platformTimeout.
    [[nodiscard]] bool isPlatformReachable(Instant now) const;
    /// @returns whether missing records have expired from the log, so that a snapshot is needed to continue.
    [[nodiscard]] bool needsSnapshot() const;
    /// @returns the configuration. Its version and offset never decrease.
    [[nodiscard]] const ConfigState &state() const;
    [[nodiscard]] const ConfigCounts &counts() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Eelgrasscleat
