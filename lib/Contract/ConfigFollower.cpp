/// @file
/// Follows the config stream: when to read, whom to ask, and when the state is fit to serve from.
#include <eelgrasscleat/Contract/ConfigFollower.h>

#include "ConfigReplay.h"
#include "KnownOffsets.h"
#include "SnapshotSchedule.h"

#include <algorithm>
#include <optional>

namespace Eelgrasscleat
{

struct ConfigFollower::State
{
    State(const ConfigFollowerSettings &followerTimes, Instant start)
        : times(followerTimes)
        , startedAt(start)
        , readAfter(start)
        , snapshots(followerTimes)
    {
    }

    [[nodiscard]] bool platformIsSilent(Instant now) const;
    [[nodiscard]] bool mayAsk(Instant now) const;
    std::vector<ConfigAction> ask(const PeerId &peer, Instant now);
    void advanced(Instant now);
    void checkReadiness(Instant now);

    ConfigFollowerSettings times;
    Instant startedAt;

    bool isReading = false;
    Instant readAfter;
    Duration retryDelay {};
    std::optional<Instant> lastPageAt;
    bool endWasRead = false;

    std::optional<Instant> askedAt;
    bool heardReadyPeer = false;

    bool isReady = false;
    ConfigReplay replay;
    KnownOffsets known;
    SnapshotSchedule snapshots;
    ConfigCounts counts;
};

bool ConfigFollower::State::platformIsSilent(Instant now) const
{
    return now - lastPageAt.value_or(startedAt) >= times.platformTimeout;
}

/// One request at a time, so that a zone that is behind does not ask all peers at once.
bool ConfigFollower::State::mayAsk(Instant now) const
{
    return !askedAt || now - *askedAt >= times.peerRequestTimeout;
}

std::vector<ConfigAction> ConfigFollower::State::ask(const PeerId &peer, Instant now)
{
    askedAt = now;
    ++counts.peerRequests;
    RequestTail action { .peer = peer, .request = {} };
    action.request.set_from_offset(replay.state().nextOffset());
    return { action };
}

/// Takes notice of records that were just applied.
void ConfigFollower::State::advanced(Instant now)
{
    known.reached(replay.state().nextOffset());
    counts.malformedRecords = replay.brokenRecords();
    if (const auto offset = replay.snapshotSeenAt()) {
        snapshots.seen(*offset, isReady, now);
    }
    checkReadiness(now);
}

void ConfigFollower::State::checkReadiness(Instant now)
{
    if (isReady || replay.state().nextOffset() < known.highest()) {
        return;
    }
    const bool hasListened = heardReadyPeer || now - startedAt >= times.startupListenTime;
    const bool hasLog = endWasRead && hasListened;
    const bool hasPeers = heardReadyPeer && platformIsSilent(now);
    isReady = hasLog || hasPeers;
}

ConfigFollower::ConfigFollower(const ConfigFollowerSettings &times, Instant startedAt)
    : m_state(std::make_unique<State>(times, startedAt))
{
}

ConfigFollower::~ConfigFollower() = default;

std::vector<ConfigAction> ConfigFollower::pageReceived(const schema::RecordPage &page, Instant now)
{
    State &state = *m_state;
    const std::uint64_t from = state.replay.readFrom();
    state.isReading = false;
    state.retryDelay = Duration::zero();
    state.lastPageAt = now;
    state.known.learn(page.next(), now);
    state.replay.page(page);

    const bool atEnd = state.replay.readFrom() >= page.next();
    state.endWasRead = state.endWasRead || (atEnd && !state.replay.needsSnapshot());
    const bool madeProgress = state.replay.readFrom() > from;
    state.readAfter = now + (!atEnd && madeProgress ? state.times.catchUpInterval : state.times.pollInterval);
    state.advanced(now);
    return {};
}

void ConfigFollower::readFailed(Instant now, RandomSource &random)
{
    State &state = *m_state;
    state.isReading = false;
    state.retryDelay = std::clamp(state.retryDelay * 2, state.times.pollInterval, state.times.maxRetryDelay);
    // Half of the wait is drawn, so that the instances do not all return at the same moment after an outage.
    const Duration half = state.retryDelay / 2;
    const auto drawn = drawBelow(random, static_cast<std::uint64_t>(half.count()) + 1);
    state.readAfter = now + half + Duration(static_cast<Duration::rep>(drawn));
    state.checkReadiness(now);
}

std::vector<ConfigAction>
ConfigFollower::heartbeatReceived(const PeerId &from, const schema::Heartbeat &heartbeat, Instant now)
{
    State &state = *m_state;
    const std::uint64_t theirs = heartbeat.config_next_offset();
    if (theirs == 0) {
        return {};
    }
    state.heardReadyPeer = true;
    state.known.learn(theirs, now);
    state.checkReadiness(now);

    const std::uint64_t ours = state.replay.state().nextOffset();
    const bool isFarBehind = theirs >= ours + state.times.peerCatchUpThreshold;
    const bool needsPeer = state.platformIsSilent(now) || state.replay.needsSnapshot() || isFarBehind;
    if (theirs <= ours || !needsPeer || !state.mayAsk(now)) {
        return {};
    }
    return state.ask(from, now);
}

std::vector<ConfigAction> ConfigFollower::tailReceived(const PeerId &from, const schema::ConfigTail &tail, Instant now)
{
    State &state = *m_state;
    const std::uint64_t before = state.replay.state().nextOffset();
    state.replay.tail(tail);
    state.advanced(now);
    const std::uint64_t after = state.replay.state().nextOffset();
    if (after == before) {
        return {};
    }
    state.askedAt.reset();
    const bool wantsMore = after < state.known.highest() && state.platformIsSilent(now);
    return wantsMore ? state.ask(from, now) : std::vector<ConfigAction>();
}

std::vector<ConfigAction> ConfigFollower::tailRequested(const PeerId &from, const schema::ConfigRequest &request) const
{
    const ConfigReplay &replay = m_state->replay;
    if (request.from_offset() >= replay.state().nextOffset()) {
        return {};
    }
    SendTail action { .peer = from, .tail = {} };
    if (replay.cache().reachesBackTo(request.from_offset())) {
        replay.cache().copyTo(action.tail, request.from_offset());
    } else {
        *action.tail.mutable_snapshot() = replay.state().snapshot();
    }
    return { std::move(action) };
}

std::vector<ConfigAction> ConfigFollower::tick(Instant now, RandomSource &random)
{
    State &state = *m_state;
    state.checkReadiness(now);
    std::vector<ConfigAction> actions;
    if (!state.isReading && now >= state.readAfter) {
        state.isReading = true;
        ++state.counts.reads;
        actions.emplace_back(ReadConfig { .from = state.replay.readFrom() });
    }
    const bool mayAppend = isReady(now) && !state.platformIsSilent(now);
    if (mayAppend && state.snapshots.isDue(state.replay.state().nextOffset(), now, random)) {
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
    return m_state->isReady && m_state->known.behindFor(now) < m_state->times.maxStaleness;
}

bool ConfigFollower::isPlatformReachable(Instant now) const
{
    return m_state->lastPageAt && !m_state->platformIsSilent(now);
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
