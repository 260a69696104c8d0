/// @file
/// State of a dispatcher. Jobs and admission stand in Dispatcher.cpp, runs in DispatcherRuns.cpp,
/// targets in DispatcherTargets.cpp.
#pragma once

#include "JobBoard.h"
#include "TargetChooser.h"

#include <deque>

namespace Eelgrasscleat
{

/// Most inspections of one target under way: the second one finds what the lost answer to the first would have said.
constexpr std::size_t kInspectionsInFlight = 2;

class Dispatcher::Impl
{
public:
    Impl(const DispatcherPolicy &policy, TargetCommands &commands, DispatcherObserver &observer)
        : m_policy(policy)
        , m_commands(commands)
        , m_observer(observer)
        , m_chooser(m_targets, m_health)
    {
    }

    // Jobs.
    void submit(const JobOrigin &origin, JobRequest request, Instant now);
    void cancel(const JobOrigin &origin, Instant now);
    void homeContacted(const InstanceName &home, Instant now);
    void homeLost(const InstanceName &home, Instant now);
    void drain(Instant until, Instant now);
    void advance(Instant now);

    // Targets and runs.
    void targetOwned(const DispatchTarget &target, FencingToken token, Instant now);
    void targetReleased(const TargetName &target, Instant now);
    void startAnswered(const TargetName &name, const RunName &run, const CommandResult &result, Instant now);
    void stopAnswered(const TargetName &name, const RunName &run, const CommandResult &result, Instant now);
    void inspected(const TargetName &name,
                   std::uint64_t number,
                   const TargetReport &report,
                   const CommandResult &result,
                   Instant now);
    void inspectionFailed(const TargetName &name, std::uint64_t number, const CommandResult &result, Instant now);

    [[nodiscard]] DispatcherLoad load(Instant now) const;

    OwnedTargets m_targets;
    JobBoard m_board;
    Instant m_lastNow {};
    bool m_draining = false;
    Instant m_drainUntil {};

private:
    /// A run that was at work when its job ended, until it is proved gone.
    struct RecentRuns
    {
        std::uint32_t dying = 0; ///< Runs of ended submissions that may be at work.
        std::uint32_t lastRun = 0; ///< Highest run number used.
        Instant lastUse {};
    };

    // Jobs.
    void refuse(const JobOrigin &origin, const JobId &id, JobEndReason reason, Duration retryAfter);
    void endJob(BoardJob &job, JobOutcome outcome, JobEndReason reason, Instant now);
    void giveUp(BoardJob &job, JobOutcome outcome, JobEndReason reason, Instant now);
    [[nodiscard]] Duration expectedWait(const JobRequest &request, Instant now);
    [[nodiscard]] Duration waitBehind(std::uint32_t priority, double arriving, Instant now) const;
    [[nodiscard]] Duration waitOf(const BoardJob &job, Instant now) const;
    void refuseTooLate(BoardJob &job, Duration wait, Instant now);
    [[nodiscard]] double serviceRate(Instant now) const;
    void placeWaiting(Instant now);
    bool placeTasks(BoardJob &job, Instant now);
    void expireJobs(Instant now);
    void refuseUndrained(Instant now);
    [[nodiscard]] Instant heardAt(const InstanceName &home) const;

    // Runs.
    void startRun(OwnedTarget &target, BoardJob &job, const TaskName &task, Instant now);
    void sendStart(OwnedTarget &target, const BoardJob &job, const RunName &name, LedgerRun &run, Instant now);
    void repeatStart(OwnedTarget &target, const RunName &name, LedgerRun &run, Instant now);
    void startRejected(OwnedTarget &target, const RunName &name, CommandStatus answer, Instant now);
    void stopRun(OwnedTarget &target, const RunName &name, LedgerRun &run, Instant now);
    void runGone(OwnedTarget &target, const RunName &name, const LedgerRun &run, bool hadNoEffect, Instant now);
    void runEnded(OwnedTarget &target, const ReportFindings::End &end, Instant now);
    void runDone(OwnedTarget &target, BoardJob &job, const ReportFindings::End &end, Instant now);
    void runFailed(BoardJob &job, const TaskName &task, Instant now);
    void requeue(const TargetName &target, const RunName &name, const LedgerRun &run);
    void forgetDying(const JobId &id);
    void noteLoss(const OwnedTarget &target, Instant now);
    void learnHealth(OwnedTarget &target, PlacementOutcome outcome, Instant now);
    void loseRuns(OwnedTarget &target, Instant now);
    void fenceTarget(OwnedTarget &target, Instant now);
    void advanceTarget(OwnedTarget &target, Instant now);
    void inspect(OwnedTarget &target, Instant now);
    void checkProgress(OwnedTarget &target, Instant now);
    void applyFindings(OwnedTarget &target, const ReportFindings &findings, Instant now);
    [[nodiscard]] Instant quietestHome(const OwnedTarget &target, Instant now) const;
    [[nodiscard]] OwnedTarget *find(const TargetName &name);

    DispatcherPolicy m_policy;
    TargetCommands &m_commands;
    DispatcherObserver &m_observer;
    HealthTracker m_health;
    TargetChooser m_chooser;
    std::map<InstanceName, Instant> m_homes; ///< When each was last heard from.
    std::map<JobId, RecentRuns> m_recent;
    std::uint64_t m_lastInspection = 0;
    Instant m_lossyUntil {}; ///< Orders go unanswered, as of late.
    std::vector<TargetIndex> m_freeIndexes;
    TargetIndex m_nextIndex = 0;
    mutable double m_rate = 0; ///< Result of serviceRate() at m_rateAt.
    mutable Instant m_rateAt {};
};

} // namespace Eelgrasscleat
