/// @file
/// Event processing of the decision thread.
#include "CoreRunner.h"

#include <eelgrasscleat/Wire/JsonCodec.h>

#include <prometheus/counter.h>

#include <cassert>
#include <functional>
#include <random>
#include <utility>

namespace Eelgrasscleat
{

/// Interval between calls of EntryCore::tick().
static constexpr std::chrono::milliseconds TickInterval { 10 };

/// Interval between snapshots of the status.
static constexpr Duration StatusInterval = std::chrono::milliseconds(500);

/// Maximum number of events taken from one ring before the next ring is processed.
static constexpr int MaxEventsPerRound = 256;

static ClockReading readClocks()
{
    return ClockReading { std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()),
                          std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()) };
}

static std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

CoreRunner::CoreRunner(const schema::EntrySettings &settings,
                       IncarnationId self,
                       EventRings &events,
                       ActionRings &actions,
                       CoreFlags &flags,
                       Metrics &metrics)
    : m_events(events)
    , m_rings(actions)
    , m_flags(flags)
    , m_metrics(metrics)
    , m_observer(metrics)
    , m_core(settings, self, randomSeed(), m_observer, readClocks().now)
{
    m_timer.setTimerType(Qt::PreciseTimer);
    m_timer.setInterval(TickInterval);
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { tick(); });
    m_timer.start();
}

bool CoreRunner::processRing(EventRing &ring, const ClockReading &clock)
{
    ring.acknowledgeWake();
    CoreEvent event;
    for (int n = 0; n < MaxEventsPerRound; ++n) {
        if (!ring.tryPop(event)) {
            return false;
        }
        m_core.handle(event, clock, m_actions);
    }
    return true;
}

void CoreRunner::processEvents()
{
    bool more = true;
    while (more) {
        const ClockReading clock = readClocks();
        // Outcomes of attempts are handled first: they release slots and permits that queued tasks need.
        more = false;
        for (const auto &it : m_events.fromTargets) {
            more = processRing(*it, clock) || more;
        }
        more = processRing(m_events.fromPeers, clock) || more;
        more = processRing(m_events.fromPlatform, clock) || more;
        more = processRing(m_events.fromCallers, clock) || more;
        m_core.startQueuedTasks(clock, m_actions);
        dispatchActions();
    }
}

void CoreRunner::tick()
{
    const ClockReading clock = readClocks();
    m_core.tick(clock, m_actions);
    m_core.startQueuedTasks(clock, m_actions);
    dispatchActions();
    m_flags.ready.store(m_core.isReady(clock));
    m_flags.stopped.store(m_core.isStopped());
    publishStatus(clock);
}

void CoreRunner::beginStop()
{
    m_core.beginStop(readClocks(), m_actions);
    dispatchActions();
    m_flags.ready.store(false);
}

void CoreRunner::publishStatus(const ClockReading &clock)
{
    if (clock.now < m_nextStatus) {
        return;
    }
    m_nextStatus = clock.now + StatusInterval;
    StatusSnapshot snapshot { m_core.isReady(clock), toJson(m_core.status(clock)) };
    if (!m_rings.toOperators.tryPush(std::move(snapshot))) {
        // The operators' thread lags behind; the next snapshot supersedes this one.
        return;
    }
}

void CoreRunner::dispatchActions()
{
    for (CoreAction &it : m_actions) {
        dispatchAction(it);
    }
    m_actions.clear();
}

void CoreRunner::dispatchAction(CoreAction &action)
{
    bool pushed = true;
    if (auto *answer = std::get_if<AnswerCaller>(&action)) {
        pushed = m_rings.toCallers.tryPush(std::move(*answer));
        assert(pushed && "the ring holds an answer for each pending request");
    } else if (auto *start = std::get_if<StartOnTarget>(&action)) {
        // A target is always assigned to the same thread, which owns its connections.
        const std::size_t threadIndex = std::hash<TargetName>()(start->target) % m_rings.toTargets.size();
        pushed = m_rings.toTargets[threadIndex]->tryPush(std::move(*start));
        assert(pushed && "the ring holds as many starts as there can be attempts in flight");
    } else if (auto *append = std::get_if<AppendToLog>(&action)) {
        pushed = m_rings.toPlatform.tryPush(std::move(*append));
        assert(pushed && "the ring holds all calls of the platform that can be in flight");
    } else if (auto *read = std::get_if<ReadFromLog>(&action)) {
        pushed = m_rings.toPlatform.tryPush(PlatformAction(*read));
        assert(pushed && "the ring holds all calls of the platform that can be in flight");
    } else if (std::holds_alternative<ReadInstanceList>(action)) {
        pushed = m_rings.toPlatform.tryPush(ReadInstanceList {});
        assert(pushed && "the ring holds all calls of the platform that can be in flight");
    } else if (auto *message = std::get_if<SendToPeer>(&action)) {
        if (!m_rings.toPeers.tryPush(std::move(*message))) {
            m_metrics.counter("eelgrasscleat_events_dropped_total", "ring", "to_peers", "Events that found a full ring")
                .Increment();
        }
    }
    static_cast<void>(pushed);
}

} // namespace Eelgrasscleat
