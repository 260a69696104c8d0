/// @file
/// Runs, room and leases of one target.
#include "TargetLedger.h"

#include <algorithm>
#include <cassert>

namespace Eelgrasscleat
{

namespace
{

/// Drift of a target's slowness: one that turns several times slower is followed within about five tasks.
constexpr double kSpeedDriftVariance = 0.01;
/// Largest rate by which a target's clock is slow: from the platform's description of its clocks.
constexpr double kClockRateError = 0.02;

std::uint32_t subtract(std::uint32_t from, std::uint32_t amount)
{
    return from > amount ? from - amount : 0;
}

} // namespace

TargetLedger::TargetLedger(DispatchTarget target, FencingToken token)
    : speed(kSpeedDriftVariance)
    , m_target(std::move(target))
    , m_token(token)
    , m_incarnation(m_target.incarnation)
{
}

void TargetLedger::update(const DispatchTarget &target)
{
    m_target = target;
    // The list lags: only the target's own report tells which runs are of its new incarnation.
    if (target.incarnation > m_incarnation && m_incarnation != 0) {
        inspected = false;
        nextInspectAt = Instant {};
    }
}

void TargetLedger::renewToken(FencingToken token)
{
    if (token.value <= m_token.value) {
        return;
    }
    m_token = token;
    fenced = false;
    inspected = false;
}

LedgerRun &TargetLedger::addRun(const RunName &name, LedgerRun run)
{
    const auto [it, isNew] = m_runs.emplace(name, std::move(run));
    assert(isNew && "each start has a run number of its own");
    return it->second;
}

LedgerRun *TargetLedger::findRun(const RunName &name)
{
    const auto it = m_runs.find(name);
    return it == m_runs.end() ? nullptr : &it->second;
}

void TargetLedger::removeRun(const RunName &name)
{
    m_runs.erase(name);
}

/// Runs that were accepted before the report was asked for are gone with the earlier incarnation. The new one may have
/// accepted those after it, and may yet carry out orders that are under way.
void TargetLedger::restart(Instant sentAt, ReportFindings &findings)
{
    findings.restarted = true;
    std::map<RunName, LedgerRun> remaining;
    for (auto &it : m_runs) {
        const bool isUnsure = it.second.state != RunState::Running || it.second.startedAt >= sentAt;
        if (isUnsure) {
            findings.unsure.push_back(it.first);
            remaining.emplace(it.first, std::move(it.second));
        } else {
            findings.vanished.emplace_back(it.first, std::move(it.second));
        }
    }
    m_runs = std::move(remaining);
    m_lastEnd = 0;
    acknowledged = 0;
    m_hasClock = false;
    m_leaseEnd = TargetTime(0); // On the clock of the earlier incarnation.
}

bool TargetLedger::isOvertaken(const TargetReport &report, TargetTime clock, Instant sentAt) const
{
    if (report.incarnation != m_incarnation) {
        return report.incarnation < m_incarnation && sentAt < m_reportAt;
    }
    // Two answers of one millisecond: only one that was asked for after the other had arrived is surely the later.
    return clock < m_reportClock || (clock == m_reportClock && sentAt < m_reportAt);
}

ReportFindings
TargetLedger::reconcile(const TargetReport &report, TargetTime clock, const SentInspection &inspection, Instant now)
{
    const Instant sentAt = inspection.sentAt;
    ReportFindings findings;
    m_reportClock = clock;
    m_reportAt = now;
    if (report.incarnation != 0 && m_incarnation != 0 && report.incarnation != m_incarnation) {
        restart(sentAt, findings);
    }
    if (report.incarnation != 0) {
        m_incarnation = report.incarnation;
    }
    for (const ReportedEnd &it : report.ended) {
        m_lastEnd = std::max(m_lastEnd, it.number);
        const auto run = m_runs.find(it.run);
        if (run != m_runs.end()) {
            findings.ended.push_back({ it.run, std::move(run->second), it.kind });
            m_runs.erase(run);
        }
    }
    std::map<RunName, double> listed;
    for (const ReportedRun &it : report.running) {
        listed.emplace(it.run, it.progress);
        if (m_runs.find(it.run) == m_runs.end()) {
            LedgerRun run;
            run.state = RunState::Stopping;
            run.orderedAt = now;
            m_runs.emplace(it.run, run);
            findings.unknown.push_back(it.run);
        }
    }
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        LedgerRun &run = it->second;
        const auto found = listed.find(it->first);
        if (found != listed.end()) {
            if (run.state == RunState::Starting) {
                run.state = RunState::Running;
                run.startedAt = now;
                run.progressedAt = now;
            }
            if (found->second > run.progress) {
                run.progress = found->second;
                run.progressedAt = now;
            }
            ++it;
            continue;
        }
        const bool wasRunning = run.state == RunState::Running && run.startedAt < sentAt;
        const bool wasStopped =
            run.state == RunState::Stopping && run.stopAnsweredAfter && *run.stopAnsweredAfter < inspection.number;
        if (wasRunning || wasStopped) {
            findings.vanished.emplace_back(it->first, std::move(run));
            it = m_runs.erase(it);
        } else {
            ++it;
        }
    }
    return findings;
}

void TargetLedger::sampleClock(TargetTime clock, Instant now)
{
    m_clock = clock;
    m_clockAt = now;
    m_hasClock = true;
}

TargetTime TargetLedger::clockAt(Instant now) const
{
    const auto age = std::chrono::duration<double, std::micro>(now - m_clockAt) * (1 - kClockRateError);
    return m_clock + std::chrono::duration_cast<TargetTime>(age);
}

TargetTime TargetLedger::grantLease(Duration leaseLength, Instant heardAt, Instant now)
{
    assert(m_hasClock && "a lease is ordered on the target's clock");
    const Duration left = leaseLength - std::max(Duration::zero(), now - heardAt);
    const TargetTime end = clockAt(now) + std::chrono::duration_cast<TargetTime>(left);
    m_leaseEnd = std::max(m_leaseEnd, end);
    const auto local = std::chrono::duration<double, std::milli>(m_leaseEnd - m_clock) * (1 + kClockRateError);
    m_leaseOverAt = std::max(m_leaseOverAt, m_clockAt + std::chrono::duration_cast<Duration>(local));
    return m_leaseEnd;
}

bool TargetLedger::isLeaseOver(Instant now) const
{
    return now >= m_leaseOverAt;
}

ResourceDemand TargetLedger::room() const
{
    ResourceDemand room = m_target.capacity;
    for (const auto &it : m_runs) {
        if (it.second.job.isNone() && it.second.demand == ResourceDemand {}) {
            return {};
        }
        room.milliCores = subtract(room.milliCores, it.second.demand.milliCores);
        room.memoryMb = subtract(room.memoryMb, it.second.demand.memoryMb);
        room.accelerators = subtract(room.accelerators, it.second.demand.accelerators);
    }
    return room;
}

} // namespace Eelgrasscleat
