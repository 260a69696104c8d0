/// @file
/// Starting and stopping of runs, and the handling of command results and ends of runs.
#include "DispatcherImpl.h"

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Maximum number of unanswered stop commands for one run: each occupies a connection until it times out.
constexpr std::uint32_t kMaxStopsInFlight = 2;
/// Time for which a target gets no start after it has rejected one without effect.
constexpr Duration kRejectionPause = std::chrono::milliseconds(300);
/// Run numbers skipped after a target has rejected one as stale; runs of earlier submissions used only a few.
constexpr std::uint32_t kRunNumberSkip = 4;

PlacementOutcome outcomeOf(RunEndKind kind)
{
    return kind == RunEndKind::Done ? PlacementOutcome::Done : PlacementOutcome::Failed;
}

} // namespace

OwnedTarget *Dispatcher::Impl::find(const TargetName &name)
{
    const auto it = m_targets.find(name);
    return it == m_targets.end() ? nullptr : it->second.get();
}

/// Callers resubmit a job some time after its home was last heard from or its end was reported. No run of it may be
/// active then, so a lease is counted from the earlier of the two, also while stop commands go unanswered.
Instant Dispatcher::Impl::leasedSince(const OwnedTarget &target, Instant now) const
{
    Instant oldest = now;
    for (const auto &it : target.tracker.runs()) {
        if (it.second.leasedSince) {
            oldest = std::min(oldest, *it.second.leasedSince);
        } else if (!it.second.home.isEmpty()) {
            oldest = std::min(oldest, lastContact(it.second.home));
        }
    }
    return oldest;
}

void Dispatcher::Impl::startRun(OwnedTarget &target, ActiveJob &job, const TaskName &task, bool isolated, Instant now)
{
    const JobStep &step = job.request.steps[task.step];
    TaskEntry &entry = job.entry(task);
    RecentJob &recent = m_recentJobs[job.request.id];
    entry.run = std::max(entry.run + 1, recent.lastRunNumber + (entry.run == 0 ? 1 : 0));
    recent.lastUsedAt = now;
    TrackedRun run;
    run.job = job.number;
    run.demand = step.demand;
    run.home = job.origin.home;
    run.isolated = isolated;
    run.dispatchedAt = now;
    run.callerEstimate = step.estimate;
    run.expectedLogRun = m_jobTable.sizes(job.request.route).expectedLogRun(step.estimate);
    const RunName name { task, entry.run };
    TrackedRun &added = target.tracker.addRun(name, run);
    m_jobTable.setState(job, task, TaskState::Dispatched);
    m_jobTable.recordStart(job, step, target.tracker.speed.slowness(), now);
    ++job.possibleRuns;
    if (m_health.state(target.healthIndex) == HealthState::Ejected) {
        m_health.recordProbeStart(target.healthIndex);
    }
    m_observer.runDecided("start", name, target.tracker.target().name, target.tracker.speed.slowness());
    sendStart(target, job, name, added, now);
    if (target.tracker.inspections.empty()) {
        inspect(target, now);
    }
}

void Dispatcher::Impl::sendStart(
    OwnedTarget &target, const ActiveJob &job, const RunName &name, TrackedRun &run, Instant now)
{
    ++run.startsSent;
    ++run.startsInFlight;
    StartCommand command;
    command.target = target.tracker.targetAddress();
    command.token = target.tracker.token();
    command.run = name;
    command.payload = &job.request.payload;
    command.leaseEnd = target.tracker.extendLease(m_policy.leaseLength, leasedSince(target, now), now);
    command.responseTimeout = m_pacer.responseTimeout();
    m_pacer.startSent();
    m_commands.start(command);
}

/// Resends an unanswered start command once with the same run number. The command is idempotent: a target that executed
/// the first one confirms it. Otherwise the run starts now instead of being stopped and started elsewhere. Not for a
/// run that may have crashed the target: the command would crash the target's next life.
void Dispatcher::Impl::repeatStart(OwnedTarget &target, const RunName &name, TrackedRun &run, Instant now)
{
    const ActiveJob *job = m_jobTable.find(run.job);
    if (job == nullptr || run.isolated || run.startsSent > 1 || now - run.dispatchedAt < m_pacer.retryDelay()) {
        return;
    }
    if (now - lastContact(run.home) > m_policy.homeStartTimeout || !mayStart(now)) {
        return;
    }
    m_observer.runDecided("start_repeated", name, target.tracker.target().name, 0);
    sendStart(target, *job, name, run, now);
}

void Dispatcher::Impl::stopRun(OwnedTarget &target, const RunName &name, TrackedRun &run, Instant now)
{
    run.state = RunState::Stopping;
    if (run.stopsInFlight >= kMaxStopsInFlight) {
        return;
    }
    ++run.stopsInFlight;
    constexpr std::uint32_t kMaxDoublings = 4;
    run.nextStopAt = now + m_pacer.retryDelay() * (1U << std::min(run.stopsSent, kMaxDoublings));
    ++run.stopsSent;
    m_observer.runDecided("stop", name, target.tracker.target().name, run.progress);
    m_commands.stop({ target.tracker.targetAddress(), target.tracker.token(), name, m_pacer.responseTimeout() });
}

void Dispatcher::Impl::removeStoppingRun(const JobId &id)
{
    const auto it = m_recentJobs.find(id);
    if (it != m_recentJobs.end() && it->second.stoppingRuns > 0) {
        --it->second.stoppingRuns;
    }
}

void Dispatcher::Impl::requeue(const TargetName &target, const RunName &name, const TrackedRun &run)
{
    ActiveJob *job = m_jobTable.find(run.job);
    if (job == nullptr) {
        return;
    }
    TaskEntry &entry = job->entry(name.task);
    if (entry.state == TaskState::Dispatched && entry.run == name.run) {
        entry.lastTarget = target;
        m_jobTable.setState(*job, name.task, TaskState::Ready);
    }
}

/// A run is confirmed not to be active. Its task may be restarted.
void Dispatcher::Impl::runTerminated(
    OwnedTarget &target, const RunName &name, const TrackedRun &run, bool hadNoEffect, Instant now)
{
    RecentJob &recent = m_recentJobs[name.task.job];
    recent.lastRunNumber = std::max(recent.lastRunNumber, name.run);
    recent.lastUsedAt = now;
    ActiveJob *job = m_jobTable.find(run.job);
    if (job == nullptr) {
        removeStoppingRun(name.task.job);
        return;
    }
    if (hadNoEffect && job->possibleRuns > 0) {
        --job->possibleRuns;
    }
    requeue(target.tracker.target().name, name, run);
}

/// A command was not answered. Indicates message loss if the target is otherwise reachable.
void Dispatcher::Impl::recordNoResponse(OwnedTarget &target, const CommandResult &result, Instant now)
{
    if (result.connectionClosed) {
        target.tracker.connectionClosedAt = now;
    }
    if (result.status == CommandStatus::NoResponse && target.tracker.reachable) {
        m_lossyUntil = now + m_policy.lossyPeriod;
    }
}

void Dispatcher::Impl::updateHealth(OwnedTarget &target, PlacementOutcome outcome, Instant now)
{
    const bool probe = m_health.state(target.healthIndex) == HealthState::Probing;
    const HealthState before = m_health.state(target.healthIndex);
    m_health.recordOutcome(target.healthIndex, outcome, probe, now);
    const HealthState after = m_health.state(target.healthIndex);
    if (before != after) {
        m_observer.targetChanged(
            after == HealthState::Serving ? "restored" : "ejected", target.tracker.target().name, 0);
    }
}

/// A target that is down doesn't slow down the commands to others, but if most are unreachable, this instance or its
/// link may be the cause.
void Dispatcher::Impl::recordUnanswered(const OwnedTarget &target, Instant now)
{
    const auto unreachable = static_cast<std::size_t>(std::count_if(
        m_targets.begin(), m_targets.end(), [](const auto &it) { return !it.second->tracker.reachable; }));
    if (target.tracker.reachable || unreachable * 2 > m_targets.size()) {
        m_pacer.unanswered(now);
    }
}

void Dispatcher::Impl::recordResponseTime(const OwnedTarget &target,
                                          const TrackedRun &run,
                                          const CommandResult &result,
                                          Instant now)
{
    if (result.status == CommandStatus::NoResponse) {
        recordUnanswered(target, now);
    } else if (result.status != CommandStatus::NotSent && run.startsSent == 1) {
        m_pacer.answered(now - run.dispatchedAt, now);
    }
}

void Dispatcher::Impl::startAnswered(const TargetName &name,
                                     const RunName &runName,
                                     const CommandResult &result,
                                     Instant now)
{
    const bool wasLimited = !m_pacer.mayStart();
    m_pacer.startEnded();
    OwnedTarget *target = find(name);
    if (target == nullptr) {
        return;
    }
    if (result.hasClock) {
        target->tracker.sampleClock(result.clock, now);
    }
    TrackedRun *run = target->tracker.findRun(runName);
    if (run == nullptr) {
        return; // The end of the run was reported before the result of its start.
    }
    recordResponseTime(*target, *run, result, now);
    run->startsInFlight -= std::min(run->startsInFlight, 1U);
    if (result.status == CommandStatus::Accepted) {
        if (run->state == RunState::Starting) {
            run->state = RunState::Running;
            run->startedAt = now;
            run->progressedAt = now;
        }
        if (wasLimited) {
            placeWaiting(now);
        }
        return;
    }
    m_observer.runDecided(commandStatusName(result.status), runName, name, 0);
    recordNoResponse(*target, result, now);
    if (result.status == CommandStatus::NoResponse || run->startsSent > 1) {
        // The other start command may have been executed, or may still be.
        if (run->state == RunState::Starting && run->startsInFlight == 0) {
            stopRun(*target, runName, *run, now);
        }
    } else {
        const TrackedRun removed = *run;
        target->tracker.removeRun(runName);
        runTerminated(*target, runName, removed, true, now);
    }
    handleStartRejection(*target, runName, result.status, now);
    placeWaiting(now);
}

/// Updates the target's state and the run numbers after a start was not accepted.
void Dispatcher::Impl::handleStartRejection(OwnedTarget &target, const RunName &name, CommandStatus status, Instant now)
{
    switch (status) {
    case CommandStatus::Fenced:
        fenceTarget(target, now);
        break;
    case CommandStatus::StaleRun: {
        RecentJob &recent = m_recentJobs[name.task.job];
        recent.lastRunNumber = std::max(recent.lastRunNumber, name.run) + kRunNumberSkip;
        break;
    }
    case CommandStatus::NotSent:
    case CommandStatus::Rejected:
    case CommandStatus::InsufficientCapacity:
        target.tracker.pausedUntil = now + kRejectionPause;
        updateHealth(target, PlacementOutcome::Refused, now);
        break;
    case CommandStatus::IncarnationMismatch:
        target.tracker.inspected = false;
        break;
    default:
        break;
    }
}

void Dispatcher::Impl::stopAnswered(const TargetName &name,
                                    const RunName &runName,
                                    const CommandResult &result,
                                    Instant now)
{
    OwnedTarget *target = find(name);
    if (target == nullptr) {
        return;
    }
    if (result.hasClock) {
        target->tracker.sampleClock(result.clock, now);
    }
    TrackedRun *run = target->tracker.findRun(runName);
    if (run == nullptr) {
        return;
    }
    run->stopsInFlight -= std::min(run->stopsInFlight, 1U);
    recordNoResponse(*target, result, now);
    if (result.status == CommandStatus::Accepted) {
        run->inspectionAtStopAck = m_lastInspection;
        // Only a report requested from now on confirms that the run is not active.
        if (target->tracker.inspections.size() < kMaxInspectionsInFlight) {
            inspect(*target, now);
        }
    } else if (result.status == CommandStatus::Fenced) {
        fenceTarget(*target, now);
    }
}

void Dispatcher::Impl::applyReportChanges(OwnedTarget &target, const ReportChanges &changes, Instant now)
{
    const TargetName &name = target.tracker.target().name;
    if (changes.restarted) {
        m_observer.targetChanged("restarted", name, 0);
    }
    for (const auto &it : changes.ended) {
        runEnded(target, it, now);
    }
    for (const auto &it : changes.missing) {
        m_observer.runDecided("vanished", it.first, name, it.second.progress);
        runTerminated(target, it.first, it.second, false, now);
    }
    for (const RunName &it : changes.uncertain) {
        if (TrackedRun *run = target.tracker.findRun(it)) {
            stopRun(target, it, *run, now);
        }
    }
    for (const RunName &it : changes.unknown) {
        if (TrackedRun *run = target.tracker.findRun(it)) {
            m_observer.runDecided("unknown", it, name, 0);
            ++m_recentJobs[it.task.job].stoppingRuns;
            target.tracker.assumeLease(m_policy.leaseLength, now);
            stopRun(target, it, *run, now);
        }
    }
}

void Dispatcher::Impl::runEnded(OwnedTarget &target, const ReportChanges::End &end, Instant now)
{
    const TargetName &name = target.tracker.target().name;
    m_observer.runDecided(runEndKindName(end.kind),
                          end.run,
                          name,
                          std::chrono::duration<double, std::milli>(now - end.record.dispatchedAt).count());
    ActiveJob *job = m_jobTable.find(end.record.job);
    const bool isCurrent = job != nullptr && job->entry(end.run.task).run == end.run.run
        && job->entry(end.run.task).state == TaskState::Dispatched;
    if (end.kind == RunEndKind::Done || end.kind == RunEndKind::Failed) {
        updateHealth(target, outcomeOf(end.kind), now);
    }
    if (!isCurrent) {
        runTerminated(target, end.run, end.record, false, now);
        return;
    }
    if (end.kind == RunEndKind::Done) {
        runDone(target, *job, end, now);
        return;
    }
    runTerminated(target, end.run, end.record, false, now);
    if (end.kind == RunEndKind::Failed) {
        runFailed(*job, end.run.task, now);
    }
}

/// Records the time that a run took, and learns from all of its step when it was the last one.
void Dispatcher::Impl::recordRunTime(const TargetName &target,
                                     ActiveJob &job,
                                     const ReportChanges::End &end,
                                     Instant now)
{
    if (end.record.startedAt == Instant {}) {
        return; // The start command may have been carried out late.
    }
    const auto micros = static_cast<double>((now - end.record.startedAt).count());
    const std::uint32_t step = end.run.task.step;
    std::vector<EndedRun> &ended = job.endedRuns[step];
    ended.push_back({ target, std::log(std::max(1.0, micros)) });
    if (ended.size() == job.steps[step].size()) {
        learnFromStep(job.request.route, end.record.callerEstimate, ended);
    }
}

void Dispatcher::Impl::learnFromStep(const RouteName &route, Duration estimate, const std::vector<EndedRun> &ended)
{
    SizeModel &sizes = m_jobTable.sizes(route);
    const double expected = sizes.expectedLogRun(estimate);
    std::vector<MeasuredRun> runs;
    for (const EndedRun &it : ended) {
        if (OwnedTarget *target = find(it.target)) {
            runs.push_back({ &target->tracker.speed, it.logRun - expected });
        }
    }
    if (runs.empty()) {
        return; // All its targets were released.
    }
    const StepSize size = SpeedTable::learn(runs, sizes.noiseVariance(estimate), sizes.taskVariance());
    sizes.addSample(estimate, expected + size.error);
    if (runs.size() > 1) {
        sizes.addTaskVariance(size.taskVariance);
    }
}

void Dispatcher::Impl::runDone(OwnedTarget &target, ActiveJob &job, const ReportChanges::End &end, Instant now)
{
    recordRunTime(target.tracker.target().name, job, end, now);
    m_jobTable.setState(job, end.run.task, TaskState::Done);
    RecentJob &recent = m_recentJobs[job.request.id];
    recent.lastRunNumber = std::max(recent.lastRunNumber, end.run.run);
    recent.lastUsedAt = now;
    if (job.remainingTasks == 0) {
        endJob(job, JobOutcome::Complete, JobEndReason::None, now);
        return;
    }
    m_jobTable.unblock(job);
}

void Dispatcher::Impl::runFailed(ActiveJob &job, const TaskName &task, Instant now)
{
    TaskEntry &entry = job.entry(task);
    ++entry.failures;
    if (entry.failures >= job.request.attempts) {
        terminateJob(job, JobOutcome::Failed, JobEndReason::AttemptsExhausted, now);
    }
}

} // namespace Eelgrasscleat
