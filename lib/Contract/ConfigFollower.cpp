/// @file
/// Scheduling of reads and peer requests, and readiness.
#include <eelgrasscleat/Contract/ConfigFollower.h>

#include "ConfigReplay.h"
#include "SnapshotSchedule.h"
#include "StalenessTracker.h"

#include <algorithm>
#include <optional>

namespace Eelgrasscleat
{

struct ConfigFollower::State
{
    State(const ConfigFollowerSettings &followerSettings, Instant start)
        : settings(followerSettings)
        , startedAt(start)
        , nextReadAt(start)
        , snapshotSchedule(followerSettings)
    {
    }

    [[nodiscard]] bool hasPlatformTimedOut(Instant now) const;
    [[nodiscard]] bool canRequestTail(Instant now) const;
    std::vector<ConfigAction> requestTail(const PeerId &peer, Instant now);
    void recordsApplied(Instant now);
    void updateReadiness(Instant now);

    ConfigFollowerSettings settings;
    Instant startedAt;

    bool isReading = false;
    Instant nextReadAt;
    Duration retryDelay {};
    std::optional<Instant> lastPageAt;
    bool hasReadEnd = false;

    std::optional<Instant> tailRequestedAt;
    bool hasSeenReadyPeer = false;

    bool isReady = false;
    ConfigReplay replay;
    StalenessTracker stalenessTracker;
    SnapshotSchedule snapshotSchedule;
    ConfigCounts counts;
};

bool ConfigFollower::State::hasPlatformTimedOut(Instant now) const
{
    return now - lastPageAt.value_or(startedAt) >= settings.platformTimeout;
}

/// One request at a time, so that the instances of a zone that is behind do not send requests to all peers at once.
bool ConfigFollower::State::canRequestTail(Instant now) const
{
    return !tailRequestedAt || now - *tailRequestedAt >= settings.peerRequestTimeout;
}

std::vector<ConfigAction> ConfigFollower::State::requestTail(const PeerId &peer, Instant now)
{
    tailRequestedAt = now;
    ++counts.peerRequests;
    RequestTail action { .peer = peer, .request = {} };
    action.request.set_from_offset(replay.state().nextOffset());
    return { action };
}

/// Updates the state that depends on the applied records.
void ConfigFollower::State::recordsApplied(Instant now)
{
    stalenessTracker.updateApplied(replay.state().nextOffset());
    counts.malformedRecords = replay.malformedRecords();
    if (const auto offset = replay.newestSnapshotOffset()) {
        snapshotSchedule.snapshotRead(*offset, isReady, now);
    }
    updateReadiness(now);
}

void ConfigFollower::State::updateReadiness(Instant now)
{
    if (isReady || replay.state().nextOffset() < stalenessTracker.highestAvailable()) {
        return;
    }
    const bool canTrustLogEnd = hasSeenReadyPeer || now - startedAt >= settings.startupListenTime;
    const bool hasLog = hasReadEnd && canTrustLogEnd;
    const bool hasPeers = hasSeenReadyPeer && hasPlatformTimedOut(now);
    isReady = hasLog || hasPeers;
}

ConfigFollower::ConfigFollower(const ConfigFollowerSettings &settings, Instant startedAt)
    : m_state(std::make_unique<State>(settings, startedAt))
{
}

ConfigFollower::~ConfigFollower() = default;

std::vector<ConfigAction> ConfigFollower::pageReceived(const schema::RecordPage &page, Instant now)
{
    State &state = *m_state;
    const std::uint64_t from = state.replay.nextReadOffset();
    state.isReading = false;
    state.retryDelay = Duration::zero();
    state.lastPageAt = now;
    state.stalenessTracker.updateAvailable(page.next(), now);
    state.replay.applyPage(page);

    const bool atEnd = state.replay.nextReadOffset() >= page.next();
    state.hasReadEnd = state.hasReadEnd || (atEnd && !state.replay.needsSnapshot());
    const bool madeProgress = state.replay.nextReadOffset() > from;
    state.nextReadAt = now + (!atEnd && madeProgress ? state.settings.catchUpInterval : state.settings.pollInterval);
    state.recordsApplied(now);
    return {};
}

void ConfigFollower::readFailed(Instant now, RandomSource &random)
{
    State &state = *m_state;
    state.isReading = false;
    state.retryDelay = std::clamp(state.retryDelay * 2, state.settings.pollInterval, state.settings.maxRetryDelay);
    // Jitter over half of the delay keeps the instances from retrying at the same time after an outage.
    const Duration half = state.retryDelay / 2;
    const auto drawn = drawBelow(random, static_cast<std::uint64_t>(half.count()) + 1);
    state.nextReadAt = now + half + Duration(static_cast<Duration::rep>(drawn));
    state.updateReadiness(now);
}

std::vector<ConfigAction>
ConfigFollower::heartbeatReceived(const PeerId &from, const schema::Heartbeat &heartbeat, Instant now)
{
    State &state = *m_state;
    const std::uint64_t peerOffset = heartbeat.config_next_offset();
    if (peerOffset == 0) {
        return {};
    }
    state.hasSeenReadyPeer = true;
    state.stalenessTracker.updateAvailable(peerOffset, now);
    state.updateReadiness(now);

    const std::uint64_t ownOffset = state.replay.state().nextOffset();
    const bool isFarBehindPeer = peerOffset >= ownOffset + state.settings.peerCatchUpThreshold;
    const bool shouldRequestTail = state.hasPlatformTimedOut(now) || state.replay.needsSnapshot() || isFarBehindPeer;
    if (peerOffset <= ownOffset || !shouldRequestTail || !state.canRequestTail(now)) {
        return {};
    }
    return state.requestTail(from, now);
}

std::vector<ConfigAction> ConfigFollower::tailReceived(const PeerId &from, const schema::ConfigTail &tail, Instant now)
{
    State &state = *m_state;
    const std::uint64_t before = state.replay.state().nextOffset();
    state.replay.applyTail(tail);
    state.recordsApplied(now);
    const std::uint64_t after = state.replay.state().nextOffset();
    if (after == before) {
        return {};
    }
    state.tailRequestedAt.reset();
    const bool needsMore = after < state.stalenessTracker.highestAvailable() && state.hasPlatformTimedOut(now);
    return needsMore ? state.requestTail(from, now) : std::vector<ConfigAction>();
}

std::vector<ConfigAction> ConfigFollower::tailRequested(const PeerId &from, const schema::ConfigRequest &request) const
{
    const ConfigReplay &replay = m_state->replay;
    if (request.from_offset() >= replay.state().nextOffset()) {
        return {};
    }
    SendTail action { .peer = from, .tail = {} };
    if (replay.cache().containsFrom(request.from_offset())) {
        replay.cache().copyTo(action.tail, request.from_offset());
    } else {
        *action.tail.mutable_snapshot() = replay.state().snapshot();
    }
    return { std::move(action) };
}

std::vector<ConfigAction> ConfigFollower::tick(Instant now, RandomSource &random)
{
    State &state = *m_state;
    state.updateReadiness(now);
    std::vector<ConfigAction> actions;
    if (!state.isReading && now >= state.nextReadAt) {
        state.isReading = true;
        ++state.counts.reads;
        actions.emplace_back(ReadConfig { .from = state.replay.nextReadOffset() });
    }
    const bool canAppendSnapshot = isReady(now) && !state.hasPlatformTimedOut(now);
    if (canAppendSnapshot && state.snapshotSchedule.isDue(state.replay.state().nextOffset(), now, random)) {
        ++state.counts.snapshots;
        AppendSnapshot action;
        *action.record.mutable_snapshot() = state.replay.state().snapshot();
        actions.emplace_back(std::move(action));
    }
    return actions;
}

void ConfigFollower::fillHeartbeat(schema::Heartbeat &heartbeat, Instant now) const
{
    const bool ready = isReady(now);
    heartbeat.set_config_version(ready ? m_state->replay.state().version() : 0);
    heartbeat.set_config_next_offset(ready ? m_state->replay.state().nextOffset() : 0);
    heartbeat.set_platform_reachable(isPlatformReachable(now));
}

bool ConfigFollower::isReady(Instant now) const
{
    return m_state->isReady && m_state->stalenessTracker.staleness(now) < m_state->settings.maxStaleness;
}

bool ConfigFollower::isPlatformReachable(Instant now) const
{
    return m_state->lastPageAt && !m_state->hasPlatformTimedOut(now);
}

bool ConfigFollower::needsSnapshot() const
{
    return m_state->replay.needsSnapshot();
}

const ConfigState &ConfigFollower::state() const
{
    return m_state->replay.state();
}

const ConfigCounts &ConfigFollower::counts() const
{
    return m_state->counts;
}

} // namespace Eelgrasscleat
