/// @file
/// What the owner of one target knows of it: runs that may be at work, room, lease and clock. The load that it answers
/// is orders that get lost, are carried out late, or cross with reports; room counts as taken until the end is proved.
#pragma once

#include <eelgrasscleat/Dispatch/TargetCommands.h>
#include <eelgrasscleat/Placement/SpeedModel.h>

#include <map>
#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// A job within one dispatcher.
using JobNumber = Number<struct JobNumberTag>;

/// Where a run stands.
enum class RunState
{
    Starting, ///< The start order has no answer yet.
    Running,
    Stopping, ///< It may be at work until the target shows that it isn't.
};

/// A run that may be at work.
struct LedgerRun
{
    JobNumber job; ///< None: started by an earlier owner.
    ResourceDemand demand;
    InstanceName home; ///< Instance that holds the caller's connection.
    RunState state = RunState::Starting;
    Instant orderedAt {};
    Instant startedAt {};
    /// Number of the latest inspection sent before a stop order was answered: a later one proves that the run is gone.
    std::optional<std::uint64_t> stopAnsweredAfter;
    Instant nextStopAt {}; ///< When the stop order is sent again.
    std::uint32_t startsSent = 0; ///< Start orders, all with the same number.
    std::uint32_t startsInFlight = 0;
    std::uint32_t stopsInFlight = 0;
    double logSize = 0; ///< Expected logarithm of the run time in microseconds on the reference target.
    double sizeVariance = 0;
    Duration hint {}; ///< The caller's estimate.
    double progress = 0; ///< Percent.
    Instant progressedAt {}; ///< When the progress last rose.
};

/// An inspection that was sent.
struct SentInspection
{
    std::uint64_t number = 0; ///< Rises with each of a dispatcher.
    Instant sentAt {};
};

/// Ends and losses that a report revealed.
struct ReportFindings
{
    struct End
    {
        RunName run;
        LedgerRun record;
        RunEndKind kind;
    };
    std::vector<End> ended;
    std::vector<std::pair<RunName, LedgerRun>> vanished; ///< Neither at work nor listed as ended.
    std::vector<RunName> unknown; ///< At work, but not ordered by this owner; now in the ledger as stopping.
    std::vector<RunName> unsure; ///< The target started again, and its new incarnation may run them.
    bool restarted = false; ///< The target is another incarnation; nothing of before is at work.
};

/// The ledger of one target.
class TargetLedger
{
public:
    explicit TargetLedger(DispatchTarget target, FencingToken token);

    /// Takes in a newer description. One that tells of a restart asks for an inspection before any further start.
    void update(const DispatchTarget &target);
    /// Owner's token rose: the target has to be inspected under it before it gets work.
    void renewToken(FencingToken token);

    /// Records a run whose start order is being sent.
    LedgerRun &addRun(const RunName &name, LedgerRun run);
    [[nodiscard]] LedgerRun *findRun(const RunName &name);
    /// The run is proved not to be at work.
    void removeRun(const RunName &name);

    /// Takes in a report.
    /// @param clock the target's, when it answered
    /// @param inspection what the report answers: only what was known when it was sent can be missing from the report
    ReportFindings
    reconcile(const TargetReport &report, TargetTime clock, const SentInspection &inspection, Instant now);

    /// Answers of two inspections may overtake each other.
    /// @param clock the target's, when it answered
    /// @returns whether a report of the same incarnation that says more has been taken in
    [[nodiscard]] bool isOvertaken(const TargetReport &report, TargetTime clock, Instant sentAt) const;

    /// Takes in the target's clock from an answer that has just arrived.
    void sampleClock(TargetTime clock, Instant now);
    /// Lease end to order so that no run outlives its home by more than the lease.
    /// @param heardAt when the quietest home of all runs was last heard from
    /// @returns the end on the target's clock, never one that shortens an earlier one.
    TargetTime grantLease(Duration leaseLength, Instant heardAt, Instant now);
    /// @returns whether all leases that were ever ordered have run out.
    [[nodiscard]] bool isLeaseOver(Instant now) const;

    /// @returns the capacity that no run may be using; nothing while a run of unknown size is at work.
    [[nodiscard]] ResourceDemand room() const;
    [[nodiscard]] const DispatchTarget &target() const
    {
        return m_target;
    }
    [[nodiscard]] TargetAddress orderTarget() const
    {
        return { m_target.name, m_target.address };
    }
    [[nodiscard]] FencingToken token() const
    {
        return m_token;
    }
    [[nodiscard]] const std::map<RunName, LedgerRun> &runs() const
    {
        return m_runs;
    }
    [[nodiscard]] std::map<RunName, LedgerRun> &runs()
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

    /// Bookkeeping of the dispatcher.
    bool inspected = false; ///< Reported under the present token.
    bool reachable = true; ///< The last order was answered.
    bool fenced = false; ///< Another owner has a higher token.
    std::map<std::uint64_t, Instant> inspections; ///< In flight, by number, with the time when each was sent.
    Instant inspectDueAt {}; ///< When the answer to the latest is overdue.
    Instant nextInspectAt {};
    std::uint32_t failures = 0; ///< Inspections that failed in a row.
    std::uint64_t acknowledged = 0; ///< Highest end that an answered inspection has acknowledged.
    Instant pausedUntil {}; ///< Gets no start before.
    SpeedEstimate speed;

private:
    void restart(Instant sentAt, ReportFindings &findings);
    [[nodiscard]] TargetTime clockAt(Instant now) const;

    DispatchTarget m_target;
    FencingToken m_token;
    std::map<RunName, LedgerRun> m_runs;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_incarnation = 0;
    TargetTime m_reportClock { 0 }; ///< Of the latest report taken in.
    Instant m_reportAt {}; ///< When that arrived.
    bool m_hasClock = false;
    TargetTime m_clock { 0 };
    Instant m_clockAt {};
    TargetTime m_leaseEnd { 0 };
    Instant m_leaseOverAt {};
};

} // namespace Eelgrasscleat
