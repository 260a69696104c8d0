/// @file
/// Ownership of targets, and their inspections.
#include "DispatcherImpl.h"

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Delay before a failed inspection is retried, doubled with each failure up to the maximum.
constexpr Duration kMinInspectRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxInspectRetryDelay = std::chrono::milliseconds(800);
/// A target counts as unreachable after this many failed inspections in a row, also while another one is in flight: a
/// silent target always has one.
constexpr std::uint32_t kFailuresUntilUnreachable = 2;
/// Delay before ends of runs are acknowledged on a target without runs, which has no inspection in flight anyway.
constexpr Duration kAcknowledgeDelay = std::chrono::milliseconds(200);
/// A run that exceeds its expected run time by this factor is checked for a stall.
constexpr double kOverdueFactor = 2.0;
/// Minimum time without progress that counts as a stall: targets report the progress of long tasks in whole percent.
constexpr Duration kStallTimeout = std::chrono::milliseconds(250);

} // namespace

void Dispatcher::Impl::targetOwned(const DispatchTarget &target, FencingToken token, Instant now)
{
    if (OwnedTarget *owned = find(target.name)) {
        const bool wasDraining = owned->tracker.target().draining;
        const ResourceDemand capacity = owned->tracker.target().capacity;
        owned->tracker.update(target);
        owned->tracker.speed.setKind(m_speeds.kindOf(target));
        if (target.draining != wasDraining) {
            m_observer.targetChanged(target.draining ? "draining" : "ready", target.name, target.incarnation);
        }
        if (target.capacity != capacity) {
            m_observer.targetChanged("capacity", target.name, target.capacity.milliCores);
        }
        owned->tracker.updateToken(token);
        return;
    }
    TargetIndex index = m_nextIndex;
    if (m_freeIndexes.empty()) {
        ++m_nextIndex;
    } else {
        index = m_freeIndexes.back();
        m_freeIndexes.pop_back();
    }
    m_targets.emplace(target.name, std::make_unique<OwnedTarget>(target, token, m_speeds.kindOf(target), index));
    TargetInfo info;
    info.name = target.name;
    info.service = target.service;
    info.zone = target.zone;
    info.rack = target.rack;
    m_health.add(index, info);
    m_observer.targetChanged("owned", target.name, token.value);
    inspect(*find(target.name), now);
}

void Dispatcher::Impl::targetReleased(const TargetName &target, Instant now)
{
    OwnedTarget *owned = find(target);
    if (owned == nullptr) {
        return;
    }
    abandonRuns(*owned, now);
    m_observer.targetChanged("released", target, owned->tracker.token().value);
    m_health.releaseIndex(owned->healthIndex);
    m_freeIndexes.push_back(owned->healthIndex);
    m_targets.erase(target);
}

/// Abandons the jobs of all runs on a target that can no longer be tracked. The runs may continue until their lease
/// expires, so they are not restarted elsewhere: callers resubmit only after that.
void Dispatcher::Impl::abandonRuns(OwnedTarget &target, Instant now)
{
    auto runs = std::move(target.tracker.runs());
    target.tracker.runs().clear();
    for (const auto &it : runs) {
        if (m_jobTable.find(it.second.job) == nullptr) {
            removeStoppingRun(it.first.task.job);
        }
    }
    for (const auto &it : runs) {
        if (ActiveJob *job = m_jobTable.find(it.second.job)) {
            terminateJob(*job, JobOutcome::Abandoned, JobEndReason::TargetsLost, now);
        }
    }
}

/// No run is active on the target any more: their tasks may be restarted.
/// @param decision for the log
void Dispatcher::Impl::endRuns(OwnedTarget &target, std::string_view decision, Instant now)
{
    const auto runs = std::move(target.tracker.runs());
    target.tracker.runs().clear();
    for (const auto &it : runs) {
        m_observer.runDecided(decision, it.first, target.tracker.target().name, it.second.progress);
        runTerminated(target, it.first, it.second, false, now);
    }
}

/// Handles the higher token of another owner, which now owns all targets that were owned under @p target's token. This
/// includes targets that it has not contacted yet: after a restart, which resets the highest token seen, they would
/// accept commands of both owners.
void Dispatcher::Impl::fenceTarget(OwnedTarget &target, Instant now)
{
    if (target.tracker.fenced) {
        return;
    }
    const FencingToken token = target.tracker.token();
    m_observer.tokenFenced(token, target.tracker.target().name);
    for (const auto &it : m_targets) {
        if (it.second->tracker.token() <= token) {
            it.second->tracker.fenced = true;
            abandonRuns(*it.second, now);
        }
    }
}

/// Renews the lease, unless a run that must end keeps it from being extended.
void Dispatcher::Impl::renewLease(OwnedTarget &target, InspectCommand &command, Instant now)
{
    TargetTracker &tracker = target.tracker;
    const TargetTime granted = tracker.leaseEnd();
    command.leaseEnd = tracker.extendLease(m_policy.leaseLength, leasedSince(target, now), now);
    command.renew = command.leaseEnd > granted || !tracker.hasRunLeasedBefore(now);
    if (command.renew == tracker.isRenewing) {
        return;
    }
    tracker.isRenewing = command.renew;
    m_observer.targetChanged(command.renew ? "renewed" : "not_renewed", tracker.target().name, tracker.runs().size());
}

void Dispatcher::Impl::inspect(OwnedTarget &target, Instant now)
{
    TargetTracker &tracker = target.tracker;
    InspectCommand command;
    command.target = tracker.targetAddress();
    command.token = tracker.token();
    command.acknowledged = tracker.lastEnd();
    // Each renewal postpones the time at which the runs count as ended if the target is lost. So none is sent until the
    // last one has been answered.
    const bool isAnswering = tracker.failures == 0 && tracker.inspections.empty();
    if (isAnswering && !tracker.runs().empty() && tracker.hasClock() && tracker.inspected) {
        renewLease(target, command, now);
        const bool stopping = std::any_of(tracker.runs().begin(), tracker.runs().end(), [](const auto &it) {
            return it.second.state == RunState::Stopping;
        });
        const auto maxWait = now < m_lossyUntil ? m_policy.inspectWaitUnderLoss : m_policy.inspectWait;
        command.wait = stopping ? maxWait / 10 : maxWait;
    }
    command.number = ++m_lastInspection;
    tracker.inspections.emplace(command.number, SentInspection { command.number, now, command.wait.count() == 0 });
    command.responseTimeout = m_pacer.responseTimeout();
    tracker.inspectOverdueAt = now + command.wait + m_pacer.retryDelay();
    m_commands.inspect(command);
}

void Dispatcher::Impl::inspected(
    const TargetName &name, std::uint64_t number, const TargetReport &report, const CommandResult &result, Instant now)
{
    OwnedTarget *target = find(name);
    if (target == nullptr) {
        return;
    }
    TargetTracker &tracker = target->tracker;
    const auto inspection = tracker.inspections.find(number);
    if (inspection == tracker.inspections.end()) {
        return; // Sent during an earlier ownership of the target.
    }
    const SentInspection sent = inspection->second;
    tracker.inspections.erase(inspection);
    if (sent.isPrompt) {
        m_pacer.answered(now - sent.sentAt, now);
    }
    if (result.hasClock && tracker.isOutdated(report, result.clock, sent.sentAt)) {
        return;
    }
    tracker.failures = 0;
    if (!tracker.reachable) {
        m_observer.targetChanged("reachable", name, 0);
    }
    tracker.reachable = true;
    const std::uint64_t acknowledged = tracker.lastEnd();
    const Instant lastAnsweredAt = tracker.lastAnsweredAt();
    const ReportChanges changes = tracker.reconcile(report, result.clock, sent, now);
    if (result.hasClock) {
        tracker.sampleClock(result.clock, now);
    }
    tracker.acknowledged = changes.restarted ? 0 : acknowledged;
    tracker.inspected = true;
    if (changes.restarted) {
        recordRestart(*target, changes, report, lastAnsweredAt, now);
    }
    applyReportChanges(*target, changes, now);
    crashAttributed(m_crashes.targetAnswered(name, tracker.incarnation(), now), now);
    checkProgress(*target, now);
    placeWaiting(now);
    if (!tracker.inspections.empty()) {
        return; // A run started above has already triggered the next inspection.
    }
    if (!tracker.runs().empty()) {
        inspect(*target, now);
    } else if (tracker.lastEnd() > tracker.acknowledged) {
        tracker.nextInspectAt = now + kAcknowledgeDelay;
    } else {
        tracker.nextInspectAt = now + m_policy.idleInspectInterval;
    }
}

/// Stops stalled runs so that their tasks are restarted elsewhere. A run that takes longer than expected but makes
/// progress is left alone: it would take as long on another target.
void Dispatcher::Impl::checkProgress(OwnedTarget &target, Instant now)
{
    const double slowness = target.tracker.speed.slowness();
    for (auto &it : target.tracker.runs()) {
        TrackedRun &run = it.second;
        if (run.state != RunState::Running) {
            continue;
        }
        const double expected = std::exp(run.expectedLogRun) * slowness;
        const bool overdue = static_cast<double>((now - run.startedAt).count()) > kOverdueFactor * expected;
        const bool isStalled = now - run.progressedAt > kStallTimeout;
        if (overdue && isStalled) {
            updateHealth(target, PlacementOutcome::Failed, now);
            stopRun(target, it.first, run, now);
        }
    }
}

void Dispatcher::Impl::inspectionFailed(const TargetName &name,
                                        std::uint64_t number,
                                        const CommandResult &result,
                                        Instant now)
{
    OwnedTarget *target = find(name);
    if (target == nullptr || target->tracker.inspections.erase(number) == 0) {
        return;
    }
    TargetTracker &tracker = target->tracker;
    recordNoResponse(*target, result, now);
    if (result.status == CommandStatus::NoResponse) {
        recordUnanswered(*target, now);
    }
    ++tracker.failures;
    const bool isSingleLoss =
        result.status == CommandStatus::NoResponse && tracker.failures < kFailuresUntilUnreachable;
    if (isSingleLoss && !tracker.inspections.empty()) {
        return; // Wait for the result of the inspection sent since.
    }
    const Duration minDelay = std::max(kMinInspectRetryDelay, m_pacer.retryDelay());
    const Duration maxDelay = std::max(kMaxInspectRetryDelay, minDelay);
    tracker.nextInspectAt = now + std::min(maxDelay, minDelay * (1U << std::min(tracker.failures - 1, 4U)));
    if (tracker.failures == 1 && result.status == CommandStatus::NoResponse && !m_pacer.isLossy()) {
        // A single response may have been lost: retry at once, without a long poll.
        inspect(*target, now);
        return;
    }
    if (result.status == CommandStatus::Fenced) {
        fenceTarget(*target, now);
        return;
    }
    if (result.status == CommandStatus::IncarnationMismatch) {
        recordLoss(*target, now);
        endRuns(*target, "vanished", now);
        crashAttributed(m_crashes.targetReplaced(name, now), now);
        tracker.inspected = false;
        return;
    }
    if (tracker.reachable) {
        m_observer.targetChanged("unreachable", name, tracker.failures);
        recordLoss(*target, now);
    }
    tracker.reachable = false;
}

void Dispatcher::Impl::advanceTarget(OwnedTarget &target, Instant now)
{
    TargetTracker &tracker = target.tracker;
    if (tracker.fenced) {
        return;
    }
    for (auto &it : tracker.runs()) {
        TrackedRun &run = it.second;
        if (run.state == RunState::Stopping && !run.inspectionAtStopAck && now >= run.nextStopAt) {
            stopRun(target, it.first, run, now);
        }
        if (run.state == RunState::Starting) {
            repeatStart(target, it.first, run, now);
        }
    }
    if (!tracker.reachable && tracker.isLeaseExpired(now) && !tracker.runs().empty()) {
        // All runs have ended with their lease. Runs reported later nevertheless are unknown, and stopped.
        endRuns(target, "lease_over", now);
        tracker.inspected = false;
    }
    const bool wantsInspection = !tracker.inspected || !tracker.runs().empty() || !tracker.reachable
        || tracker.lastEnd() > tracker.acknowledged || now >= tracker.nextInspectAt;
    const bool isOverdue = tracker.inspections.size() == 1 && now >= tracker.inspectOverdueAt && tracker.reachable
        && !tracker.runs().empty();
    if (isOverdue || (tracker.inspections.empty() && wantsInspection && now >= tracker.nextInspectAt)) {
        inspect(target, now);
    }
}

} // namespace Eelgrasscleat
