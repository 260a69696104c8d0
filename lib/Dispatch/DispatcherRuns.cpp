/// @file
/// Starts and stops of runs, and what their answers and ends mean for tasks.
#include "DispatcherImpl.h"

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Most stop orders for one run without an answer: each holds a connection until its time is up.
constexpr std::uint32_t kStopsInFlight = 2;
/// Pause of a target that rejected a start without doing anything.
constexpr Duration kRejectPause = std::chrono::milliseconds(300);
/// Run numbers skipped when a target turned one down: the earlier submission's runs had few.
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

Instant Dispatcher::Impl::quietestHome(const OwnedTarget &target, Instant now) const
{
    Instant quietest = now;
    for (const auto &it : target.ledger.runs()) {
        if (!it.second.home.isEmpty() && it.second.state != RunState::Stopping) {
            quietest = std::min(quietest, heardAt(it.second.home));
        }
    }
    return quietest;
}

void Dispatcher::Impl::startRun(OwnedTarget &target, BoardJob &job, const TaskName &task, Instant now)
{
    const JobStep &step = job.request.steps[task.step];
    BoardTask &entry = job.steps[task.step][task.index];
    RecentRuns &recent = m_recent[job.request.id];
    entry.run = std::max(entry.run + 1, recent.lastRun + (entry.run == 0 ? 1 : 0));
    recent.lastUse = now;
    LedgerRun run;
    run.job = job.number;
    run.demand = step.demand;
    run.home = job.origin.home;
    run.orderedAt = now;
    run.hint = step.estimate;
    SizeModel &sizes = m_board.sizes(job.request.route);
    run.logSize = sizes.expectedLogRun(step.estimate);
    run.sizeVariance = sizes.noiseVariance(step.estimate);
    const RunName name { task, entry.run };
    LedgerRun &added = target.ledger.addRun(name, run);
    m_board.setState(job, task, TaskState::Ordered);
    ++job.mayHaveRun;
    if (m_health.state(target.healthIndex) == HealthState::Ejected) {
        m_health.recordProbeStart(target.healthIndex);
    }
    m_observer.runDecided("start", name, target.ledger.target().name, std::exp(target.ledger.speed.logSlowness()));
    sendStart(target, job, name, added, now);
    if (target.ledger.inspections.empty()) {
        inspect(target, now);
    }
}

void Dispatcher::Impl::sendStart(
    OwnedTarget &target, const BoardJob &job, const RunName &name, LedgerRun &run, Instant now)
{
    ++run.startsSent;
    ++run.startsInFlight;
    StartCommand order;
    order.target = target.ledger.orderTarget();
    order.token = target.ledger.token();
    order.run = name;
    order.payload = &job.request.payload;
    order.leaseEnd = target.ledger.grantLease(m_policy.leaseLength, quietestHome(target, now), now);
    m_commands.start(order);
}

/// Sends a start without an answer once more, under the same run number: a target that has carried out the first one
/// says so, and otherwise the run begins now instead of being stopped and started elsewhere.
void Dispatcher::Impl::repeatStart(OwnedTarget &target, const RunName &name, LedgerRun &run, Instant now)
{
    const BoardJob *job = m_board.find(run.job);
    if (job == nullptr || run.startsSent > 1 || now - run.orderedAt < m_policy.commandRetryDelay) {
        return;
    }
    if (now - heardAt(run.home) > m_policy.homeStartTimeout) {
        return;
    }
    m_observer.runDecided("start_repeated", name, target.ledger.target().name, 0);
    sendStart(target, *job, name, run, now);
}

void Dispatcher::Impl::stopRun(OwnedTarget &target, const RunName &name, LedgerRun &run, Instant now)
{
    run.state = RunState::Stopping;
    if (run.stopsInFlight >= kStopsInFlight) {
        return;
    }
    ++run.stopsInFlight;
    run.nextStopAt = now + m_policy.commandRetryDelay;
    m_observer.runDecided("stop", name, target.ledger.target().name, run.progress);
    m_commands.stop({ target.ledger.orderTarget(), target.ledger.token(), name });
}

void Dispatcher::Impl::forgetDying(const JobId &id)
{
    const auto it = m_recent.find(id);
    if (it != m_recent.end() && it->second.dying > 0) {
        --it->second.dying;
    }
}

void Dispatcher::Impl::requeue(const TargetName &target, const RunName &name, const LedgerRun &run)
{
    BoardJob *job = m_board.find(run.job);
    if (job == nullptr) {
        return;
    }
    BoardTask &entry = job->steps[name.task.step][name.task.index];
    if (entry.state == TaskState::Ordered && entry.run == name.run) {
        entry.lastTarget = target;
        m_board.setState(*job, name.task, TaskState::Ready);
    }
}

/// A run is proved not to be at work. Its task may be started again.
void Dispatcher::Impl::runGone(
    OwnedTarget &target, const RunName &name, const LedgerRun &run, bool hadNoEffect, Instant now)
{
    RecentRuns &recent = m_recent[name.task.job];
    recent.lastRun = std::max(recent.lastRun, name.run);
    recent.lastUse = now;
    BoardJob *job = m_board.find(run.job);
    if (job == nullptr) {
        forgetDying(name.task.job);
        return;
    }
    if (hadNoEffect && job->mayHaveRun > 0) {
        --job->mayHaveRun;
    }
    requeue(target.ledger.target().name, name, run);
}

/// An order to a target that answers others got no answer.
void Dispatcher::Impl::noteLoss(const OwnedTarget &target, Instant now)
{
    if (target.ledger.reachable) {
        m_lossyUntil = now + m_policy.lossyPeriod;
    }
}

void Dispatcher::Impl::learnHealth(OwnedTarget &target, PlacementOutcome outcome, Instant now)
{
    const bool probe = m_health.state(target.healthIndex) == HealthState::Probing;
    const HealthState before = m_health.state(target.healthIndex);
    m_health.recordOutcome(target.healthIndex, outcome, probe, now);
    const HealthState after = m_health.state(target.healthIndex);
    if (before != after) {
        m_observer.targetChanged(
            after == HealthState::Serving ? "restored" : "ejected", target.ledger.target().name, 0);
    }
}

void Dispatcher::Impl::startAnswered(const TargetName &name,
                                     const RunName &runName,
                                     const CommandResult &result,
                                     Instant now)
{
    OwnedTarget *target = find(name);
    if (target == nullptr) {
        return;
    }
    if (result.hasClock) {
        target->ledger.sampleClock(result.clock, now);
    }
    LedgerRun *run = target->ledger.findRun(runName);
    if (run == nullptr) {
        return; // Its end was reported before the start was answered.
    }
    run->startsInFlight -= std::min(run->startsInFlight, 1U);
    if (result.status == CommandStatus::Accepted) {
        if (run->state == RunState::Starting) {
            run->state = RunState::Running;
            run->startedAt = now;
            run->progressedAt = now;
        }
        return;
    }
    m_observer.runDecided(commandStatusName(result.status), runName, name, 0);
    if (result.status == CommandStatus::NoResponse) {
        noteLoss(*target, now);
    }
    if (result.status == CommandStatus::NoResponse || run->startsSent > 1) {
        // The other order may have had, or may yet have, an effect.
        if (run->state == RunState::Starting && run->startsInFlight == 0) {
            stopRun(*target, runName, *run, now);
        }
    } else {
        const LedgerRun gone = *run;
        target->ledger.removeRun(runName);
        runGone(*target, runName, gone, true, now);
    }
    startRejected(*target, runName, result.status, now);
    placeWaiting(now);
}

/// What the rejection of a start says of its target and of later starts.
void Dispatcher::Impl::startRejected(OwnedTarget &target, const RunName &name, CommandStatus answer, Instant now)
{
    switch (answer) {
    case CommandStatus::Fenced:
        fenceTarget(target, now);
        break;
    case CommandStatus::StaleRun: {
        RecentRuns &recent = m_recent[name.task.job];
        recent.lastRun = std::max(recent.lastRun, name.run) + kRunNumberSkip;
        break;
    }
    case CommandStatus::NotSent:
    case CommandStatus::Rejected:
    case CommandStatus::InsufficientCapacity:
        target.ledger.pausedUntil = now + kRejectPause;
        learnHealth(target, PlacementOutcome::Refused, now);
        break;
    case CommandStatus::IncarnationMismatch:
        target.ledger.inspected = false;
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
        target->ledger.sampleClock(result.clock, now);
    }
    LedgerRun *run = target->ledger.findRun(runName);
    if (run == nullptr) {
        return;
    }
    run->stopsInFlight -= std::min(run->stopsInFlight, 1U);
    if (result.status == CommandStatus::NoResponse) {
        noteLoss(*target, now);
    }
    if (result.status == CommandStatus::Accepted) {
        run->stopAnsweredAfter = m_lastInspection;
        // Only a report that was asked for after this proves that the run is gone.
        if (target->ledger.inspections.size() < kInspectionsInFlight) {
            inspect(*target, now);
        }
    } else if (result.status == CommandStatus::Fenced) {
        fenceTarget(*target, now);
    }
}

void Dispatcher::Impl::applyFindings(OwnedTarget &target, const ReportFindings &findings, Instant now)
{
    const TargetName &name = target.ledger.target().name;
    if (findings.restarted) {
        m_observer.targetChanged("restarted", name, 0);
    }
    for (const auto &it : findings.ended) {
        runEnded(target, it, now);
    }
    for (const auto &it : findings.vanished) {
        m_observer.runDecided("vanished", it.first, name, it.second.progress);
        runGone(target, it.first, it.second, false, now);
    }
    for (const RunName &it : findings.unsure) {
        if (LedgerRun *run = target.ledger.findRun(it)) {
            stopRun(target, it, *run, now);
        }
    }
    for (const RunName &it : findings.unknown) {
        if (LedgerRun *run = target.ledger.findRun(it)) {
            m_observer.runDecided("unknown", it, name, 0);
            ++m_recent[it.task.job].dying;
            stopRun(target, it, *run, now);
        }
    }
}

void Dispatcher::Impl::runEnded(OwnedTarget &target, const ReportFindings::End &end, Instant now)
{
    const TargetName &name = target.ledger.target().name;
    m_observer.runDecided(runEndKindName(end.kind),
                          end.run,
                          name,
                          std::chrono::duration<double, std::milli>(now - end.record.orderedAt).count());
    BoardJob *job = m_board.find(end.record.job);
    const bool isCurrent = job != nullptr && job->steps[end.run.task.step][end.run.task.index].run == end.run.run
        && job->steps[end.run.task.step][end.run.task.index].state == TaskState::Ordered;
    if (end.kind == RunEndKind::Done || end.kind == RunEndKind::Failed) {
        learnHealth(target, outcomeOf(end.kind), now);
    }
    if (!isCurrent) {
        runGone(target, end.run, end.record, false, now);
        return;
    }
    if (end.kind == RunEndKind::Done) {
        runDone(target, *job, end, now);
        return;
    }
    runGone(target, end.run, end.record, false, now);
    if (end.kind == RunEndKind::Failed) {
        runFailed(*job, end.run.task, now);
    }
}

void Dispatcher::Impl::runDone(OwnedTarget &target, BoardJob &job, const ReportFindings::End &end, Instant now)
{
    const Instant began = end.record.startedAt == Instant {} ? end.record.orderedAt : end.record.startedAt;
    const double micros = std::max<double>(1, static_cast<double>((now - began).count()));
    const double logRun = std::log(micros);
    target.ledger.speed.addSample(logRun - end.record.logSize, end.record.sizeVariance);
    m_board.sizes(job.request.route).addSample(end.record.hint, logRun - target.ledger.speed.logSlowness());
    m_board.setState(job, end.run.task, TaskState::Done);
    RecentRuns &recent = m_recent[job.request.id];
    recent.lastRun = std::max(recent.lastRun, end.run.run);
    recent.lastUse = now;
    if (job.tasksLeft == 0) {
        endJob(job, JobOutcome::Complete, JobEndReason::None, now);
        return;
    }
    m_board.unblock(job);
}

void Dispatcher::Impl::runFailed(BoardJob &job, const TaskName &task, Instant now)
{
    BoardTask &entry = job.steps[task.step][task.index];
    ++entry.failures;
    if (entry.failures >= job.request.attempts) {
        giveUp(job, JobOutcome::Failed, JobEndReason::AttemptsExhausted, now);
    }
}

} // namespace Eelgrasscleat
