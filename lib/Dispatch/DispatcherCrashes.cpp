/// @file
/// Lost targets: which runs were at work on them, whether they have crashed, and which tasks are given up for it.
#include "DispatcherImpl.h"

#include <algorithm>

namespace Eelgrasscleat
{

CrashHistory::LostTarget Dispatcher::Impl::describeLoss(const OwnedTarget &target) const
{
    const TargetTracker &tracker = target.tracker;
    CrashHistory::LostTarget lost;
    lost.life = { tracker.target().name, tracker.incarnation() };
    lost.address = tracker.target().address;
    lost.rack = tracker.target().rack;
    lost.lastAnsweredAt = tracker.lastAnsweredAt();
    lost.closedConnections = tracker.connectionClosedAt > lost.lastAnsweredAt;
    lost.busyRackTargets = static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [&](auto &it) {
        return it.second->tracker.target().rack == lost.rack && !it.second->tracker.runs().empty();
    }));
    return lost;
}

void Dispatcher::Impl::recordLoss(OwnedTarget &target, Instant now)
{
    const TargetTracker &tracker = target.tracker;
    if (tracker.target().draining) {
        return; // It has announced that it leaves.
    }
    CrashHistory::LostTarget lost = describeLoss(target);
    for (const auto &it : tracker.runs()) {
        const double ms = std::chrono::duration<double, std::milli>(now - it.second.dispatchedAt).count();
        m_observer.runDecided("target_lost", it.first, tracker.target().name, ms);
        lost.runs.push_back({ it.first.task, it.second.dispatchedAt, it.second.startedAt != Instant {} });
    }
    m_crashes.targetLost(lost, now);
}

/// The target was back before it was noticed to be unreachable. Runs that it reports, or that were started since the
/// report was requested, may belong to its present life. That life may also have acknowledged a stop of a run that was
/// at work in the previous one.
void Dispatcher::Impl::recordRestart(
    OwnedTarget &target, const ReportChanges &changes, const TargetReport &report, Instant lastAnsweredAt, Instant now)
{
    CrashHistory::LostTarget lost = describeLoss(target);
    lost.life.incarnation = changes.previousIncarnation;
    lost.lastAnsweredAt = lastAnsweredAt;
    lost.closedConnections = true; // It has restarted without being unreachable in between.
    const auto addRun = [&](const RunName &name, const TrackedRun &run, bool isConfirmed) {
        const auto isReported = std::any_of(
            report.running.begin(), report.running.end(), [&name](const ReportedRun &it) { return it.run == name; });
        if (!isReported) {
            m_observer.runDecided("target_lost", name, lost.life.name, 0);
            lost.runs.push_back({ name.task, run.dispatchedAt, isConfirmed });
        }
    };
    for (const auto &it : changes.missing) {
        addRun(it.first, it.second, true);
    }
    for (const RunName &it : changes.uncertain) {
        if (const TrackedRun *run = target.tracker.findRun(it)) {
            addRun(it, *run, false);
        }
    }
    m_crashes.targetLost(lost, now);
}

void Dispatcher::Impl::targetListed(const DispatchTarget &target, Instant now)
{
    crashAttributed(m_crashes.targetListed(target, now), now);
}

void Dispatcher::Impl::crashAttributed(const std::optional<TargetCrash> &crash, Instant now)
{
    if (!crash) {
        return;
    }
    m_observer.targetCrashed(*crash);
    if (!crash->commonCause) {
        giveUpSuspects(*crash, now);
    }
}

bool Dispatcher::Impl::crashLearned(const TargetCrash &crash, Instant now)
{
    const bool isNew = m_crashes.learn(crash, now);
    if (isNew) {
        giveUpSuspects(crash, now);
    }
    return isNew;
}

void Dispatcher::Impl::crashWithdrawn(const TargetLife &target)
{
    m_crashes.forget(target);
}

/// Ends the jobs of tasks that crash their targets.
void Dispatcher::Impl::giveUpSuspects(const TargetCrash &crash, Instant now)
{
    for (const CrashSuspect &it : crash.suspects) {
        ActiveJob *job = m_jobTable.findById(it.task.job);
        if (job != nullptr && isGivenUp(job->request, now)) {
            terminateJob(*job, JobOutcome::Failed, JobEndReason::TargetsCrashed, now);
        }
    }
}

/// @returns whether one of the job's tasks crashes its targets.
bool Dispatcher::Impl::isGivenUp(const JobRequest &request, Instant now) const
{
    if (m_crashes.isEmpty()) {
        return false;
    }
    for (std::uint32_t step = 0; step < request.steps.size(); ++step) {
        const JobStep &tasks = request.steps[step];
        for (std::uint32_t i = 0; i < tasks.tasks; ++i) {
            if (m_crashes.advice({ request.id, step, tasks.firstTask + i }, now) == StartAdvice::GiveUp) {
                return true;
            }
        }
    }
    return false;
}

void Dispatcher::targetListed(const DispatchTarget &target, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->targetListed(target, now);
}

bool Dispatcher::crashLearned(const TargetCrash &crash, Instant now)
{
    m_impl->m_lastNow = now;
    return m_impl->crashLearned(crash, now);
}

void Dispatcher::crashWithdrawn(const TargetLife &target)
{
    m_impl->crashWithdrawn(target);
}

} // namespace Eelgrasscleat
