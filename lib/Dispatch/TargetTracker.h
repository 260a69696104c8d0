/// @file
/// The owner's state of one target: runs that may be active, free capacity, lease and clock. Commands may be lost, be
/// executed late or cross with reports, so the capacity of a run stays reserved until its end is confirmed.
#pragma once

#include <eelgrasscleat/Dispatch/TargetCommands.h>

#include "TargetSpeed.h"

#include <map>
#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// Number of a job within one dispatcher.
using JobNumber = Number<struct JobNumberTag>;

/// State of a run.
enum class RunState
{
    Starting, ///< The start command has not been answered yet.
    Running,
    Stopping, ///< Being stopped; may be active until the target confirms its end.
};

/// A run that may be active.
struct TrackedRun
{
    JobNumber job; ///< None if an earlier owner started the run.
    ResourceDemand demand;
    InstanceName home; ///< Home instance of the job.
    /// Set once the run must end, since its caller may resubmit the job: the last contact of its home, at most the end
    /// of its job. The earliest time if an earlier owner started the run.
    std::optional<Instant> leasedSince;
    bool isolated = false; ///< May crash the target: nothing is started beside it.
    RunState state = RunState::Starting;
    Instant dispatchedAt {}; ///< Time of the first start command, or of the report that listed an unknown run.
    Instant startedAt {};
    /// Number of the latest inspection sent before a stop command was acknowledged. The report of a later inspection
    /// confirms the end of the run by not listing it.
    std::optional<std::uint64_t> inspectionAtStopAck;
    Instant nextStopAt {}; ///< When to resend the stop command.
    std::uint32_t startsSent = 0; ///< Start commands sent, all with the same run number.
    std::uint32_t startsInFlight = 0;
    std::uint32_t stopsInFlight = 0;
    std::uint32_t stopsSent = 0;
    double expectedLogRun = 0; ///< Expected logarithm of the run time in microseconds on the reference target.
    Duration callerEstimate {};
    double progress = 0; ///< In percent.
    Instant progressedAt {}; ///< When the progress last increased.
};

/// An inspection in flight.
struct SentInspection
{
    std::uint64_t number = 0; ///< Increases with each inspection of a dispatcher.
    Instant sentAt {};
    bool isPrompt = false; ///< The target responds at once: its response time is that of the network.
};

/// Differences between a report and the tracked state.
struct ReportChanges
{
    struct End
    {
        RunName run;
        TrackedRun record;
        RunEndKind kind;
    };
    std::vector<End> ended;
    std::vector<std::pair<RunName, TrackedRun>> missing; ///< Reported neither as running nor as ended.
    std::vector<RunName> unknown; ///< Running, but not started by this owner; tracked as stopping from now on.
    std::vector<RunName> uncertain; ///< The target has restarted, and its new incarnation may run them.
    bool restarted = false; ///< The target has restarted; no run of its previous incarnation is active.
    std::uint64_t previousIncarnation = 0; ///< If it has restarted.
};

/// Tracks one target.
class TargetTracker
{
public:
    TargetTracker(DispatchTarget target, FencingToken token, std::shared_ptr<KindSpeed> kind);

    /// Applies a newer description. If the target has restarted, it must be inspected before any further start.
    void update(const DispatchTarget &target);
    /// Sets a higher fencing token. The target must be inspected under it before any further start.
    void updateToken(FencingToken token);

    /// Adds a run whose start command is about to be sent.
    TrackedRun &addRun(const RunName &name, TrackedRun run);
    [[nodiscard]] TrackedRun *findRun(const RunName &name);
    /// Removes a run that is confirmed not to be active.
    void removeRun(const RunName &name);

    /// Updates the tracked runs from a report.
    /// @param clock the target's clock at the time of the report
    /// @param inspection the inspection that the report answers: only runs known when it was sent can be missing
    /// @returns the differences found
    ReportChanges
    reconcile(const TargetReport &report, TargetTime clock, const SentInspection &inspection, Instant now);

    /// Detects reports that arrive out of order.
    /// @param clock the target's clock at the time of the report
    /// @returns whether a newer report has already been applied
    [[nodiscard]] bool isOutdated(const TargetReport &report, TargetTime clock, Instant sentAt) const;

    /// Records the target's clock from a response that has just arrived.
    void sampleClock(TargetTime clock, Instant now);
    /// Extends the target's lease such that no run outlives its home instance by more than @p leaseLength.
    /// @param leasedSince oldest last contact among the home instances of all runs, or end of a job whose run is active
    /// @returns the new lease end on the target's clock, never earlier than the previous one
    TargetTime extendLease(Duration leaseLength, Instant leasedSince, Instant now);
    /// A run was found whose lease an earlier owner has extended by at most @p leaseLength.
    void assumeLease(Duration leaseLength, Instant now);
    /// @returns the latest lease end granted, on the target's clock.
    [[nodiscard]] TargetTime leaseEnd() const
    {
        return m_leaseEnd;
    }
    /// @returns whether a run must end that was leased before @p when: the lease can hardly be extended.
    [[nodiscard]] bool hasRunLeasedBefore(Instant when) const;
    /// @returns whether all leases granted so far have expired.
    [[nodiscard]] bool isLeaseExpired(Instant now) const;

    /// @returns the capacity not reserved by any run; none while a run of unknown demand is active.
    [[nodiscard]] ResourceDemand freeCapacity() const;
    [[nodiscard]] bool hasIsolatedRun() const;
    /// @returns when the run is expected to end, by its progress and the learned speed of the target.
    [[nodiscard]] Instant expectedEnd(const TrackedRun &run, Instant now) const;
    /// @returns whether the description is that of the present incarnation. The next one may have another capacity.
    [[nodiscard]] bool isDescribed() const
    {
        return m_target.incarnation == 0 || m_target.incarnation >= m_incarnation;
    }
    [[nodiscard]] const DispatchTarget &target() const
    {
        return m_target;
    }
    [[nodiscard]] TargetAddress targetAddress() const
    {
        return { m_target.name, m_target.address };
    }
    [[nodiscard]] FencingToken token() const
    {
        return m_token;
    }
    /// @returns when the target last answered with its clock.
    [[nodiscard]] Instant lastAnsweredAt() const
    {
        return m_clockAt;
    }
    /// @returns the latest incarnation that has reported, or else the listed one.
    [[nodiscard]] std::uint64_t incarnation() const
    {
        return m_incarnation;
    }
    [[nodiscard]] const std::map<RunName, TrackedRun> &runs() const
    {
        return m_runs;
    }
    [[nodiscard]] std::map<RunName, TrackedRun> &runs()
    {
        return m_runs;
    }
    [[nodiscard]] std::uint64_t lastEnd() const
    {
        return m_lastEnd;
    }
    [[nodiscard]] bool hasClock() const
    {
        return m_hasClock;
    }

    // State maintained by the dispatcher.
    bool inspected = false; ///< Has reported under the current token.
    bool reachable = true; ///< Answered the last inspection.
    bool fenced = false; ///< Has seen the higher token of another owner.
    bool isRenewing = true; ///< The lease was extended when it was last to be renewed.
    std::map<std::uint64_t, SentInspection> inspections; ///< Inspections in flight, by number.
    Instant inspectOverdueAt {}; ///< When the response to the latest inspection is overdue.
    Instant nextInspectAt {};
    std::uint32_t failures = 0; ///< Consecutive failed inspections.
    Instant connectionClosedAt {}; ///< When a command last found its connection closed or refused.
    std::uint64_t acknowledged = 0; ///< Highest end number acknowledged by an answered inspection.
    Instant pausedUntil {}; ///< No run is started on the target before this time.
    TargetSpeed speed;

private:
    void restart(Instant sentAt, ReportChanges &changes);
    [[nodiscard]] TargetTime clockAt(Instant now) const;

    DispatchTarget m_target;
    FencingToken m_token;
    std::map<RunName, TrackedRun> m_runs;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_incarnation = 0;
    TargetTime m_reportClock { 0 }; ///< The target's clock in the latest applied report.
    Instant m_reportAt {}; ///< When that report arrived.
    bool m_hasClock = false;
    TargetTime m_clock { 0 };
    Instant m_clockAt {};
    TargetTime m_leaseEnd { 0 };
    Instant m_leaseExpiresAt {};
};

} // namespace Eelgrasscleat
