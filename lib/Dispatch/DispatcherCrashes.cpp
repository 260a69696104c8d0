/// @file
/// Lost targets: which runs were at work on them, and whether they have crashed.
#include "DispatcherImpl.h"

namespace Eelgrasscleat
{

void Dispatcher::Impl::recordLoss(OwnedTarget &target, Instant now)
{
    const TargetTracker &tracker = target.tracker;
    if (tracker.target().draining) {
        return; // It has announced that it leaves.
    }
    std::vector<CrashHistory::RunAtWork> runs;
    for (const auto &it : tracker.runs()) {
        if (it.second.inspectionAtStopAck) {
            continue; // It had been stopped.
        }
        const double ms = std::chrono::duration<double, std::milli>(now - it.second.dispatchedAt).count();
        m_observer.runDecided("target_lost", it.first, tracker.target().name, ms);
        runs.push_back({ it.first.task, it.second.dispatchedAt });
    }
    m_crashes.targetLost(tracker.target(), tracker.incarnation(), runs, now);
}

/// The target was back before it was noticed to be unreachable.
void Dispatcher::Impl::recordRestart(OwnedTarget &target, const ReportChanges &changes, Instant now)
{
    const TargetName &name = target.tracker.target().name;
    std::vector<CrashHistory::RunAtWork> runs;
    for (const auto &it : changes.missing) {
        m_observer.runDecided("target_lost", it.first, name, 0);
        runs.push_back({ it.first.task, it.second.dispatchedAt });
    }
    for (const RunName &it : changes.uncertain) {
        if (const TrackedRun *run = target.tracker.findRun(it); run != nullptr && !run->inspectionAtStopAck) {
            m_observer.runDecided("target_lost", it, name, 0);
            runs.push_back({ it.task, run->dispatchedAt });
        }
    }
    m_crashes.targetLost(target.tracker.target(), changes.previousIncarnation, runs, now);
}

void Dispatcher::Impl::targetListed(const DispatchTarget &target, Instant now)
{
    crashAttributed(m_crashes.targetListed(target, now), now);
}

void Dispatcher::Impl::crashAttributed(const std::optional<TargetCrash> &crash, Instant)
{
    if (crash) {
        m_observer.targetCrashed(*crash);
    }
}

} // namespace Eelgrasscleat
