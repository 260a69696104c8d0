/// @file
/// Targets that come and go, and their inspections.
#include "DispatcherImpl.h"

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Pause before an inspection is repeated, doubled at each failure up to the longest.
constexpr Duration kInspectRetry = std::chrono::milliseconds(50);
constexpr Duration kLongestInspectRetry = std::chrono::milliseconds(800);
/// Pause before ends are acknowledged that no run's inspection carries along.
constexpr Duration kAcknowledgeDelay = std::chrono::milliseconds(200);
/// A run that is behind its expected time by this factor is looked at for a standstill.
constexpr double kOverdueFactor = 2.0;
/// Shortest time without progress that counts as a standstill: progress of long tasks is told in whole percents.
constexpr Duration kStandstill = std::chrono::milliseconds(250);

} // namespace

void Dispatcher::Impl::targetOwned(const DispatchTarget &target, FencingToken token, Instant now)
{
    if (OwnedTarget *owned = find(target.name)) {
        const bool wasDraining = owned->ledger.target().draining;
        owned->ledger.update(target);
        if (target.draining != wasDraining) {
            m_observer.targetChanged(target.draining ? "draining" : "ready", target.name, target.incarnation);
        }
        owned->ledger.renewToken(token);
        return;
    }
    TargetIndex index = m_nextIndex;
    if (m_freeIndexes.empty()) {
        ++m_nextIndex;
    } else {
        index = m_freeIndexes.back();
        m_freeIndexes.pop_back();
    }
    m_targets.emplace(target.name, std::make_unique<OwnedTarget>(target, token, index));
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
    loseRuns(*owned, now);
    m_observer.targetChanged("released", target, owned->ledger.token().value);
    m_health.releaseIndex(owned->healthIndex);
    m_freeIndexes.push_back(owned->healthIndex);
    m_targets.erase(target);
}

/// Nothing that ran on the target can be followed any more. Its runs may go on until their lease ends, so their jobs
/// are given up instead of started elsewhere: the caller submits again only after that.
void Dispatcher::Impl::loseRuns(OwnedTarget &target, Instant now)
{
    auto runs = std::move(target.ledger.runs());
    target.ledger.runs().clear();
    for (const auto &it : runs) {
        if (m_board.find(it.second.job) == nullptr) {
            forgetDying(it.first.task.job);
        }
    }
    for (const auto &it : runs) {
        if (BoardJob *job = m_board.find(it.second.job)) {
            giveUp(*job, JobOutcome::Abandoned, JobEndReason::TargetsLost, now);
        }
    }
}

/// Another owner has a higher token than @p target's. It has all targets that are owned under that token, also those
/// that it has not reached yet: one that restarts forgets the fence, and would take orders of both.
void Dispatcher::Impl::fenceTarget(OwnedTarget &target, Instant now)
{
    if (target.ledger.fenced) {
        return;
    }
    const FencingToken token = target.ledger.token();
    m_observer.tokenFenced(token, target.ledger.target().name);
    for (const auto &it : m_targets) {
        if (it.second->ledger.token() <= token) {
            it.second->ledger.fenced = true;
            loseRuns(*it.second, now);
        }
    }
}

void Dispatcher::Impl::inspect(OwnedTarget &target, Instant now)
{
    TargetLedger &ledger = target.ledger;
    InspectCommand order;
    order.target = ledger.orderTarget();
    order.token = ledger.token();
    order.acknowledged = ledger.lastEnd();
    const bool isBusy = !ledger.runs().empty();
    if (isBusy && ledger.hasClock() && ledger.inspected) {
        order.renew = true;
        order.leaseEnd = ledger.grantLease(m_policy.leaseLength, quietestHome(target, now), now);
        const bool stopping = std::any_of(ledger.runs().begin(), ledger.runs().end(), [](const auto &it) {
            return it.second.state == RunState::Stopping;
        });
        const auto longest = now < m_lossyUntil ? m_policy.inspectWaitUnderLoss : m_policy.inspectWait;
        order.wait = stopping ? longest / 10 : longest;
    }
    if (ledger.failures > 0 || !ledger.inspections.empty()) {
        order.wait = std::chrono::milliseconds(0);
    }
    order.number = ++m_lastInspection;
    ledger.inspections.emplace(order.number, now);
    ledger.inspectDueAt = now + order.wait + m_policy.commandRetryDelay;
    m_commands.inspect(order);
}

void Dispatcher::Impl::inspected(
    const TargetName &name, std::uint64_t number, const TargetReport &report, const CommandResult &result, Instant now)
{
    OwnedTarget *target = find(name);
    if (target == nullptr) {
        return;
    }
    TargetLedger &ledger = target->ledger;
    const auto inspection = ledger.inspections.find(number);
    if (inspection == ledger.inspections.end()) {
        return; // Of an earlier ownership of the target.
    }
    const Instant sentAt = inspection->second;
    ledger.inspections.erase(inspection);
    if (result.hasClock && ledger.isOvertaken(report, result.clock, sentAt)) {
        return;
    }
    ledger.failures = 0;
    if (!ledger.reachable) {
        m_observer.targetChanged("reachable", name, 0);
    }
    ledger.reachable = true;
    const std::uint64_t acknowledged = ledger.lastEnd();
    const ReportFindings findings = ledger.reconcile(report, result.clock, { number, sentAt }, now);
    if (result.hasClock) {
        ledger.sampleClock(result.clock, now);
    }
    ledger.acknowledged = findings.restarted ? 0 : acknowledged;
    ledger.inspected = true;
    applyFindings(*target, findings, now);
    checkProgress(*target, now);
    placeWaiting(now);
    if (!ledger.inspections.empty()) {
        return; // A start from here has sent the next one.
    }
    if (!ledger.runs().empty()) {
        inspect(*target, now);
    } else if (ledger.lastEnd() > ledger.acknowledged) {
        ledger.nextInspectAt = now + kAcknowledgeDelay;
    } else {
        ledger.nextInspectAt = now + m_policy.idleInspectInterval;
    }
}

/// Finds runs that stand still and starts their tasks elsewhere. A run that is merely longer than expected moves on,
/// and is left alone: it would take as long on another target.
void Dispatcher::Impl::checkProgress(OwnedTarget &target, Instant now)
{
    const double slowness = std::exp(target.ledger.speed.logSlowness());
    for (auto &it : target.ledger.runs()) {
        LedgerRun &run = it.second;
        if (run.state != RunState::Running) {
            continue;
        }
        const double expected = std::exp(run.logSize) * slowness;
        const bool overdue = static_cast<double>((now - run.startedAt).count()) > kOverdueFactor * expected;
        const bool stands = now - run.progressedAt > kStandstill;
        if (overdue && stands) {
            learnHealth(target, PlacementOutcome::Failed, now);
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
    if (target == nullptr || target->ledger.inspections.erase(number) == 0) {
        return;
    }
    TargetLedger &ledger = target->ledger;
    if (result.status == CommandStatus::NoResponse) {
        noteLoss(*target, now);
        if (!ledger.inspections.empty()) {
            return; // Another has been sent since, and decides.
        }
    }
    ++ledger.failures;
    const auto pause = std::min(kLongestInspectRetry, kInspectRetry * (1U << std::min(ledger.failures - 1, 4U)));
    ledger.nextInspectAt = now + pause;
    if (ledger.failures == 1 && result.status == CommandStatus::NoResponse) {
        // A single answer may have been lost: ask again at once, without waiting for the end of a run.
        inspect(*target, now);
        return;
    }
    if (result.status == CommandStatus::Fenced) {
        fenceTarget(*target, now);
        return;
    }
    if (result.status == CommandStatus::IncarnationMismatch) {
        loseRuns(*target, now);
        ledger.inspected = false;
        return;
    }
    if (ledger.reachable) {
        m_observer.targetChanged("unreachable", name, ledger.failures);
    }
    ledger.reachable = false;
}

void Dispatcher::Impl::advanceTarget(OwnedTarget &target, Instant now)
{
    TargetLedger &ledger = target.ledger;
    if (ledger.fenced) {
        return;
    }
    for (auto &it : ledger.runs()) {
        LedgerRun &run = it.second;
        if (run.state == RunState::Stopping && !run.stopAnsweredAfter && now >= run.nextStopAt) {
            stopRun(target, it.first, run, now);
        }
        if (run.state == RunState::Starting) {
            repeatStart(target, it.first, run, now);
        }
    }
    if (!ledger.reachable && ledger.isLeaseOver(now) && !ledger.runs().empty()) {
        // Whatever ran there has ended with its lease; what is still listed on return is stopped as unknown.
        auto runs = std::move(ledger.runs());
        ledger.runs().clear();
        for (const auto &it : runs) {
            m_observer.runDecided("lease_over", it.first, ledger.target().name, it.second.progress);
            runGone(target, it.first, it.second, false, now);
        }
        ledger.inspected = false;
    }
    const bool wantsInspection = !ledger.inspected || !ledger.runs().empty() || !ledger.reachable
        || ledger.lastEnd() > ledger.acknowledged || now >= ledger.nextInspectAt;
    const bool isOverdue =
        ledger.inspections.size() == 1 && now >= ledger.inspectDueAt && ledger.reachable && !ledger.runs().empty();
    if (isOverdue || (ledger.inspections.empty() && wantsInspection && now >= ledger.nextInspectAt)) {
        inspect(target, now);
    }
}

} // namespace Eelgrasscleat
