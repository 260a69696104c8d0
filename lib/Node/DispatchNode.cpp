/// @file
/// Start and shutdown, periodic work, configuration and instances, and ownership of targets.
#include "NodeImpl.h"

#include <algorithm>
#include <ctime>

namespace Eelgrasscleat
{

namespace
{

/// Interval of periodic work: half of the shortest interval of status messages.
constexpr std::chrono::milliseconds kAdvanceInterval { 40 };
/// A longer gap between two events means that the process or its host was stalled and that other instances have
/// declared this one dead: the same limit as DispatcherPolicy::homeTimeout.
constexpr Duration kStallThreshold = std::chrono::milliseconds(600);

} // namespace

Instant suspendAwareNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                        + std::chrono::nanoseconds(time.tv_nsec)));
}

static PeerSelectionPolicy selectionPolicy(const NodeSettings &settings)
{
    PeerSelectionPolicy policy;
    policy.maxZoneOwners = settings.shards;
    return policy;
}

static DispatcherPolicy dispatcherPolicy(const NodeSettings &settings)
{
    DispatcherPolicy policy = settings.dispatcher;
    policy.maxJobBytes = clientLimits(settings.process).jobBytes;
    return policy;
}

static PeerLimits peerLimits(const NodeSettings &settings)
{
    const PortLimits limits = clientLimits(settings.process).peers;
    return { limits.connections, limits.heldBytes };
}

DispatchNode::Impl::Impl(const NodeSettings &settings, TargetCommands &commands, Metrics &metrics, std::uint64_t random)
    : m_settings(settings)
    , m_log(metrics)
    , m_dispatcher(dispatcherPolicy(settings), commands, *this)
    , m_router(settings.router, settings.self.zone, *this)
    , m_ownership(settings.ownership)
    , m_evacuations(settings.self.zone, settings.evacuationGrace)
    , m_targets(settings.targetRemovalGrace)
    , m_peerLink(settings.self,
                 IncarnationId(random),
                 *this,
                 settings.isBootstrap,
                 selectionPolicy(settings),
                 peerLimits(settings))
{
    m_advanceTimer.setInterval(kAdvanceInterval);
    QObject::connect(&m_advanceTimer, &QTimer::timeout, &m_advanceTimer, [this] {
        beginEvent();
        advance();
    });
}

Result<Done> DispatchNode::Impl::start(CallerFrontend &callers, CoordinationStore &store)
{
    m_callers = &callers;
    m_store = &store;
    auto started = m_peerLink.start();
    if (!isOk(started)) {
        return started;
    }
    m_now = suspendAwareNow();
    m_startedAt = m_now;
    m_targetListRefresh.confirmed(m_now);
    m_store->registerInstance(m_settings.self);
    m_store->start();
    m_advanceTimer.start();
    return started;
}

/// Begins the handling of an event: updates the current time and recovers from a stall before stale input is processed.
/// @returns whether messages of peers and callers may still be processed.
bool DispatchNode::Impl::beginEvent()
{
    const Instant now = suspendAwareNow();
    const Duration gap = now - m_now;
    const bool wasStalled = m_now != Instant {} && gap > kStallThreshold;
    m_now = now;
    if (wasStalled) {
        recoverFromStall(gap);
    }
    return !wasStalled;
}

/// During the stall, the other instances declared this one dead: callers have resubmitted their jobs elsewhere, and
/// runs have expired. Data in the socket buffers is just as stale, so all connections are closed.
void DispatchNode::Impl::recoverFromStall(Duration gap)
{
    m_log.recordEvent("stood still",
                      { { "ms", static_cast<std::uint64_t>(gap.count() / 1000) },
                        { "open_jobs", std::uint64_t { m_router.openJobs() } } });
    m_peerLink.reset();
    m_callers->abortConnections();
    m_unconfigured.clear();
    m_router.abandonWaiting();
    m_dispatcher.homeLost(m_settings.self.name, m_now);
    m_router.dispatcherLost(m_settings.self.name);
    runDeferredCalls();
}

void DispatchNode::Impl::runDeferredCalls()
{
    while (!m_deferredCalls.empty()) {
        const auto next = std::move(m_deferredCalls.front());
        m_deferredCalls.pop_front();
        next();
    }
}

void DispatchNode::Impl::advance()
{
    m_dispatcher.homeContacted(m_settings.self.name, m_now);
    for (const TargetName &it : m_targets.advance(m_now)) {
        m_dispatcher.targetReleased(it, m_now);
    }
    m_dispatcher.advance(m_now);
    advanceOwnership();
    refreshTargetList();
    LocalStatus status;
    status.owner = !m_ownedShards.empty();
    status.candidate = m_configuration.isKnown() && m_ownership.isCandidate(m_now);
    status.load = m_dispatcher.load();
    status.configVersion = m_configuration.current().version;
    status.evacuated = m_evacuations.current();
    if (status.owner) {
        m_router.dispatcherReported(m_settings.self.name, m_settings.self.zone, status.load, m_now);
    } else {
        m_router.dispatcherRetired(m_settings.self.name);
    }
    status.zoneTargets = zoneTargets();
    m_peerLink.advance(status, m_router.dispatchersInUse(), m_now);
    m_log.setSessions(m_peerLink.sessions());
    m_log.setEvictedPeers(m_peerLink.connectionsEvicted());
    m_router.advance(m_now);
    refuseUnconfigured();
    runDeferredCalls();
    const bool ready = m_configuration.isKnown() && !m_onStopped && m_router.dispatcherCount() > 0;
    if (ready != m_ready) {
        m_ready = ready;
        m_callers->setReady(ready);
        m_log.recordEvent(ready ? "ready" : "not ready",
                          { { "dispatchers", std::uint64_t { m_router.dispatcherCount() } },
                            { "config", m_configuration.current().version.value } });
    }
    if (m_onStopped) {
        advanceStop();
    }
    flushLog();
}

void DispatchNode::Impl::advanceOwnership()
{
    ZoneView view = m_peerLink.zoneView(m_now);
    view.ownedTargets = std::max<std::size_t>(view.ownedTargets, m_dispatcher.load().targets);
    const bool wasMember = m_ownership.isMember();
    const MembershipAction action = m_ownership.advance(view, areHandoverTargetsIdle(), m_now);
    applyOwnership();
    if (!wasMember && m_ownership.isMember()) {
        m_log.recordEvent("joining the zone's group",
                          { { "targets", std::uint64_t { view.ownedTargets } },
                            { "targets_per_owner", std::uint64_t { view.targetsPerOwner } },
                            { "useful_owners", std::uint64_t { view.usefulOwners } },
                            { "other_owners", std::uint64_t { view.otherOwners } },
                            { "preceding_candidates", std::uint64_t { view.precedingCandidates } },
                            { "all_peers_reachable", std::uint64_t { view.allPeersReachable ? 1U : 0U } } });
    }
    // Started before the first shards are assigned, so that the list is available then.
    const bool wantsTargets = m_ownership.wantsTargetCount(view, m_now);
    m_store->watchTargets(wantsTargets);
    if (!wantsTargets) {
        m_targets.clear();
        m_targetListRefresh.confirmed(m_now);
    }
    if (action == MembershipAction::None) {
        return;
    }
    if (action == MembershipAction::Leave) {
        m_log.recordEvent("leaving the zone's group", {});
        m_store->leaveGroup([this](const Result<Done> &result) {
            beginEvent();
            if (isOk(result)) {
                m_ownership.left();
            } else {
                m_ownership.requestFailed(m_now);
            }
        });
        return;
    }
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.ownership.timeToLive);
    m_store->renewMembership(
        m_ownership.generationToReport(), lifetime, [this](const Result<MembershipAnswer> &result) {
            beginEvent();
            if (const auto *answer = std::get_if<MembershipAnswer>(&result)) {
                m_ownership.renewed(*answer, m_now);
            } else {
                m_ownership.requestFailed(m_now);
            }
            applyOwnership();
            runDeferredCalls();
        });
}

/// @returns whether targets that are being handed over have no active runs.
bool DispatchNode::Impl::areHandoverTargetsIdle() const
{
    const auto targets = m_dispatcher.targets();
    return std::all_of(targets.begin(), targets.end(), [this](const TargetName &it) {
        return !m_ownership.isHandingOver(shardOfTarget(it)) || m_dispatcher.isIdle(it);
    });
}

/// Assigns and releases the dispatcher's targets according to the owned shards.
void DispatchNode::Impl::applyOwnership()
{
    const auto &shards = m_ownership.shards();
    if (shards != m_ownedShards) {
        m_log.recordEvent("shards owned",
                          { { "zone", m_settings.self.zone.value },
                            { "shards", std::uint64_t { shards.size() } },
                            { "before", std::uint64_t { m_ownedShards.size() } },
                            { "generation", m_ownership.generationToReport() } });
        m_ownedShards = shards;
        for (const TargetName &it : m_dispatcher.targets()) {
            if (m_ownedShards.count(shardOfTarget(it)) == 0) {
                m_dispatcher.targetReleased(it, m_now);
            }
        }
        assignOwnedTargets();
    }
    for (const TargetName &it : m_dispatcher.targets()) {
        m_dispatcher.setAccepting(it, m_onStopped || !m_ownership.isHandingOver(shardOfTarget(it)));
    }
}

void DispatchNode::Impl::configurationReceived(FleetConfiguration configuration)
{
    beginEvent();
    applyConfiguration(std::move(configuration), "store");
}

void DispatchNode::Impl::peerConfigurationReceived(const InstanceName &peer, FleetConfiguration configuration)
{
    beginEvent();
    applyConfiguration(std::move(configuration), peer.value);
}

void DispatchNode::Impl::applyConfiguration(FleetConfiguration configuration, const std::string &source)
{
    const std::uint64_t version = configuration.version.value;
    const std::uint64_t routes = configuration.routes.size();
    if (!m_configuration.apply(std::move(configuration))) {
        return;
    }
    m_callers->setLimits(m_configuration.current());
    m_log.recordEvent("configuration applied", { { "version", version }, { "routes", routes }, { "source", source } });
    submitUnconfigured();
    runDeferredCalls();
}

void DispatchNode::Impl::evacuationsListed(EvacuatedZones zones)
{
    beginEvent();
    const std::set<ZoneName> before = m_evacuations.current().zones;
    if (m_evacuations.replace(std::move(zones), m_now)) {
        applyEvacuations(before, "store");
    }
}

void DispatchNode::Impl::evacuationChanged(const ZoneName &zone, bool evacuated, std::uint64_t version)
{
    beginEvent();
    const std::set<ZoneName> before = m_evacuations.current().zones;
    if (m_evacuations.change(zone, evacuated, version, m_now)) {
        applyEvacuations(before, "store");
    }
}

void DispatchNode::Impl::peerEvacuationsReceived(const InstanceName &peer, EvacuatedZones zones)
{
    const std::set<ZoneName> before = m_evacuations.current().zones;
    if (m_evacuations.replace(std::move(zones), m_now)) {
        applyEvacuations(before, peer.value);
    }
}

/// Jobs stop going to evacuated zones at once. What runs in this instance's zone ends there.
void DispatchNode::Impl::applyEvacuations(const std::set<ZoneName> &before, const std::string &source)
{
    const EvacuatedZones &evacuated = m_evacuations.current();
    const auto logChange = [&](std::string_view event, const ZoneName &zone) {
        const bool isKnown = m_settings.zones.empty() || m_settings.zones.count(zone) > 0;
        m_log.recordEvent(isKnown ? event : "evacuation of unknown zone ignored",
                          { { "zone", zone.value }, { "version", evacuated.version }, { "source", source } });
    };
    for (const ZoneName &it : evacuated.zones) {
        if (before.count(it) == 0) {
            logChange("zone evacuated", it);
        }
    }
    for (const ZoneName &it : before) {
        if (evacuated.zones.count(it) == 0) {
            logChange("zone taken back", it);
        }
    }
    m_router.setEvacuatedZones(evacuated.zones);
    const bool wasEvacuated = before.count(m_settings.self.zone) > 0;
    if (m_evacuations.isOwnZoneEvacuated()) {
        m_dispatcher.evacuate(m_evacuations.lastStartAt(), m_now);
    } else if (wasEvacuated) {
        m_dispatcher.endEvacuation();
    }
    runDeferredCalls();
}

const FleetConfiguration &DispatchNode::Impl::configuration()
{
    return m_configuration.current();
}

void DispatchNode::Impl::instanceUpdated(const InstanceRegistration &instance)
{
    beginEvent();
    m_peerLink.addInstance(instance);
    runDeferredCalls();
}

void DispatchNode::Impl::instanceRemoved(const InstanceName &name)
{
    beginEvent();
    m_peerLink.removeInstance(name);
    runDeferredCalls();
}

void DispatchNode::Impl::recordRejected(const Error &error)
{
    m_log.recordRejected(error, suspendAwareNow());
}

void DispatchNode::Impl::storeReachabilityChanged(bool reachable, const std::string &detail)
{
    m_log.recordEvent(reachable ? "store regained" : "store lost", { { "detail", detail } });
}

void DispatchNode::Impl::beginStop(std::function<void()> stopped)
{
    beginEvent();
    m_onStopped = std::move(stopped);
    m_stopStartedAt = m_now;
    m_log.recordEvent("planned stop begins", { { "open_jobs", std::uint64_t { m_router.openJobs() } } });
    m_ownership.stop();
    m_dispatcher.drain(m_stopStartedAt + m_settings.drainTime, m_now);
    m_router.shortenDeadlines(m_stopStartedAt + m_settings.answerDeadline);
    advance();
}

void DispatchNode::Impl::advanceStop()
{
    const Duration elapsed = m_now - m_stopStartedAt;
    const bool isOverdue = elapsed >= m_settings.exitDeadline;
    if (!m_isClosingConnections && (elapsed >= m_settings.balancerRemovalTime || isOverdue)) {
        m_isClosingConnections = true;
        m_callers->closeAfterAnswers();
    }
    const bool isIdle = m_router.openJobs() == 0 && m_callers->isIdle() && !m_ownership.isMember();
    if (m_isDeregistering || !m_isClosingConnections || (!isIdle && !isOverdue)) {
        return;
    }
    m_isDeregistering = true;
    m_log.recordEvent("planned stop ends",
                      { { "open_jobs", std::uint64_t { m_router.openJobs() } },
                        { "ms", static_cast<std::uint64_t>(elapsed.count() / 1000) } });
    m_store->deregisterInstance(m_settings.self.name, m_onStopped);
}

DispatchNode::DispatchNode(const NodeSettings &settings,
                           TargetCommands &commands,
                           Metrics &metrics,
                           std::uint64_t random)
    : m_impl(std::make_unique<Impl>(settings, commands, metrics, random))
{
}

DispatchNode::~DispatchNode() = default;

CallerEventHandler &DispatchNode::callerEvents()
{
    return *m_impl;
}

StoreEventHandler &DispatchNode::storeEvents()
{
    return *m_impl;
}

CommandResultHandler &DispatchNode::commandResultHandler()
{
    return *m_impl;
}

Result<Done> DispatchNode::start(CallerFrontend &callers, CoordinationStore &store)
{
    return m_impl->start(callers, store);
}

void DispatchNode::beginStop(std::function<void()> stopped)
{
    m_impl->beginStop(std::move(stopped));
}

} // namespace Eelgrasscleat
