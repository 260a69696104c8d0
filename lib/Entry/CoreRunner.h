/// @file
/// Main loop of the decision thread: passes events from the rings to EntryCore and its actions to the other threads.
#pragma once

#include "MetricsObserver.h"
#include "Rings.h"

#include <eelgrasscleat/Entry/EntryCore.h>

#include <QTimer>

#include <atomic>
#include <memory>

namespace Eelgrasscleat
{

/// State of EntryCore that other threads may read at any time.
struct CoreFlags
{
    std::atomic<bool> ready { false };
    std::atomic<bool> stopped { false };
};

/// Drives EntryCore. All methods run on the decision thread.
class CoreRunner
{
public:
    CoreRunner(const schema::EntrySettings &settings,
               IncarnationId self,
               EventRings &events,
               ActionRings &actions,
               CoreFlags &flags,
               Metrics &metrics);

    /// Handles all queued events.
    void processEvents();
    /// Begins a planned stop.
    void beginStop();

private:
    bool processRing(EventRing &ring, const ClockReading &clock);
    void tick();
    void dispatchActions();
    void dispatchAction(CoreAction &action);
    void publishStatus(const ClockReading &clock);

    EventRings &m_events;
    ActionRings &m_rings;
    CoreFlags &m_flags;
    Metrics &m_metrics;
    MetricsObserver m_observer;
    EntryCore m_core;
    CoreActions m_actions;
    QTimer m_timer;
    Instant m_nextStatus;
};

} // namespace Eelgrasscleat
