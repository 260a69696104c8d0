/// @file
/// Reconciliation of reports, leases and free capacity of one target.
#include "TargetTracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Maximum relative rate error of a target's clock, given in the platform's description of its clocks.
constexpr double kClockRateError = 0.02;
/// A run's own progress tells its end better than its expected run time from this percentage on.
constexpr double kMinProgress = 10;
/// Remaining share of the time so far that is expected of a run that takes longer than it should have.
constexpr double kOverdueShare = 0.2;

std::uint32_t subtract(std::uint32_t from, std::uint32_t amount)
{
    return from > amount ? from - amount : 0;
}

} // namespace

TargetTracker::TargetTracker(DispatchTarget target, FencingToken token, std::shared_ptr<KindSpeed> kind)
    : speed(std::move(kind))
    , m_target(std::move(target))
    , m_token(token)
    , m_incarnation(m_target.incarnation)
{
}

void TargetTracker::update(const DispatchTarget &target)
{
    m_target = target;
    // The target list may be out of date: only the target's own report tells which runs its new incarnation has.
    if (target.incarnation > m_incarnation && m_incarnation != 0) {
        inspected = false;
        nextInspectAt = Instant {};
    }
}

void TargetTracker::updateToken(FencingToken token)
{
    if (token.value <= m_token.value) {
        return;
    }
    m_token = token;
    fenced = false;
    inspected = false;
}

TrackedRun &TargetTracker::addRun(const RunName &name, TrackedRun run)
{
    const auto [it, isNew] = m_runs.emplace(name, std::move(run));
    assert(isNew && "run numbers must be unique");
    return it->second;
}

TrackedRun *TargetTracker::findRun(const RunName &name)
{
    const auto it = m_runs.find(name);
    return it == m_runs.end() ? nullptr : &it->second;
}

void TargetTracker::removeRun(const RunName &name)
{
    m_runs.erase(name);
}

/// Runs that were accepted before the report was requested ended with the previous incarnation. The new incarnation may
/// have accepted runs since then, and may still execute start commands in flight.
void TargetTracker::restart(Instant sentAt, ReportChanges &changes)
{
    changes.restarted = true;
    changes.previousIncarnation = m_incarnation;
    std::map<RunName, TrackedRun> remaining;
    for (auto &it : m_runs) {
        const bool isUncertain = it.second.state != RunState::Running || it.second.startedAt >= sentAt;
        if (isUncertain) {
            changes.uncertain.push_back(it.first);
            remaining.emplace(it.first, std::move(it.second));
        } else {
            changes.missing.emplace_back(it.first, std::move(it.second));
        }
    }
    m_runs = std::move(remaining);
    m_lastEnd = 0;
    acknowledged = 0;
    m_hasClock = false;
    m_leaseEnd = TargetTime(0); // It was based on the clock of the previous incarnation.
}

bool TargetTracker::isOutdated(const TargetReport &report, TargetTime clock, Instant sentAt) const
{
    if (report.incarnation != m_incarnation) {
        return report.incarnation < m_incarnation && sentAt < m_reportAt;
    }
    // Reports of the same millisecond: the order is known only if one was requested after the other had arrived.
    return clock < m_reportClock || (clock == m_reportClock && sentAt < m_reportAt);
}

ReportChanges
TargetTracker::reconcile(const TargetReport &report, TargetTime clock, const SentInspection &inspection, Instant now)
{
    const Instant sentAt = inspection.sentAt;
    ReportChanges changes;
    m_reportClock = clock;
    m_reportAt = now;
    if (report.incarnation != 0 && m_incarnation != 0 && report.incarnation != m_incarnation) {
        restart(sentAt, changes);
    }
    if (report.incarnation != 0) {
        m_incarnation = report.incarnation;
    }
    for (const ReportedEnd &it : report.ended) {
        m_lastEnd = std::max(m_lastEnd, it.number);
        const auto run = m_runs.find(it.run);
        if (run != m_runs.end()) {
            changes.ended.push_back({ it.run, std::move(run->second), it.kind });
            m_runs.erase(run);
        }
    }
    std::map<RunName, double> listed;
    for (const ReportedRun &it : report.running) {
        listed.emplace(it.run, it.progress);
        if (m_runs.find(it.run) == m_runs.end()) {
            TrackedRun run;
            run.state = RunState::Stopping;
            run.leasedSince = Instant {};
            run.dispatchedAt = now;
            m_runs.emplace(it.run, run);
            changes.unknown.push_back(it.run);
        }
    }
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        TrackedRun &run = it->second;
        const auto reported = listed.find(it->first);
        if (reported != listed.end()) {
            if (run.state == RunState::Starting) {
                run.state = RunState::Running;
                run.startedAt = now;
                run.progressedAt = now;
            }
            if (reported->second > run.progress) {
                run.progress = reported->second;
                run.progressedAt = now;
            }
            ++it;
            continue;
        }
        const bool wasRunning = run.state == RunState::Running && run.startedAt < sentAt;
        const bool wasStopped =
            run.state == RunState::Stopping && run.inspectionAtStopAck && *run.inspectionAtStopAck < inspection.number;
        if (wasRunning || wasStopped) {
            changes.missing.emplace_back(it->first, std::move(run));
            it = m_runs.erase(it);
        } else {
            ++it;
        }
    }
    return changes;
}

void TargetTracker::sampleClock(TargetTime clock, Instant now)
{
    m_clock = clock;
    m_clockAt = now;
    m_hasClock = true;
}

TargetTime TargetTracker::clockAt(Instant now) const
{
    const auto age = std::chrono::duration<double, std::micro>(now - m_clockAt) * (1 - kClockRateError);
    return m_clock + std::chrono::duration_cast<TargetTime>(age);
}

TargetTime TargetTracker::extendLease(Duration leaseLength, Instant leasedSince, Instant now)
{
    assert(m_hasClock && "the lease end is relative to the target's clock");
    const Duration left = leaseLength - std::max(Duration::zero(), now - leasedSince);
    const TargetTime end = clockAt(now) + std::chrono::duration_cast<TargetTime>(left);
    m_leaseEnd = std::max(m_leaseEnd, end);
    const auto local = std::chrono::duration<double, std::milli>(m_leaseEnd - m_clock) * (1 + kClockRateError);
    m_leaseExpiresAt = std::max(m_leaseExpiresAt, m_clockAt + std::chrono::duration_cast<Duration>(local));
    return m_leaseEnd;
}

void TargetTracker::assumeLease(Duration leaseLength, Instant now)
{
    const auto local = std::chrono::duration_cast<Duration>(leaseLength * (1 + kClockRateError));
    m_leaseExpiresAt = std::max(m_leaseExpiresAt, now + local);
}

bool TargetTracker::hasRunLeasedBefore(Instant when) const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [when](const auto &it) {
        return it.second.leasedSince && *it.second.leasedSince < when;
    });
}

bool TargetTracker::isLeaseExpired(Instant now) const
{
    return now >= m_leaseExpiresAt;
}

bool TargetTracker::hasIsolatedRun() const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [](const auto &it) { return it.second.isolated; });
}

Instant TargetTracker::expectedEnd(const TrackedRun &run, Instant now) const
{
    const Instant start = run.startedAt == Instant {} ? run.dispatchedAt : run.startedAt;
    auto length = static_cast<double>((run.progressedAt - start).count());
    if (run.progress >= kMinProgress) {
        length *= 100 / run.progress;
    } else {
        length = std::exp(run.expectedLogRun + speed.logSlowness());
    }
    const Instant end = start + Duration(static_cast<Duration::rep>(length));
    return end > now ? end : now + std::chrono::duration_cast<Duration>((now - start) * kOverdueShare);
}

ResourceDemand TargetTracker::freeCapacity() const
{
    ResourceDemand available = m_target.capacity;
    for (const auto &it : m_runs) {
        if (it.second.job.isNone() && it.second.demand == ResourceDemand {}) {
            return {};
        }
        available.milliCores = subtract(available.milliCores, it.second.demand.milliCores);
        available.memoryMb = subtract(available.memoryMb, it.second.demand.memoryMb);
        available.accelerators = subtract(available.accelerators, it.second.demand.accelerators);
    }
    return available;
}

} // namespace Eelgrasscleat
