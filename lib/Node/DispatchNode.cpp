/// @file
/// Start, stop, what is due with time, and what concerns the store and the ownership of targets.
#include "NodeImpl.h"

#include <algorithm>
#include <ctime>

namespace Eelgrasscleat
{

namespace
{

/// Time between looks for what is due: half the shortest interval of status messages.
constexpr std::chrono::milliseconds kAdvanceInterval { 40 };
/// A longer gap between two looks means that the process or its machine stood still, and others have given up on it:
/// the same bound as DispatcherPolicy::homeTimeout.
constexpr Duration kStandstill = std::chrono::milliseconds(600);

} // namespace

Instant suspendAwareNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                        + std::chrono::nanoseconds(time.tv_nsec)));
}

DispatchNode::Impl::Impl(const NodeSettings &settings, TargetCommands &orders, Metrics &metrics, std::uint64_t random)
    : m_settings(settings)
    , m_log(metrics)
    , m_dispatcher(settings.dispatcher, orders, *this)
    , m_home(settings.home, settings.self.zone, *this)
    , m_ownership(settings.ownership)
    , m_targets(settings.targetRemovalGrace)
    , m_link(settings.self, IncarnationId(random), *this)
{
    m_timer.setInterval(kAdvanceInterval);
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
        enter();
        advance();
    });
}

Result<Done> DispatchNode::Impl::start(CallerFrontend &callers, CoordinationStore &store)
{
    m_callers = &callers;
    m_store = &store;
    auto started = m_link.start();
    if (!isOk(started)) {
        return started;
    }
    m_now = suspendAwareNow();
    m_store->registerInstance(m_settings.self);
    m_store->start();
    m_timer.start();
    return started;
}

/// Begins the handling of an event: takes the time, and notices a standstill before anything old is acted on.
/// @returns whether what peers and callers sent is still to be acted on.
bool DispatchNode::Impl::enter()
{
    const Instant now = suspendAwareNow();
    const Duration gap = now - m_now;
    const bool stoodStill = m_now != Instant {} && gap > kStandstill;
    m_now = now;
    if (stoodStill) {
        recoverFromStandstill(gap);
    }
    return !stoodStill;
}

/// Others have given up on this instance meanwhile: callers submit again elsewhere, runs have lapsed. What waits in the
/// buffers of connections is as old, so the connections go too.
void DispatchNode::Impl::recoverFromStandstill(Duration gap)
{
    m_log.changed("stood still",
                  { { "ms", static_cast<std::uint64_t>(gap.count() / 1000) },
                    { "open_jobs", std::uint64_t { m_home.openJobs() } } });
    m_link.reset();
    m_callers->abortConnections();
    m_dispatcher.homeLost(m_settings.self.name, m_now);
    m_home.dispatcherLost(m_settings.self.name);
    settle();
}

/// Empties the queues between the parts.
void DispatchNode::Impl::settle()
{
    while (!m_local.empty()) {
        const auto next = std::move(m_local.front());
        m_local.pop_front();
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
    SelfStatus status;
    status.owner = !m_shards.empty();
    status.candidate = m_configuration.isKnown() && m_ownership.isCandidate(m_now);
    status.load = m_dispatcher.load();
    status.configVersion = m_configuration.current().version;
    if (status.owner) {
        m_home.dispatcherReported(m_settings.self.name, m_settings.self.zone, status.load, m_now);
    } else {
        m_home.dispatcherRetired(m_settings.self.name);
    }
    m_link.advance(status, m_now);
    m_home.advance(m_now);
    settle();
    const bool ready = m_configuration.isKnown() && !m_stopped && m_home.dispatcherCount() > 0;
    if (ready != m_ready) {
        m_ready = ready;
        m_callers->setReady(ready);
        m_log.changed(ready ? "ready" : "not ready",
                      { { "dispatchers", std::uint64_t { m_home.dispatcherCount() } },
                        { "config", m_configuration.current().version.value } });
    }
    if (m_stopped) {
        advanceStop();
    }
    flushLog();
}

void DispatchNode::Impl::advanceOwnership()
{
    ZoneView view = m_link.zoneView(m_now);
    view.ownedTargets += m_dispatcher.load().targets;
    const MembershipAction action = m_ownership.advance(view, isHandoverIdle(), m_now);
    applyOwnership();
    if (action == MembershipAction::None) {
        return;
    }
    if (action == MembershipAction::Leave) {
        m_log.changed("leaving the zone's group", {});
        m_store->leaveGroup([this](const Result<Done> &result) {
            enter();
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
            enter();
            if (const auto *answer = std::get_if<MembershipAnswer>(&result)) {
                m_ownership.renewed(*answer, m_now);
            } else {
                m_ownership.requestFailed(m_now);
            }
            applyOwnership();
            settle();
        });
}

ShardNumber DispatchNode::Impl::shardOfTarget(const TargetName &target) const
{
    return shardOf(target, m_settings.shards);
}

/// @returns whether no run is at work on targets that are being handed over.
bool DispatchNode::Impl::isHandoverIdle() const
{
    const auto targets = m_dispatcher.targets();
    return std::all_of(targets.begin(), targets.end(), [this](const TargetName &it) {
        return !m_ownership.isHandingOver(shardOfTarget(it)) || m_dispatcher.isIdle(it);
    });
}

/// Brings the dispatcher in line with the ownership of shards.
void DispatchNode::Impl::applyOwnership()
{
    const auto &shards = m_ownership.shards();
    if (shards != m_shards) {
        m_log.changed("shards owned",
                      { { "zone", m_settings.self.zone.value },
                        { "shards", std::uint64_t { shards.size() } },
                        { "before", std::uint64_t { m_shards.size() } },
                        { "generation", m_ownership.generationToReport() } });
        m_shards = shards;
        for (const TargetName &it : m_dispatcher.targets()) {
            if (m_shards.count(shardOfTarget(it)) == 0) {
                m_dispatcher.targetReleased(it, m_now);
            }
        }
        ownAllTargets();
    }
    // From the first call on, so that the list is there when the first shards are.
    m_store->watchTargets(m_ownership.isMember());
    if (!m_ownership.isMember()) {
        m_targets.clear();
    }
    for (const TargetName &it : m_dispatcher.targets()) {
        m_dispatcher.setAccepting(it, m_stopped || !m_ownership.isHandingOver(shardOfTarget(it)));
    }
}

void DispatchNode::Impl::ownTarget(const DispatchTarget &target)
{
    const auto it = m_shards.find(shardOfTarget(target.name));
    if (it != m_shards.end() && target.zone == m_settings.self.zone) {
        m_dispatcher.targetOwned(target, it->second, m_now);
    }
}

void DispatchNode::Impl::ownAllTargets()
{
    for (const auto &it : m_targets.targets()) {
        ownTarget(it.second);
    }
}

void DispatchNode::Impl::configurationReceived(FleetConfiguration configuration)
{
    enter();
    applyConfiguration(std::move(configuration), "store");
}

void DispatchNode::Impl::configurationOffered(const InstanceName &peer, FleetConfiguration configuration)
{
    enter();
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
    m_log.changed("configuration applied", { { "version", version }, { "routes", routes }, { "source", source } });
}

const FleetConfiguration &DispatchNode::Impl::configuration()
{
    return m_configuration.current();
}

void DispatchNode::Impl::targetUpdated(const DispatchTarget &target)
{
    enter();
    if (!m_targets.set(target)) {
        return;
    }
    ownTarget(target);
    settle();
}

void DispatchNode::Impl::targetRemoved(const TargetName &target)
{
    enter();
    m_targets.entryRemoved(target, m_now);
}

void DispatchNode::Impl::targetListReceived(const std::vector<DispatchTarget> &targets)
{
    enter();
    m_targets.replace(targets, m_now);
    m_log.changed("targets listed", { { "targets", std::uint64_t { targets.size() } } });
    ownAllTargets();
    settle();
}

void DispatchNode::Impl::instanceUpdated(const InstanceRegistration &instance)
{
    enter();
    m_link.addInstance(instance);
    settle();
}

void DispatchNode::Impl::instanceRemoved(const InstanceName &name)
{
    enter();
    m_link.removeInstance(name);
    settle();
}

void DispatchNode::Impl::recordRejected(const Error &error)
{
    m_log.changed(
        "record rejected",
        { { "step", std::string(stepName(error.step)) }, { "peer", error.peer }, { "detail", error.detail } });
}

void DispatchNode::Impl::storeReachabilityChanged(bool reachable, const std::string &detail)
{
    m_log.changed(reachable ? "store regained" : "store lost", { { "detail", detail } });
}

void DispatchNode::Impl::beginStop(std::function<void()> stopped)
{
    enter();
    m_stopped = std::move(stopped);
    m_stopBegan = m_now;
    m_log.changed("planned stop begins", { { "open_jobs", std::uint64_t { m_home.openJobs() } } });
    m_ownership.stop();
    m_dispatcher.drain(m_stopBegan + m_settings.drainTime, m_now);
    m_home.shortenDeadlines(m_stopBegan + m_settings.answerDeadline);
    advance();
}

void DispatchNode::Impl::advanceStop()
{
    const Duration elapsed = m_now - m_stopBegan;
    const bool late = elapsed >= m_settings.exitDeadline;
    if (!m_closing && (elapsed >= m_settings.balancerRemovalTime || late)) {
        m_closing = true;
        m_callers->closeAfterAnswers();
    }
    const bool isIdle = m_home.openJobs() == 0 && m_callers->isIdle() && !m_ownership.isMember();
    if (m_withdrawing || !m_closing || (!isIdle && !late)) {
        return;
    }
    m_withdrawing = true;
    m_log.changed("planned stop ends",
                  { { "open_jobs", std::uint64_t { m_home.openJobs() } },
                    { "ms", static_cast<std::uint64_t>(elapsed.count() / 1000) } });
    m_store->deregisterInstance(m_settings.self.name, m_stopped);
}

DispatchNode::DispatchNode(const NodeSettings &settings, TargetCommands &orders, Metrics &metrics, std::uint64_t random)
    : m_impl(std::make_unique<Impl>(settings, orders, metrics, random))
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

CommandResultHandler &DispatchNode::orderEvents()
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
